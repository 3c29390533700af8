/** Time over which events are averaged, in milliseconds. */
const TIME_CONSTANT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Average number of events a second, with exponential decay. */
export default class DecayingRate {
  private value = 0;

  private at = 0;

  /** @param now - Monotonic time of an event, in milliseconds. */
  public add(now: number): void {
    this.value = this.read(now) + MS_PER_SECOND / TIME_CONSTANT_MS;
    this.at = now;
  }

  /**
   * @param now - Monotonic time, in milliseconds.
   * @returns Events a second.
   */
  public read(now: number): number {
    return this.value * Math.exp((this.at - now) / TIME_CONSTANT_MS);
  }
}
