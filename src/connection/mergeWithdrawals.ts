import type { Withdrawal } from './Types';

/** Maximum number of withdrawals that a member record carries; the oldest is dropped. */
const MAX_WITHDRAWALS = 8;

/** Whether a withdrawal covers each announcement that another one covers. */
function includes(known: Withdrawal, other: Withdrawal): boolean {
  if (known.instance !== other.instance) return false;
  if (known.startedAt !== other.startedAt) return known.startedAt > other.startedAt;
  return known.sequence === null || (other.sequence ?? Infinity) <= known.sequence;
}

/**
 * @param known - Withdrawals of one daemon, the newest last; `undefined` if there are none.
 * @param others - Further withdrawals of the same daemon.
 * @returns Both; the very list `known` if the others add nothing to it.
 */
export default function mergeWithdrawals(
  known: readonly Withdrawal[] | undefined,
  others: readonly Withdrawal[] | undefined,
): readonly Withdrawal[] | undefined {
  const before = known ?? [];
  const added = (others ?? []).filter(
    (other) => !before.some((withdrawal) => includes(withdrawal, other)),
  );
  if (added.length === 0) return known;
  const kept = before.filter((withdrawal) => !added.some((other) => includes(other, withdrawal)));
  return [...kept, ...added].slice(-MAX_WITHDRAWALS);
}
