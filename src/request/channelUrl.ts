import type { Address, DaemonId } from '../common/Types';

/** Path of the WebSocket endpoint at which a daemon accepts channels from other daemons. */
export const CHANNEL_PATH = '/.azurestream-calls';

const DAEMON_PARAMETER = 'daemon';

/**
 * Builds the URL for opening a channel.
 *
 * @param address - Address of the daemon that is called.
 * @param localDaemon - The calling daemon, which identifies itself in the query.
 * @returns A WebSocket URL.
 */
export default function channelUrl(address: Address, localDaemon: DaemonId): string {
  return `ws://${address}${CHANNEL_PATH}?${DAEMON_PARAMETER}=${encodeURIComponent(localDaemon)}`;
}

/**
 * Reads who opened a channel.
 *
 * @param url - Path and query of the upgrade request.
 * @returns The daemon that opened the channel; `undefined` if the query doesn't name it.
 */
export function channelOpener(url: string): DaemonId | undefined {
  const query = url.slice(url.indexOf('?') + 1);
  return (new URLSearchParams(query).get(DAEMON_PARAMETER) ?? undefined) as DaemonId | undefined;
}
