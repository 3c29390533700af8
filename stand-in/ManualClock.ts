import type { Clock } from '../src/common/Types';

/** Clock of a test, which advances only when the test advances it. */
export default class ManualClock implements Clock {
  private nowMs = 0;

  public now(): number {
    return this.nowMs;
  }

  /** @param ms - Milliseconds to advance the clock by. */
  public advance(ms: number): void {
    this.nowMs += ms;
  }
}
