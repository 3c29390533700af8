import type { ServiceName } from '../common/Types';
import type { WeightedService } from './Types';

interface Entry {
  readonly target: WeightedService;
  credit: number;
}

/**
 * Smooth weighted round robin over services. In any run of consecutive calls, the number of calls
 * of each service deviates from its weighted share by less than one; independent random choices
 * don't guarantee this.
 */
export default class SmoothWeightedRoundRobin {
  private readonly entries: readonly Entry[];

  private readonly totalWeight: number;

  /** @param targets - Services and their weights; at least one. */
  public constructor(targets: readonly WeightedService[]) {
    this.entries = targets.map((target) => ({ target, credit: 0 }));
    this.totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  }

  /** @returns The service for the next call. */
  public next(): ServiceName {
    let best = this.entries[0]!;
    for (const entry of this.entries) {
      entry.credit += entry.target.weight;
      if (entry.credit > best.credit) best = entry;
    }
    best.credit -= this.totalWeight;
    return best.target.service;
  }
}
