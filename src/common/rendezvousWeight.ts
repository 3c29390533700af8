import { createHash } from 'node:crypto';

/**
 * Weight of a member for a key, by highest-random-weight hashing.
 *
 * @param key - What is to be placed.
 * @param member - The candidate.
 * @returns An integer below 2^48; the highest weight ranks first.
 */
export default function rendezvousWeight(key: string, member: string): number {
  return createHash('sha1').update(`${key}\n${member}`).digest().readUIntBE(0, 6);
}
