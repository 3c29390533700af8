/**
 * Constants of the quota protocol, and the assignment of organisations to credit pools.
 *
 * @packageDocumentation
 */
import rendezvousWeight from '../common/rendezvousWeight';
import type { DaemonId, OrganisationName } from '../common/Types';
import type { Quota } from '../version/Types';
import type { QuotaTolerance } from './Types';

/**
 * Number of credit pools. Each daemon sends a message a second to the owner of each, whatever the number of
 * organisations: with a pool for each organisation, 62 daemons would exchange 4,500 messages a second.
 */
export const POOL_COUNT = 8;
/** Number of pools that share an organisation's quota, so that the loss of one owner leaves half of it. */
export const POOLS_PER_ORGANISATION = 2;
/** Time in ms for which a credit is valid, from the request for it. */
export const CREDIT_MS = 1_500;
/**
 * Time in ms after a clock reading of an owner for which it may grant credits of a part lent to it. Requests that renew
 * a loan state the reading of the previous reply, so it is longer than two intervals of requests.
 */
export const GRANTING_MS = 3_000;
/** Time in ms after which a lent part is free again: all credits that it backed have expired. */
export const LOAN_MS = GRANTING_MS + CREDIT_MS;
/**
 * Share of the tolerance that is added to the burst. The rest covers daemons that disagree for a moment about the
 * number of members.
 */
const BUCKET_TOLERANCE = 0.75;

/**
 * @param name - Name of an organisation.
 * @returns The two pools that share its quota.
 */
export function poolsOf(name: OrganisationName): readonly [number, number] {
  const weight = rendezvousWeight(name, 'pools');
  const first = weight % POOL_COUNT;
  const step = 1 + (Math.floor(weight / POOL_COUNT) % (POOL_COUNT - 1));
  return [first, (first + step) % POOL_COUNT];
}

/**
 * @param quota - Quota of an organisation.
 * @param tolerance - What is tolerated beyond it.
 * @returns Most credits that may exist at a time, over all pools and daemons.
 */
export function maxCredits(quota: Quota, tolerance: QuotaTolerance): number {
  const { windowMs, over, slack } = tolerance;
  const inWindow = (quota.rate * windowMs) / 1_000 + quota.burst;
  return quota.burst + BUCKET_TOLERANCE * (inWindow * over + slack);
}

/**
 * @param pool - Number of a credit pool.
 * @param daemons - Daemons that may own it.
 * @returns The daemons in the order in which they are preferred as owners, the same at all daemons.
 */
export function rankOwners(pool: number, daemons: readonly DaemonId[]): readonly DaemonId[] {
  const weights = new Map(daemons.map((id) => [id, rendezvousWeight(`quota ${pool}`, id)]));
  return [...daemons].sort((a, b) => weights.get(b)! - weights.get(a)!);
}
