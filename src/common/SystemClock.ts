import type { Clock } from './Types';

/** The monotonic clock of the process; unaffected by changes of the system time. */
export default class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }
}
