import { request } from 'node:http';
import waitEventLoopTurns from '../common/waitEventLoopTurns';
import type { Address } from '../common/Types';
import type { ProbeResult } from '../request/Types';
import { LIVENESS_PATH } from './peerPath';

/** Timeout of a probe in milliseconds; many times the round trip between zones. */
const PROBE_TIMEOUT_MS = 300;
/** Number of event loop turns after the timeout in which arrived data is still read. */
const FINAL_LOOP_TURNS = 4;
const LIVENESS_STATUS = 204;
/** Error code of a connection attempt to a port on which no process listens. */
const CONNECTION_REFUSED_CODE = 'ECONNREFUSED';

/**
 * Sends a liveness probe to a daemon on a new connection. Does not log; the caller does.
 *
 * @param address - Address of the daemon for other daemons.
 * @returns `answers` after a valid response, `silent` if the connection was established without one,
 *   `unreachable` if it was refused, `unconnected` if it was not established for another reason.
 */
export default function probeDaemon(address: Address): Promise<ProbeResult> {
  return new Promise((resolve) => {
    let connected = false;
    const probe = request(`http://${address}${LIVENESS_PATH}`, { agent: false });
    const end = (result: ProbeResult) => {
      resolve(result);
      probe.destroy();
    };
    const expire = async () => {
      // If this process stalled, the response may have arrived without having been read.
      await waitEventLoopTurns(FINAL_LOOP_TURNS);
      end(connected ? 'silent' : 'unconnected');
    };
    const timer = setTimeout(() => void expire(), PROBE_TIMEOUT_MS);
    probe.once('socket', (socket) => {
      socket.once('connect', () => {
        connected = true;
      });
    });
    probe.once('response', ({ statusCode }) => {
      clearTimeout(timer);
      end(statusCode === LIVENESS_STATUS ? 'answers' : 'silent');
    });
    probe.once('error', ({ code }: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      if (connected) resolve('silent');
      else resolve(code === CONNECTION_REFUSED_CODE ? 'unreachable' : 'unconnected');
    });
    probe.end();
  });
}
