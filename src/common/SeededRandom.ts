import { randomInt } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from './Types';

const MAX_SEED_EXCLUSIVE = 2 ** 31;

/** Pseudorandom numbers (xoroshiro128+) that a seed makes reproducible. Not for secrets. */
export default class SeededRandom implements Random {
  private readonly generator;

  /** @param seed - Equal seeds give equal sequences; the default is a random seed. */
  public constructor(seed: number = randomInt(MAX_SEED_EXCLUSIVE)) {
    this.generator = xoroshiro128plus(seed);
  }

  public below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }
}
