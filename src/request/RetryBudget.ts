import type { Clock } from '../common/Types';
import SlidingCounts from './SlidingCounts';

/** Number of equal intervals into which the sliding window of the retry budget is divided. */
const INTERVALS = 20;
/**
 * Fraction of the allowed retries that a daemon makes itself. The rest is a reserve: charges for inner
 * calls are estimates and fall on some daemons only, while the others use their share in full.
 */
const USABLE_FRACTION = 0.7;
/**
 * Fraction that its own retries and the charges for inner calls may reach together. Charges use the reserve
 * first, as an upstream at full load is never idle, so that ordinary callers are taken for inner ones.
 */
const USABLE_WITH_CHARGES = 0.85;
/**
 * Fraction of a slack that all daemons share of which a daemon makes use. Before a service has many calls, the
 * retries within the slack of one service cause up to two inner calls each at another service, which has a
 * slack of its own to use. At 0.7, 5 of 100 fleets exceeded the bound in the first seconds, by up to 23 %.
 */
const USABLE_SHARED_SLACK = 0.5;

/** Limits of the retries and hedges to one service. */
export interface RetryAllowance {
  /** @returns Length of the sliding window, in milliseconds. */
  readonly windowMs: () => number;
  /**
   * @returns Number of retries that are allowed per window in addition to the share of the calls;
   * this daemon's part, if all daemons share that number.
   */
  readonly slack: () => number;
  /** @returns Whether that number is a part of one bound for all daemons together. */
  readonly isShared: () => boolean;
  /** @returns Upper bound of the share of calls that may be retried; limits configured shares. */
  readonly maxShare: () => number;
}

/**
 * Limits the retries and hedges to one service to a share of its calls, in any window of the
 * configured length. Each daemon counts only its own calls; if each stays within its share, so does
 * the sum over the fleet. Calls that are repetitions themselves use up the same share, but aren't refused:
 * only own retries and hedges are.
 *
 * Handles upstreams that fail part of all calls at the same time. Without a limit every daemon
 * would retry every failed call and double the load that caused the failures.
 */
export default class RetryBudget {
  private readonly counts: SlidingCounts<'call' | 'retry' | 'charge'>;

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

  /**
   * Records a call that may be a repetition itself, as a call above it was repeated; it isn't refused.
   *
   * @param probability - Probability that it is one, 0 to 1.
   */
  public chargeRepeat(probability: number): void {
    if (probability > 0) this.counts.add('charge', probability);
  }

  /**
   * Takes a call out of the count that no upstream received, as daemons refused all of its attempts: a
   * service may get repeats only in proportion to the calls that it gets.
   *
   * @param probability - Probability with which the call was recorded as a repetition.
   */
  public retract(probability: number): void {
    this.counts.add('call', -1);
    if (probability > 0) this.counts.add('charge', -probability);
  }

  /** @returns Whether a retry or hedge is within the budget; if so, it is recorded as made. */
  public withdraw(): boolean {
    const calls = Math.max(0, this.counts.total('call'));
    const retries = this.counts.total('retry');
    const { slack, isShared } = this.allowance;
    const usableSlack = (isShared() ? USABLE_SHARED_SLACK : USABLE_FRACTION) * slack();
    const share = this.share * calls;
    if (retries + 1 > USABLE_FRACTION * share + usableSlack) return false;
    const charges = this.counts.total('charge');
    if (retries + charges + 1 > USABLE_WITH_CHARGES * share + usableSlack) return false;
    this.counts.add('retry');
    return true;
  }
}
