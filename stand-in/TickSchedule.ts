import ManualClock from './ManualClock';

/** Length of a tick, in milliseconds. */
const TICK_MS = 0.1;

/** Runs callbacks in the order of their virtual times, rounded up to a tenth of a millisecond. */
export default class TickSchedule {
  public readonly clock = new ManualClock();

  private readonly callbacks = new Map<number, (() => void)[]>();

  private tick = 0;

  /**
   * @param delayMs - Virtual time from now, in milliseconds.
   * @param run - Called when it has passed.
   */
  public after(delayMs: number, run: () => void): void {
    const due = this.tick + Math.max(1, Math.ceil(delayMs / TICK_MS));
    const list = this.callbacks.get(due);
    if (list) list.push(run);
    else this.callbacks.set(due, [run]);
  }

  /** @param ms - Virtual time to run for, in milliseconds. */
  public run(ms: number): void {
    const end = this.tick + Math.round(ms / TICK_MS);
    while (this.tick < end) {
      this.tick += 1;
      const due = this.callbacks.get(this.tick);
      if (due) {
        this.callbacks.delete(this.tick);
        this.clock.advance(this.tick * TICK_MS - this.clock.now());
        for (const run of due) run();
      }
    }
    this.clock.advance(this.tick * TICK_MS - this.clock.now());
  }
}
