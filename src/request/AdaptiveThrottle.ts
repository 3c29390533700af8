import type { Clock, Random } from '../common/Types';
import SlidingCounts from './SlidingCounts';

/** Length of the sliding window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/** Number of equal intervals into which the sliding window is divided. */
const INTERVALS = 10;
/**
 * Number of calls that are offered for each call that was admitted lately. It is above 1, so that more
 * calls are offered as soon as more are admitted.
 */
const OFFERS_PER_ADMITTED = 1.25;
/** Number of calls that is added to those of the window, so that a few refusals don't count as most. */
const MIN_CALLS = 10;
const RANDOM_STEPS = 1_000;

/**
 * Rejects part of the calls of one route at the daemon of their callers, while most of them are refused
 * for lack of slots.
 *
 * Handles an overload that outlasts its cause. A refusal costs the daemon beside an upstream about as
 * much as a call that it passes on, and a refused caller comes again. Without a limit at the source,
 * these daemons spend their processor time on refusals, so that the inner calls of their upstreams
 * wait, slots are held for longer, and even more calls are refused.
 *
 * @see {@link https://sre.google/sre-book/handling-overload/#eq2101}
 */
export default class AdaptiveThrottle {
  private readonly counts: SlidingCounts<'call' | 'admitted'>;

  private latestRetryAfterMs: number | undefined;

  /**
   * @param clock - Monotonic clock.
   * @param random - Random numbers that select the calls to reject.
   */
  public constructor(
    clock: Clock,
    private readonly random: Random,
  ) {
    this.counts = new SlidingCounts(() => WINDOW_MS, INTERVALS, clock);
  }

  /**
   * Milliseconds after which an upstream expects to have a free slot, from the latest refusal;
   * `undefined` before the first.
   */
  public get retryAfterMs(): number | undefined {
    return this.latestRetryAfterMs;
  }

  /**
   * Decides at random whether to reject a call without offering it to an upstream. The result of a call
   * that is not rejected must be recorded.
   */
  public shouldReject(): boolean {
    const calls = this.counts.total('call');
    const admitted = this.counts.total('admitted');
    const share = (calls - OFFERS_PER_ADMITTED * admitted) / (calls + MIN_CALLS);
    const isRejected = this.random.below(RANDOM_STEPS) < share * RANDOM_STEPS;
    if (isRejected) this.counts.add('call');
    return isRejected;
  }

  /** Records a call that got a slot. */
  public recordAdmitted(): void {
    this.counts.add('call');
    this.counts.add('admitted');
  }

  /**
   * Records a call that was refused for lack of slots.
   *
   * @param retryAfterMs - Milliseconds after which a slot is expected to be free.
   */
  public recordRefused(retryAfterMs: number): void {
    this.counts.add('call');
    this.latestRetryAfterMs = retryAfterMs;
  }
}
