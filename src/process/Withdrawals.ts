import type { InstanceId } from '../common/Types';
import mergeWithdrawals from '../connection/mergeWithdrawals';
import type { Withdrawal } from '../connection/Types';
import type { Announcement } from './Types';

/**
 * The latest upstream processes on this VM that drained or left. A restarted daemon gets them back from its
 * peers or the store, so that a delayed announcement from before can't bring such a process back into use.
 */
export default class Withdrawals {
  private entries: readonly Withdrawal[] | undefined;

  /** The withdrawals, the newest last; `undefined` if there are none. */
  public get list(): readonly Withdrawal[] | undefined {
    return this.entries;
  }

  /**
   * @param instance - Id of an upstream process.
   * @param startedAt - Its start time, in milliseconds since the epoch.
   * @returns Whether a withdrawal of this process is known.
   */
  public has(instance: InstanceId, startedAt: number): boolean {
    return (this.entries ?? []).some(
      (known) => known.instance === instance && known.startedAt === startedAt,
    );
  }

  /**
   * @param withdrawals - Processes that drained or left.
   * @returns Whether they add something to the known withdrawals.
   */
  public add(...withdrawals: readonly Withdrawal[]): boolean {
    const before = this.entries;
    this.entries = mergeWithdrawals(before, withdrawals);
    return this.entries !== before;
  }

  /**
   * @param announcement - An announcement that may have been delayed.
   * @returns Whether its process has left, or has begun to drain since it was sent.
   */
  public covers({ instance, startedAt = 0, sequence = 0, state }: Announcement): boolean {
    return (this.entries ?? []).some((known) => {
      if (known.instance !== instance || startedAt > known.startedAt) return false;
      if (known.sequence === null || startedAt < known.startedAt) return true;
      return state !== 'draining' && sequence <= known.sequence;
    });
  }
}
