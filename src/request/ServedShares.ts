import type { RouteName } from '../common/Types';

/** Weight of the newest call: about the last fifty of a route count. */
const NEWEST_WEIGHT = 0.02;

/**
 * Learns which part of a route's calls got a slot.
 *
 * Load it answers: two kinds of call of one rank that together exceed an upstream's slots. By their
 * objectives alone the longer kind is always overtaken by newer calls of the shorter one.
 */
export default class ServedShares {
  private readonly shares = new Map<RouteName, number>();

  /**
   * @param route - A route.
   * @returns Share of its latest calls that got a slot, 0 to 1.
   */
  public of(route: RouteName): number {
    return this.shares.get(route) ?? 1;
  }

  /**
   * @param route - Route of a call that got a slot, or was refused one.
   * @param served - Which of both.
   */
  public note(route: RouteName, served: boolean): void {
    const share = this.of(route);
    this.shares.set(route, share + NEWEST_WEIGHT * ((served ? 1 : 0) - share));
  }
}
