import type { Clock, Disposable, Logger } from '../common/Types';

/** How often the lag is measured, in milliseconds. */
const TICK_MS = 50;
/** Part of the former lag that stays after a tick: about four ticks count. */
const KEPT_PART = 0.7;
/** Lag in milliseconds from which a line is logged: most calls are turned away from here on. */
const LOGGED_MS = 200;

/** Measures how late the event loop runs its timers, in milliseconds. */
export default class LoopLag implements Disposable {
  private readonly timer: NodeJS.Timeout;

  private smoothedMs = 0;

  private expectedAt: number;

  /**
   * @param clock - Source of time.
   * @param logger - Log of this part.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.expectedAt = clock.now() + TICK_MS;
    this.timer = setInterval(() => this.tick(), TICK_MS).unref();
  }

  /** Lag over the last ticks; a tick that is overdue counts already. */
  public get currentMs(): number {
    return Math.max(this.smoothedMs, this.clock.now() - this.expectedAt);
  }

  public dispose(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = this.clock.now();
    const lagMs = Math.max(0, now - this.expectedAt);
    if (lagMs > LOGGED_MS) {
      this.logger.log('The event loop was held up.', { lagMs: Math.round(lagMs) });
    }
    this.smoothedMs = Math.max(lagMs, KEPT_PART * this.smoothedMs + (1 - KEPT_PART) * lagMs);
    this.expectedAt = now + TICK_MS;
  }
}
