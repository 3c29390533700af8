import type { MemberRecord } from './Types';

/**
 * @param a - Record of a member.
 * @param b - Another record of the same member, if any.
 * @returns Whether both have the same incarnation, sequence and health, and so the same content.
 */
export default function isSameRecord(a: MemberRecord, b: MemberRecord | undefined): boolean {
  return a.incarnation === b?.incarnation && a.sequence === b.sequence && a.health === b.health;
}
