import type { RouteName } from '../common/Types';

/** Weight of the newest call in the moving average: about the last fifty calls of a route count. */
const NEWEST_CALL_WEIGHT = 0.02;

/**
 * Tracks the share of each route's recent calls that got a slot.
 *
 * Handles two routes of equal priority whose calls together exceed the slots of an upstream. If
 * queued calls were ordered by latency objective only, newer calls of the route with the shorter
 * objective would always overtake those of the other route, and starve it.
 */
export default class ServedShares {
  private readonly shares = new Map<RouteName, number>();

  /**
   * @param route - Name of the route.
   * @returns Share of its recent calls that got a slot, 0 to 1; 1 before the first call.
   */
  public shareOf(route: RouteName): number {
    return this.shares.get(route) ?? 1;
  }

  /**
   * Records whether a call was served.
   *
   * @param route - Route of the call.
   * @param served - True if the call got a slot, false if it was refused.
   */
  public record(route: RouteName, served: boolean): void {
    const share = this.shareOf(route);
    this.shares.set(route, share + NEWEST_CALL_WEIGHT * ((served ? 1 : 0) - share));
  }
}
