import type { RouteName } from '../common/Types';

/** Weight of the newest duration in the average of its route. */
const ROUTE_WEIGHT = 0.1;
/** Weight of the newest duration in the average over all routes. */
const MEAN_WEIGHT = 0.05;

/**
 * Part of the time to its objective that a call is expected to take before any of its route was seen;
 * routes are given about three times their usual duration.
 */
const UNSEEN_PART = 0.3;
/** An average that no call confirmed for this time begins to fade, in milliseconds. */
const CONFIRMED_MS = 1_000;
/** Time in which it halves from then on, in milliseconds. */
const HALF_LIFE_MS = 500;

interface RouteTime {
  averageMs: number;
  notedAt: number;
}

/**
 * Learns how long calls hold a slot of one upstream, by route; milliseconds.
 *
 * Load it answers: calls that were slow for a while, or that come first after longer ones. They would
 * be refused as too long for ever, as only a call that runs shows that it is short; so an average
 * that no call confirms fades.
 */
export default class ServiceTimes {
  private readonly byRoute = new Map<RouteName, RouteTime>();

  private average: number | undefined;

  /** Average over all routes; 0 before any was seen. */
  public get mean(): number {
    return this.average ?? 0;
  }

  /**
   * @param route - A route.
   * @returns Average of its calls; `undefined` before any was seen.
   */
  public known(route: RouteName): number | undefined {
    return this.byRoute.get(route)?.averageMs;
  }

  /**
   * @param route - A route.
   * @param objectiveMs - Time until a call of it would be late.
   * @param now - Monotonic time in ms.
   * @returns Average of its calls as far as they confirm it; where none was seen, no more than the
   * objective suggests.
   */
  public expected(route: RouteName, objectiveMs: number, now: number): number {
    const known = this.byRoute.get(route);
    if (!known) return Math.min(this.mean, UNSEEN_PART * Math.max(0, objectiveMs));
    return ServiceTimes.faded(known, now);
  }

  /**
   * @param route - Route of a call that ended.
   * @param ms - How long it held its slot.
   * @param now - Monotonic time in ms.
   */
  public note(route: RouteName, ms: number, now: number): void {
    const before = this.byRoute.get(route);
    const known = before ? ServiceTimes.faded(before, now) : ms;
    this.byRoute.set(route, { averageMs: known + ROUTE_WEIGHT * (ms - known), notedAt: now });
    const average = this.average ?? ms;
    this.average = average + MEAN_WEIGHT * (ms - average);
  }

  private static faded({ averageMs, notedAt }: RouteTime, now: number): number {
    const unconfirmedMs = Math.max(0, now - notedAt - CONFIRMED_MS);
    return averageMs * 2 ** (-unconfirmedMs / HALF_LIFE_MS);
  }
}
