import type { Clock } from '../common/Types';

/** Parts of a window in which calls are counted. */
const BUCKETS = 20;
/** Part of the share that is spent; the rest is for repeats that follow from repeats elsewhere. */
const SPENT_PART = 0.7;

/** Bounds of the repeats to one service. */
export interface RetryAllowance {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: () => number;
  /**
   * Repeats that are allowed in a window beside the share of the calls.
   *
   * @returns The part of this daemon.
   */
  readonly slack: () => number;
  /** Largest share of the calls that may be repeated, whatever the configuration says. */
  readonly maxShare: () => number;
}

interface Bucket {
  index: number;
  calls: number;
  repeats: number;
}

/**
 * Bounds retries and hedges of one service to a share of its calls, in any window of the given
 * length. Each daemon counts its own calls, so that the sum over the fleet keeps the bound too.
 *
 * Load it answers: upstreams that fail a part of all calls at once. Without a bound every daemon
 * sends everything again, and the load that failed is doubled.
 */
export default class RetryBudget {
  private readonly buckets: Bucket[] = [];

  private share = 0;

  public constructor(
    private readonly allowance: RetryAllowance,
    private readonly clock: Clock,
  ) {}

  /**
   * A call was made.
   *
   * @param share - Share of calls that may be sent again, 0 to 1.
   */
  public deposit(share: number): void {
    this.share = Math.min(share, this.allowance.maxShare());
    this.current().calls += 1;
  }

  /** @returns Whether one more attempt may be made; it counts as made then. */
  public withdraw(): boolean {
    const current = this.current();
    let calls = 0;
    let repeats = 0;
    for (const bucket of this.buckets) {
      calls += bucket.calls;
      repeats += bucket.repeats;
    }
    const allowed = SPENT_PART * (this.share * calls + this.allowance.slack());
    if (repeats + 1 > allowed) return false;
    current.repeats += 1;
    return true;
  }

  private current(): Bucket {
    const bucketMs = this.allowance.windowMs() / BUCKETS;
    const index = Math.floor(this.clock.now() / bucketMs);
    while (this.buckets.length > 0 && this.buckets[0]!.index <= index - BUCKETS) {
      this.buckets.shift();
    }
    const last = this.buckets[this.buckets.length - 1];
    if (last?.index === index) return last;
    const bucket = { index, calls: 0, repeats: 0 };
    this.buckets.push(bucket);
    return bucket;
  }
}
