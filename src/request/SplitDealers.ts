import type { RouteName, ServiceName } from '../common/Types';
import SmoothDealer from '../version/SmoothDealer';
import type { Route, WeightedService } from '../version/Types';

interface Dealing {
  readonly targets: readonly WeightedService[];
  readonly dealer: SmoothDealer;
}

function isSameSplit(a: readonly WeightedService[], b: readonly WeightedService[]): boolean {
  return (
    a.length === b.length &&
    a.every(({ service, weight }, index) => {
      const other = b[index]!;
      return service === other.service && weight === other.weight;
    })
  );
}

/**
 * Deals the calls of split routes. A new version that leaves a split as it was doesn't restart its
 * turns: in a quick succession of versions the lighter services would never have theirs.
 */
export default class SplitDealers {
  private readonly dealings = new Map<RouteName, Dealing>();

  /**
   * @param route - A route of the version in force.
   * @returns The service that its next call goes to.
   */
  public next(route: Route): ServiceName {
    const { name, targets } = route;
    if (targets.length === 1) return targets[0]!.service;
    let dealing = this.dealings.get(name);
    if (!dealing || !isSameSplit(dealing.targets, targets)) {
      dealing = { targets, dealer: new SmoothDealer(targets) };
      this.dealings.set(name, dealing);
    }
    return dealing.dealer.next();
  }
}
