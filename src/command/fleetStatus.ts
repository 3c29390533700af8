import PQueue from 'p-queue';
import type { MemberRecord } from '../connection/Types';
import type { DaemonStatus } from '../process/Types';
import { fetchStatus } from './daemonClient';

const MAX_CONCURRENT_REQUESTS = 32;

/** A member and the status that its daemon returned. */
export interface MemberStatus {
  readonly member: MemberRecord;
  /** Status of the daemon; `undefined` if it didn't respond. */
  readonly status: DaemonStatus | undefined;
}

/**
 * Fetches the status of each daemon from the daemon itself, as gossip about it may be outdated.
 *
 * @param members - Members to query.
 * @returns The members with their status, sorted by name.
 */
export async function fleetStatus(members: readonly MemberRecord[]): Promise<MemberStatus[]> {
  const queue = new PQueue({ concurrency: MAX_CONCURRENT_REQUESTS });
  const requests = members.map((member) =>
    queue.add(async () => ({
      member,
      status: await fetchStatus(member.control).catch(() => undefined),
    })),
  );
  const statuses = await Promise.all(requests);
  return statuses.sort((a, b) => (a.member.id < b.member.id ? -1 : 1));
}
