import type { Clock } from './Types';

/** The clock of the operating system. */
export default class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }
}
