import type { Clock, RouteName } from '../common/Types';
import type { Route } from '../version/Types';
import RecentMaxima from './RecentMaxima';

/** The properties of a route from which the duration of its calls is estimated. */
type RouteTiming = Pick<Route, 'name' | 'objectiveMs' | 'timeoutMs'>;

/**
 * Refuses calls that this daemon can't finish before its shutdown ends.
 *
 * Handles rolling restarts under full traffic: callers that have not yet observed the shutdown send
 * long calls, which would be cut off when the daemon exits. A refused call is known not to have
 * run, so its caller may retry it at another daemon immediately.
 */
export default class StopGuard {
  private readonly longestMs: RecentMaxima<RouteName>;

  private endsAt = Infinity;

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
   */
  public stop(endsAt: number): void {
    this.endsAt = endsAt;
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
   * @param deadline - The call's deadline, as a monotonic time in ms.
   * @returns Whether the call may still run when the shutdown ends, and is to be refused.
   */
  public shouldRefuse(route: RouteTiming, deadline: number): boolean {
    if (!this.isStopping) return false;
    return Math.min(deadline, this.clock.now() + this.expectedMaxMs(route)) > this.endsAt;
  }

  /**
   * Duration in ms that nearly all calls of a route stay below: the longest recent one, or the
   * route's latency objective if that is configured and longer, as objectives exceed the usual
   * duration.
   */
  private expectedMaxMs({ name, objectiveMs, timeoutMs }: RouteTiming): number {
    const declaredMs = objectiveMs < timeoutMs ? objectiveMs : 0;
    return Math.max(declaredMs, this.longestMs.maximumOf(name) ?? 0);
  }
}
