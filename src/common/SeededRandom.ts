import { randomInt } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from './Types';

const SEED_BOUND = 2 ** 31;

/** Reproducible random numbers from a seed. */
export default class SeededRandom implements Random {
  private readonly generator;

  /** @param seed - Same seed, same numbers; by default one from the operating system. */
  public constructor(seed: number = randomInt(SEED_BOUND)) {
    this.generator = xoroshiro128plus(seed);
  }

  public below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }
}
