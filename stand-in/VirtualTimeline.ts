import ManualClock from './ManualClock';

/** Virtual time: a clock, and waits that end when the clock reaches their time. */
export default class VirtualTimeline {
  public readonly clock = new ManualClock();

  private readonly waits = new Map<number, (() => void)[]>();

  /**
   * @param ms - Virtual time, in milliseconds.
   * @returns Resolves when the clock has reached it.
   */
  public until(ms: number): Promise<void> {
    const at = Math.max(Math.ceil(ms), this.clock.now() + 1);
    return new Promise((resolve) => {
      this.waits.set(at, [...(this.waits.get(at) ?? []), resolve]);
    });
  }

  /** Advances the clock by a millisecond and ends the waits for that time. */
  public async advance(): Promise<void> {
    this.clock.advance(1);
    const now = this.clock.now();
    for (const resolve of this.waits.get(now) ?? []) resolve();
    this.waits.delete(now);
    await new Promise(setImmediate);
  }
}
