import type { ServiceName } from '../common/Types';
import type { WeightedService } from './Types';

interface Share {
  readonly target: WeightedService;
  credit: number;
}

/**
 * Deals calls among services by weight. Any run of consecutive calls holds each service's share to
 * within one call, which independent draws don't (smooth weighted round robin).
 */
export default class SmoothDealer {
  private readonly shares: readonly Share[];

  private readonly total: number;

  /** @param targets - Services and their weights. */
  public constructor(targets: readonly WeightedService[]) {
    this.shares = targets.map((target) => ({ target, credit: 0 }));
    this.total = targets.reduce((sum, { weight }) => sum + weight, 0);
  }

  /** @returns The service that the next call goes to. */
  public next(): ServiceName {
    let best = this.shares[0]!;
    for (const share of this.shares) {
      share.credit += share.target.weight;
      if (share.credit > best.credit) best = share;
    }
    best.credit -= this.total;
    return best.target.service;
  }
}
