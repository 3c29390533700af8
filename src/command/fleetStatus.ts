import PQueue from 'p-queue';
import type { MemberRecord } from '../connection/Types';
import type { DaemonStatus } from '../process/Types';
import { askStatus } from './daemonClient';

const ASKED_AT_ONCE = 32;

/** What one daemon said of itself. */
export interface MemberStatus {
  readonly member: MemberRecord;
  /** `undefined` where it didn't answer. */
  readonly status: DaemonStatus | undefined;
}

/**
 * Asks every daemon itself what it has in force, so that nothing is taken from hearsay.
 *
 * @param members - Whom to ask.
 * @returns Their answers, in the order of their names.
 */
export async function fleetStatus(members: readonly MemberRecord[]): Promise<MemberStatus[]> {
  const queue = new PQueue({ concurrency: ASKED_AT_ONCE });
  const asked = members.map((member) =>
    queue.add(async () => ({
      member,
      status: await askStatus(member.control).catch(() => undefined),
    })),
  );
  const statuses = await Promise.all(asked);
  return statuses.sort((a, b) => (a.member.id < b.member.id ? -1 : 1));
}
