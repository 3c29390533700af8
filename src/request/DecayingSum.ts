/** Sum of amounts that decays exponentially with time. */
export default class DecayingSum {
  private value = 0;

  private at = 0;

  /** @param timeConstantMs - Time in milliseconds after which 1/e of an amount is left. */
  public constructor(private readonly timeConstantMs: number) {}

  /**
   * @param amount - Amount to add.
   * @param now - Monotonic time, in milliseconds.
   */
  public add(amount: number, now: number): void {
    this.value = this.read(now) + amount;
    this.at = now;
  }

  /**
   * @param now - Monotonic time, in milliseconds.
   * @returns What is left of the amounts.
   */
  public read(now: number): number {
    return this.value * Math.exp((this.at - now) / this.timeConstantMs);
  }
}
