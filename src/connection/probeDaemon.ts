import { request } from 'node:http';
import type { Address } from '../common/Types';
import { ALIVE_PATH } from './peerPath';

/** Longest wait for the answer to a probe, in milliseconds: many round trips between zones. */
const PROBE_TIMEOUT_MS = 300;
const ALIVE_STATUS = 204;

/**
 * Asks a daemon for a sign of life on a connection of its own.
 *
 * @param address - Of the daemon.
 * @returns Whether it answered in time. Any failure is the answer no; the one who asks logs what
 * follows from it.
 */
export default function probeDaemon(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const probe = request(`http://${address}${ALIVE_PATH}`, { agent: false, signal });
    probe.once('response', (response) => {
      response.resume();
      resolve(response.statusCode === ALIVE_STATUS);
    });
    probe.once('error', () => resolve(false));
    probe.end();
  });
}
