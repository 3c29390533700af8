import { createHash } from 'node:crypto';
import type { KeyDigest } from '../common/Types';

/**
 * @param key - Key of a caller, in clear text.
 * @returns Its digest, as configurations hold it.
 */
export default function keyDigest(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('hex') as KeyDigest;
}
