import DecayingSum from './DecayingSum';

const MS_PER_SECOND = 1_000;

/** Average number of events a second, with exponential decay. */
export default class DecayingRate {
  private readonly sum: DecayingSum;

  /** @param timeConstantMs - Time over which events are averaged, in milliseconds. */
  public constructor(private readonly timeConstantMs: number) {
    this.sum = new DecayingSum(timeConstantMs);
  }

  /** @param now - Monotonic time of an event, in milliseconds. */
  public add(now: number): void {
    this.sum.add(MS_PER_SECOND / this.timeConstantMs, now);
  }

  /**
   * @param now - Monotonic time, in milliseconds.
   * @returns Events a second.
   */
  public read(now: number): number {
    return this.sum.read(now);
  }
}
