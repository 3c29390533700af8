import type { Clock, RouteName } from '../common/Types';
import type { Route } from '../version/Types';
import RecentMaxima from './RecentMaxima';

/** What the guard judges a call's route by. */
type TimedRoute = Pick<Route, 'name' | 'objectiveMs' | 'timeoutMs'>;

/**
 * Turns calls away that would outlast this daemon while it stops.
 *
 * Load it answers: daemons that are restarted in turn under full traffic. Callers that haven't seen yet
 * that a daemon stops send it long calls, which are cut when it ends. One that isn't begun is proved
 * not to have run, so that its caller may ask elsewhere at once.
 */
export default class StopGuard {
  private readonly longest: RecentMaxima<RouteName>;

  private endsAt = Infinity;

  /** @param clock - Source of time. */
  public constructor(private readonly clock: Clock) {
    this.longest = new RecentMaxima(clock);
  }

  /** Whether the daemon stops. */
  public get isStopping(): boolean {
    return this.endsAt !== Infinity;
  }

  /** @param endsAt - Monotonic time in ms at which calls that still run are given up. */
  public stop(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /**
   * @param route - Route of a call that was answered.
   * @param durationMs - Milliseconds from its arrival to the head of its answer.
   */
  public note({ name }: TimedRoute, durationMs: number): void {
    this.longest.note(name, durationMs);
  }

  /**
   * @param route - Route of a call that arrives.
   * @param deadline - Monotonic time in ms at which it is answered at the latest.
   * @returns Whether it may outlast this daemon.
   */
  public refuses(route: TimedRoute, deadline: number): boolean {
    if (!this.isStopping) return false;
    return Math.min(deadline, this.clock.now() + this.usualMs(route)) > this.endsAt;
  }

  /** Time in ms that nearly all calls of a route take; an objective that is declared leaves room. */
  private usualMs({ name, objectiveMs, timeoutMs }: TimedRoute): number {
    const declaredMs = objectiveMs < timeoutMs ? objectiveMs : 0;
    return Math.max(declaredMs, this.longest.of(name) ?? 0);
  }
}
