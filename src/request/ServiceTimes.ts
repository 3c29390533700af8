import type { RouteName } from '../common/Types';

/** Weight of the newest call in the moving average of the call durations of its route. */
const ROUTE_WEIGHT = 0.1;
/** Weight of the newest call in the moving average of the call durations of all routes. */
const MEAN_WEIGHT = 0.05;

/**
 * Fraction of the time to its objective that a call is expected to take while no call of its route
 * has ended; objectives are configured at about three times the usual duration.
 */
const UNSEEN_ROUTE_FRACTION = 0.3;
/** Time without a new call after which the average of a route starts to decay, in milliseconds. */
const DECAY_DELAY_MS = 1_000;
/** Half-life of a route's average duration once it decays, in milliseconds. */
const DECAY_HALF_LIFE_MS = 500;

interface RouteAverage {
  averageMs: number;
  updatedAt: number;
}

/**
 * Estimates how long calls hold a slot of one upstream, by route, in milliseconds.
 *
 * Handles routes whose calls were slow for a while or whose first calls follow calls of slower
 * routes. Only a call that runs can lower an estimate, so an estimate that is too high would cause
 * all calls of the route to be refused permanently. The average of a route without new calls
 * therefore decays.
 */
export default class ServiceTimes {
  private readonly byRoute = new Map<RouteName, RouteAverage>();

  private average: number | undefined;

  /** Moving average of call durations over all routes, in ms; 0 before the first call has ended. */
  public get meanMs(): number {
    return this.average ?? 0;
  }

  /**
   * @param route - Name of the route.
   * @returns Moving average of the route's call durations in ms, without decay; `undefined` before
   * the first call has ended.
   */
  public averageMs(route: RouteName): number | undefined {
    return this.byRoute.get(route)?.averageMs;
  }

  /**
   * @param route - Name of the call's route.
   * @param objectiveMs - Milliseconds until the call misses its latency objective.
   * @param now - Monotonic time in ms.
   * @returns Moving average of the route's call durations in ms, with decay. Before the first call
   * of the route has ended, the average over all routes, limited to a fraction of `objectiveMs`.
   */
  public expectedMs(route: RouteName, objectiveMs: number, now: number): number {
    const known = this.byRoute.get(route);
    if (!known) return Math.min(this.meanMs, UNSEEN_ROUTE_FRACTION * Math.max(0, objectiveMs));
    return ServiceTimes.decayed(known, now);
  }

  /**
   * Records the duration of a call that ended.
   *
   * @param route - Route of the call.
   * @param ms - Milliseconds that the call held its slot.
   * @param now - Monotonic time in ms.
   */
  public record(route: RouteName, ms: number, now: number): void {
    const before = this.byRoute.get(route);
    const known = before ? ServiceTimes.decayed(before, now) : ms;
    this.byRoute.set(route, { averageMs: known + ROUTE_WEIGHT * (ms - known), updatedAt: now });
    const average = this.average ?? ms;
    this.average = average + MEAN_WEIGHT * (ms - average);
  }

  private static decayed({ averageMs, updatedAt }: RouteAverage, now: number): number {
    const decayingMs = Math.max(0, now - updatedAt - DECAY_DELAY_MS);
    return averageMs * 2 ** (-decayingMs / DECAY_HALF_LIFE_MS);
  }
}
