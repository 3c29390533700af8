import type { Clock, RouteName } from '../common/Types';
import type { Route } from '../version/Types';
import RecentMaxima from './RecentMaxima';

/** The properties of a route from which the duration of its calls is estimated. */
type RouteTiming = Pick<Route, 'name' | 'objectiveMs' | 'timeoutMs'>;

/** An arriving call, as far as the guard judges it. */
export interface ArrivingCall {
  /** The call's deadline, as a monotonic time in ms. */
  readonly deadline: number;
  /** Whether the call may be repeated if it is cut off. */
  readonly idempotent: boolean;
}

/**
 * Refuses calls that this daemon can't finish before its shutdown ends.
 *
 * Handles rolling restarts under full traffic: callers that have not yet observed the shutdown send
 * long calls, which would be cut off when the daemon exits. A refused call is known not to have
 * run, so its caller may retry it at another daemon immediately, while one that is cut off may have run.
 * An estimate of its duration is therefore enough only for a call that may be repeated, and only until
 * callers have had time to leave: rare calls last longer than any estimate.
 */
export default class StopGuard {
  private readonly longestMs: RecentMaxima<RouteName>;

  private endsAt = Infinity;

  private callersLeftAt = Infinity;

  /** @param clock - Monotonic clock, to predict whether calls finish before the shutdown ends. */
  public constructor(private readonly clock: Clock) {
    this.longestMs = new RecentMaxima(clock);
  }

  /** Whether the daemon is shutting down. */
  public get isStopping(): boolean {
    return this.endsAt !== Infinity;
  }

  /**
   * @param endsAt - End of the shutdown: monotonic time in ms at which running calls are aborted.
   * @param callersLeftAt - Monotonic time in ms at which callers have had time to switch to others.
   */
  public stop(endsAt: number, callersLeftAt: number): void {
    this.endsAt = endsAt;
    this.callersLeftAt = callersLeftAt;
  }

  /**
   * Records the duration of a call.
   *
   * @param route - Route of a call that got a response.
   * @param durationMs - Milliseconds from the call's arrival to the head of the response.
   */
  public recordDuration({ name }: RouteTiming, durationMs: number): void {
    this.longestMs.record(name, durationMs);
  }

  /**
   * @param route - Route of an arriving call.
   * @param call - The call.
   * @returns Whether the call may still run when the shutdown ends, and is to be refused.
   */
  public shouldRefuse(route: RouteTiming, { deadline, idempotent }: ArrivingCall): boolean {
    if (!this.isStopping || deadline <= this.endsAt) return false;
    const now = this.clock.now();
    if (!idempotent || now >= this.callersLeftAt) return true;
    return now + this.expectedMaxMs(route) > this.endsAt;
  }

  /**
   * Duration in ms that nearly all calls of a route stay below: the longest recent one, or the
   * route's latency objective if that is configured and longer, as objectives exceed the usual
   * duration; infinite if nothing is known.
   */
  private expectedMaxMs({ name, objectiveMs, timeoutMs }: RouteTiming): number {
    const declaredMs = objectiveMs < timeoutMs ? objectiveMs : undefined;
    const longestMs = this.longestMs.maximumOf(name);
    if (declaredMs === undefined && longestMs === undefined) return Infinity;
    return Math.max(declaredMs ?? 0, longestMs ?? 0);
  }
}
