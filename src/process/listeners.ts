/**
 * The HTTP servers of a daemon.
 *
 * @packageDocumentation
 */
import type { DaemonAddresses } from './Daemon';
import Listener from './Listener';
import type { Settings } from './settings';

/** Idle timeout of a connection until the configuration sets one, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** The HTTP servers of a daemon. They are bound before its components, which need the addresses. */
export interface Listeners {
  readonly calls: Listener;
  readonly peers: Listener;
  readonly control: Listener;
  /** Readiness endpoint for the platform, if configured. */
  readonly ready: Listener | undefined;
  /** Endpoint for the platform's heartbeats from the upstream on this VM, if configured. */
  readonly announcements: Listener | undefined;
}

/**
 * Creates the HTTP servers of a daemon.
 *
 * @param settings - Source of the limits on requests, and of the optional endpoints.
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
    calls: new Listener({ ...limits, backlog: settings.calls.backlog }),
    peers: new Listener({ ...limits, maxHeaderSize: 2 * settings.calls.max_header_bytes }),
    control: new Listener(),
    ready: settings.daemon.ready && new Listener(),
    announcements: settings.upstream.announcements && new Listener(),
  };
}

/**
 * Binds the servers to their addresses.
 *
 * @param listeners - The servers.
 * @param settings - Source of the addresses.
 * @returns The bound addresses, with their actual ports.
 * @throws If an address can't be bound.
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
