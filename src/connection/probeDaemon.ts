import { request } from 'node:http';
import nextTurns from '../common/nextTurns';
import type { Address } from '../common/Types';
import type { ProbeResult } from '../request/Types';
import { ALIVE_PATH } from './peerPath';

/** Longest wait for the answer to a probe, in milliseconds: many round trips between zones. */
const PROBE_TIMEOUT_MS = 300;
/** Turns of the event loop in which what came in before the time-out is read. */
const LAST_TURNS = 4;
const ALIVE_STATUS = 204;
/** Error of a connection that no process takes. */
const REFUSED = 'ECONNREFUSED';

/**
 * Asks a daemon for a sign of life on a connection of its own.
 *
 * @param address - Of the daemon.
 * @returns What it showed. Whoever asks logs what follows from it.
 */
export default function probeDaemon(address: Address): Promise<ProbeResult> {
  return new Promise((resolve) => {
    let connected = false;
    const probe = request(`http://${address}${ALIVE_PATH}`, { agent: false });
    const end = (result: ProbeResult) => {
      resolve(result);
      probe.destroy();
    };
    const expire = async () => {
      // This daemon may be the one that is late.
      await nextTurns(LAST_TURNS);
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
      end(statusCode === ALIVE_STATUS ? 'answers' : 'silent');
    });
    probe.once('error', ({ code }: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      if (connected) resolve('silent');
      else resolve(code === REFUSED ? 'unreachable' : 'unconnected');
    });
    probe.end();
  });
}
