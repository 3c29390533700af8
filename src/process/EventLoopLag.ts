import type { Clock, Disposable, Logger } from '../common/Types';

/** Interval between two samples of the event loop's lag, in milliseconds. */
const SAMPLE_INTERVAL_MS = 50;
/**
 * Maximum age, in milliseconds, of the second latest lag sample at which the event loop counts as
 * running on time.
 */
const MAX_ON_TIME_MS = 2.4 * SAMPLE_INTERVAL_MS;
/** Weight of the previous average lag in each new average, which spans about four samples. */
const DECAY_FACTOR = 0.7;
/**
 * Event loop lag in milliseconds above which the lag is logged; most calls are rejected at such a
 * lag.
 */
const LOG_THRESHOLD_MS = 200;

/** Measures how late the event loop runs its timers, in milliseconds. */
export default class EventLoopLag implements Disposable {
  private readonly timer: NodeJS.Timeout;

  private smoothedMs = 0;

  /** Monotonic time in ms at which the latest lag sample was taken. */
  private lastSampleAt: number;

  /** Monotonic time in ms at which the lag sample before the latest one was taken. */
  private previousSampleAt: number;

  /**
   * @param clock - Monotonic clock.
   * @param logger - Receives a line for each long lag.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.lastSampleAt = clock.now();
    this.previousSampleAt = this.lastSampleAt;
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS).unref();
  }

  /** Average lag of the latest samples, or the lag of an overdue sample if that is longer. */
  public get currentMs(): number {
    return Math.max(this.smoothedMs, this.overdueMs(this.clock.now()));
  }

  /**
   * Upper bound, in milliseconds, of the time that data read in this turn of the event loop has waited.
   * The data arrived after the previous turn started to poll for input, so the bound is the length of
   * the previous turn plus the elapsed part of this one.
   */
  public get maxReadDelayMs(): number {
    const elapsedMs = this.clock.now() - this.previousSampleAt;
    return elapsedMs > MAX_ON_TIME_MS ? elapsedMs : 0;
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  /** Takes a lag sample. The timer calls it at the start of a turn; tests call it directly. */
  public sample(): void {
    const now = this.clock.now();
    const lagMs = Math.max(0, this.overdueMs(now));
    if (lagMs > LOG_THRESHOLD_MS) {
      this.logger.log('The event loop was held up.', { lagMs: Math.round(lagMs) });
    }
    this.smoothedMs = Math.max(lagMs, DECAY_FACTOR * this.smoothedMs + (1 - DECAY_FACTOR) * lagMs);
    this.previousSampleAt = this.lastSampleAt;
    this.lastSampleAt = now;
  }

  /** Milliseconds since the next lag sample was due; negative before that. */
  private overdueMs(now: number): number {
    return now - this.lastSampleAt - SAMPLE_INTERVAL_MS;
  }
}
