import type { Clock } from '../common/Types';
import SlidingCounts from './SlidingCounts';

/** Number of equal intervals into which the sliding window of the retry budget is divided. */
const INTERVALS = 20;
/**
 * Fraction of the allowed retries that a daemon makes use of. The rest is a reserve, as the retries
 * of one daemon cause further retries at other daemons.
 */
const USABLE_FRACTION = 0.7;

/** Limits of the retries and hedges to one service. */
export interface RetryAllowance {
  /** @returns Length of the sliding window, in milliseconds. */
  readonly windowMs: () => number;
  /**
   * @returns Number of retries that are allowed per window in addition to the share of the calls;
   * this daemon's part, if all daemons share that number.
   */
  readonly slack: () => number;
  /** @returns Upper bound of the share of calls that may be retried; limits configured shares. */
  readonly maxShare: () => number;
}

/**
 * Limits the retries and hedges to one service to a share of its calls, in any window of the
 * configured length. Each daemon counts only its own calls; if each stays within its share, so does
 * the sum over the fleet.
 *
 * Handles upstreams that fail part of all calls at the same time. Without a limit every daemon
 * would retry every failed call and double the load that caused the failures.
 */
export default class RetryBudget {
  private readonly counts: SlidingCounts<'call' | 'retry'>;

  private share = 0;

  public constructor(
    private readonly allowance: RetryAllowance,
    clock: Clock,
  ) {
    this.counts = new SlidingCounts(() => allowance.windowMs(), INTERVALS, clock);
  }

  /**
   * Records a call.
   *
   * @param share - Configured share of calls that may be retried, 0 to 1.
   */
  public deposit(share: number): void {
    this.share = Math.min(share, this.allowance.maxShare());
    this.counts.add('call');
  }

  /** Records a call that is a repetition itself, as a call above it was repeated; it isn't refused. */
  public chargeRepeat(): void {
    this.counts.add('retry');
  }

  /** @returns Whether a retry or hedge is within the budget; if so, it is recorded as made. */
  public withdraw(): boolean {
    const calls = this.counts.total('call');
    const retries = this.counts.total('retry');
    const allowed = USABLE_FRACTION * (this.share * calls + this.allowance.slack());
    if (retries + 1 > allowed) return false;
    this.counts.add('retry');
    return true;
  }
}
