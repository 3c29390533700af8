import { createHash } from 'node:crypto';

/**
 * Weight of a member for a key, by highest-random-weight hashing.
 *
 * @param key - What is to be placed.
 * @param member - The candidate.
 * @returns An integer below 2^48; the highest weight ranks first.
 */
export function rendezvousWeight(key: string, member: string): number {
  return createHash('sha1').update(`${key}\n${member}`).digest().readUIntBE(0, 6);
}

/**
 * Ranks members for a key, the same way on every daemon that knows the same members.
 *
 * @param key - What is to be placed.
 * @param members - The candidates.
 * @returns The candidates, highest weight first.
 */
export function rendezvousRank<Member extends string>(
  key: string,
  members: Iterable<Member>,
): Member[] {
  return [...members]
    .map((member) => ({ member, weight: rendezvousWeight(key, member) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}
