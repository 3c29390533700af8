import type { Clock, Random } from '../common/Types';

/** Length of the sliding window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/** Number of equal intervals into which the sliding window is divided. */
const BUCKETS = 10;
/**
 * Number of calls that are offered for each call that was admitted lately. It is above 1, so that more
 * calls are offered as soon as more are admitted.
 */
const OFFERS_PER_ADMITTED = 1.25;
/** Number of calls that is added to those of the window, so that a few refusals don't count as most. */
const MIN_CALLS = 10;
const RANDOM_STEPS = 1_000;

interface Bucket {
  readonly index: number;
  calls: number;
  admitted: number;
}

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
  private readonly buckets: Bucket[] = [];

  private latestRetryAfterMs: number | undefined;

  /**
   * @param clock - Monotonic clock.
   * @param random - Random numbers that select the calls to reject.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

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
    const current = this.currentBucket();
    let calls = 0;
    let admitted = 0;
    for (const bucket of this.buckets) {
      calls += bucket.calls;
      admitted += bucket.admitted;
    }
    const share = (calls - OFFERS_PER_ADMITTED * admitted) / (calls + MIN_CALLS);
    const isRejected = this.random.below(RANDOM_STEPS) < share * RANDOM_STEPS;
    if (isRejected) current.calls += 1;
    return isRejected;
  }

  /** Records a call that got a slot. */
  public recordAdmitted(): void {
    const bucket = this.currentBucket();
    bucket.calls += 1;
    bucket.admitted += 1;
  }

  /**
   * Records a call that was refused for lack of slots.
   *
   * @param retryAfterMs - Milliseconds after which a slot is expected to be free.
   */
  public recordRefused(retryAfterMs: number): void {
    this.currentBucket().calls += 1;
    this.latestRetryAfterMs = retryAfterMs;
  }

  /** Drops the buckets older than the sliding window and returns the current one. */
  private currentBucket(): Bucket {
    const index = Math.floor((this.clock.now() * BUCKETS) / WINDOW_MS);
    while (this.buckets.length > 0 && this.buckets[0]!.index <= index - BUCKETS) {
      this.buckets.shift();
    }
    const last = this.buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, calls: 0, admitted: 0 };
    this.buckets.push(bucket);
    return bucket;
  }
}
