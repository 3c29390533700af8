/**
 * The servers of a daemon.
 *
 * @packageDocumentation
 */
import type { DaemonAddresses } from './Daemon';
import Listener from './Listener';
import type { Settings } from './settings';

const KEEP_ALIVE_MS = 60_000;

/** The servers of a daemon, bound before its parts are built so that its addresses are known. */
export interface Listeners {
  readonly calls: Listener;
  readonly peers: Listener;
  readonly control: Listener;
  /** Where the platform asks whether callers may come, if it does. */
  readonly ready: Listener | undefined;
  /** Where the upstream on this VM announces itself, if it isn't the control address. */
  readonly announcements: Listener | undefined;
}

/**
 * @param settings - Limits on requests.
 * @returns The servers, not yet bound.
 */
export function createListeners(settings: Settings): Listeners {
  const limits = {
    maxHeaderSize: settings.calls.max_header_bytes,
    headersTimeout: settings.calls.receive,
    requestTimeout: settings.calls.receive,
    keepAliveTimeout: KEEP_ALIVE_MS,
  };
  return {
    calls: new Listener(limits),
    peers: new Listener({ ...limits, maxHeaderSize: 2 * settings.calls.max_header_bytes }),
    control: new Listener(),
    ready: settings.daemon.ready && new Listener(),
    announcements: settings.upstream.announcements && new Listener(),
  };
}

/**
 * @param listeners - The servers.
 * @param settings - Where they should listen.
 * @returns Where they listen.
 * @throws When an address is taken.
 */
export async function bindListeners(
  listeners: Listeners,
  settings: Settings,
): Promise<DaemonAddresses> {
  if (settings.daemon.ready) await listeners.ready?.listen(settings.daemon.ready);
  if (settings.upstream.announcements) {
    await listeners.announcements?.listen(settings.upstream.announcements);
  }
  return {
    calls: await listeners.calls.listen(settings.daemon.calls),
    peers: await listeners.peers.listen(settings.daemon.peers),
    control: await listeners.control.listen(settings.daemon.control),
  };
}
