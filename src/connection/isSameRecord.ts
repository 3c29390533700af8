import type { MemberRecord } from './Types';

/**
 * @param a - A record.
 * @param b - Another one of the same member, if any.
 * @returns Whether they say the same.
 */
export default function isSameRecord(a: MemberRecord, b: MemberRecord | undefined): boolean {
  return a.incarnation === b?.incarnation && a.sequence === b.sequence && a.health === b.health;
}
