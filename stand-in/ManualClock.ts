import type { Clock } from '../src/common/Types';

/** A clock that only moves when a test says so. */
export default class ManualClock implements Clock {
  private time = 0;

  public now(): number {
    return this.time;
  }

  /** @param ms - Milliseconds to move on. */
  public advance(ms: number): void {
    this.time += ms;
  }
}
