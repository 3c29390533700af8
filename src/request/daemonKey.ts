import type { DaemonId } from '../common/Types';
import shortKeys from './shortKeys';

const KEY_COUNT = 2 ** 32;

const keyOf = shortKeys<DaemonId>('daemon', KEY_COUNT);

/**
 * Returns a short key for a daemon, so that a relayed report needs five bytes instead of the name. Two of
 * 1,000 daemons have the same key with a probability of 1 in 8,600.
 *
 * @param daemon - Name of the daemon.
 * @returns The key, the same at all daemons.
 */
export default function daemonKey(daemon: DaemonId): number {
  return keyOf(daemon);
}
