import type { Address, DaemonId } from '../common/Types';

/** Path at which daemons take each other's calls. */
export const CHANNEL_PATH = '/.azurestream-calls';

const DAEMON_PARAMETER = 'daemon';

/**
 * @param address - Of the daemon that is called.
 * @param own - Daemon that calls.
 * @returns Where to open a channel.
 */
export default function channelUrl(address: Address, own: DaemonId): string {
  return `ws://${address}${CHANNEL_PATH}?${DAEMON_PARAMETER}=${encodeURIComponent(own)}`;
}

/**
 * @param url - Path and query at which a channel was opened.
 * @returns The daemon that opened it; `undefined` where it doesn't say.
 */
export function channelOpener(url: string): DaemonId | undefined {
  const query = url.slice(url.indexOf('?') + 1);
  return (new URLSearchParams(query).get(DAEMON_PARAMETER) ?? undefined) as DaemonId | undefined;
}
