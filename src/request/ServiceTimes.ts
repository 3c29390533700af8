import type { RouteName } from '../common/Types';

/** Weight of the newest duration in the average of its route. */
const ROUTE_WEIGHT = 0.1;
/** Weight of the newest duration in the average over all routes. */
const MEAN_WEIGHT = 0.05;

/** Learns how long calls hold a slot of one upstream, by route; milliseconds. */
export default class ServiceTimes {
  private readonly byRoute = new Map<RouteName, number>();

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
    return this.byRoute.get(route);
  }

  /**
   * @param route - A route.
   * @returns Average of its calls, or of all calls where none of its was seen.
   */
  public expected(route: RouteName): number {
    return this.byRoute.get(route) ?? this.mean;
  }

  /**
   * @param route - Route of a call that ended.
   * @param ms - How long it held its slot.
   */
  public note(route: RouteName, ms: number): void {
    const known = this.byRoute.get(route) ?? ms;
    this.byRoute.set(route, known + ROUTE_WEIGHT * (ms - known));
    const average = this.average ?? ms;
    this.average = average + MEAN_WEIGHT * (ms - average);
  }
}
