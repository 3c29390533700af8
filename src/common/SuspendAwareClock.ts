import type { Clock } from './Types';

/** Lead of the time of day over the monotonic clock, in ms, above which it counts as a suspension. */
const MIN_JUMP_MS = 250;

/**
 * Monotonic clock that also advances while the VM is suspended, which stops the system's monotonic clock. A time of day
 * that is set forward counts as a suspension, so that what depends on this clock expires too early rather than too
 * late.
 */
export default class SuspendAwareClock implements Clock {
  private suspendedMs = 0;

  private readonly origin: number;

  /**
   * @param clock - Monotonic clock.
   * @param timeOfDay - Returns the time of day, in milliseconds since the epoch.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly timeOfDay: () => number,
  ) {
    this.origin = timeOfDay() - clock.now();
  }

  /** Total length of the suspensions so far, in milliseconds. */
  public get totalSuspendedMs(): number {
    return this.suspendedMs;
  }

  public now(): number {
    const monotonic = this.clock.now();
    const leadMs = this.timeOfDay() - this.origin - monotonic;
    if (leadMs - this.suspendedMs > MIN_JUMP_MS) this.suspendedMs = leadMs;
    return monotonic + this.suspendedMs;
  }
}
