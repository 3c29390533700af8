import type { Clock, Disposable, Logger } from '../common/Types';

/** How often the lag is measured, in milliseconds. */
const TICK_MS = 50;
/** Time since the last but one tick up to which ticks count as in time, in milliseconds. */
const IN_TIME_MS = 2.4 * TICK_MS;
/** Part of the former lag that stays after a tick: about four ticks count. */
const KEPT_PART = 0.7;
/** Lag in milliseconds from which a line is logged: most calls are turned away from here on. */
const LOGGED_MS = 200;

/** Measures how late the event loop runs its timers, in milliseconds. */
export default class LoopLag implements Disposable {
  private readonly timer: NodeJS.Timeout;

  private smoothedMs = 0;

  /** When the last two ticks ran. */
  private lastTickAt: number;

  private tickBeforeAt: number;

  /**
   * @param clock - Source of time.
   * @param logger - Log of this part.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.lastTickAt = clock.now();
    this.tickBeforeAt = this.lastTickAt;
    this.timer = setInterval(() => this.tick(), TICK_MS).unref();
  }

  /** Lag over the last ticks; a tick that is overdue counts already. */
  public get currentMs(): number {
    return Math.max(this.smoothedMs, this.overdueMs(this.clock.now()));
  }

  /**
   * Longest time that what is read now may have waited, in milliseconds. It came after the turn of the
   * event loop before this one had begun to read, so a long turn and the part of the next one up to
   * now add up.
   */
  public get waitedMs(): number {
    const sinceMs = this.clock.now() - this.tickBeforeAt;
    return sinceMs > IN_TIME_MS ? sinceMs : 0;
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  /** Called by the timer, at the start of turns; by tests in its place. */
  public tick(): void {
    const now = this.clock.now();
    const lagMs = Math.max(0, this.overdueMs(now));
    if (lagMs > LOGGED_MS) {
      this.logger.log('The event loop was held up.', { lagMs: Math.round(lagMs) });
    }
    this.smoothedMs = Math.max(lagMs, KEPT_PART * this.smoothedMs + (1 - KEPT_PART) * lagMs);
    this.tickBeforeAt = this.lastTickAt;
    this.lastTickAt = now;
  }

  /** Time since the next tick was due; negative until then. */
  private overdueMs(now: number): number {
    return now - this.lastTickAt - TICK_MS;
  }
}
