import { createHash } from 'node:crypto';

/**
 * Computes the weight of a member for a key, for rendezvous (highest random weight) hashing. All
 * daemons compute the same weights and so agree on the ranking without communication.
 *
 * @param key - Key to assign to a member.
 * @param member - Member to compute the weight of.
 * @returns An integer below 2^48; the member with the highest weight ranks first.
 */
export default function rendezvousWeight(key: string, member: string): number {
  return createHash('sha1').update(`${key}\n${member}`).digest().readUIntBE(0, 6);
}
