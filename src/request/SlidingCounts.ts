import type { Clock } from '../common/Types';

interface Bucket<Name extends string> {
  readonly index: number;
  readonly counts: Map<Name, number>;
}

/** Counts events by name in a sliding window, which is divided into equal intervals. */
export default class SlidingCounts<Name extends string> {
  private readonly buckets: Bucket<Name>[] = [];

  /**
   * @param windowMs - Returns the length of the window, in milliseconds.
   * @param intervals - Number of intervals of the window.
   * @param clock - Monotonic clock.
   */
  public constructor(
    private readonly windowMs: () => number,
    private readonly intervals: number,
    private readonly clock: Clock,
  ) {}

  /**
   * @param name - Name of an event that happened now.
   * @param count - How often it happened; may be a fraction, for an expected number, or negative.
   */
  public add(name: Name, count = 1): void {
    const { counts } = this.currentBucket();
    counts.set(name, (counts.get(name) ?? 0) + count);
  }

  /**
   * @param name - Name of an event.
   * @returns How often it happened in the window.
   */
  public total(name: Name): number {
    this.currentBucket();
    return this.buckets.reduce((sum, { counts }) => sum + (counts.get(name) ?? 0), 0);
  }

  /** Drops the buckets older than the sliding window and returns the current one. */
  private currentBucket(): Bucket<Name> {
    const bucketMs = this.windowMs() / this.intervals;
    const index = Math.floor(this.clock.now() / bucketMs);
    while (this.buckets.length > 0 && this.buckets[0]!.index <= index - this.intervals) {
      this.buckets.shift();
    }
    const last = this.buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, counts: new Map<Name, number>() };
    this.buckets.push(bucket);
    return bucket;
  }
}
