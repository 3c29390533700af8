import type { RouteName, ServiceName } from '../common/Types';
import SmoothWeightedRoundRobin from '../version/SmoothWeightedRoundRobin';
import type { Route, WeightedService } from '../version/Types';

interface SplitState {
  readonly targets: readonly WeightedService[];
  readonly scheduler: SmoothWeightedRoundRobin;
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
 * Distributes the calls of split routes among their services, with one weighted round robin per
 * route. The state of a round robin survives new configuration versions that don't change the
 * split: if each version reset it, services with small weights would get no calls while versions
 * follow each other quickly.
 */
export default class TrafficSplitter {
  private readonly states = new Map<RouteName, SplitState>();

  /**
   * @param route - A route of the configuration version in force.
   * @returns The service for the route's next call.
   */
  public next(route: Route): ServiceName {
    const { name, targets } = route;
    if (targets.length === 1) return targets[0]!.service;
    let state = this.states.get(name);
    if (!state || !isSameSplit(state.targets, targets)) {
      state = { targets, scheduler: new SmoothWeightedRoundRobin(targets) };
      this.states.set(name, state);
    }
    return state.scheduler.next();
  }
}
