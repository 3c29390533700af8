import type { Random } from './Types';

/**
 * Draws a random sample without replacement.
 *
 * @param pool - Items to choose from.
 * @param count - Size of the sample; fewer are returned if the pool is smaller.
 * @param random - Source of random numbers.
 * @returns The chosen items, in random order.
 */
export default function pickRandom<Item>(
  pool: readonly Item[],
  count: number,
  random: Random,
): Item[] {
  const remaining = [...pool];
  const chosen: Item[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(...remaining.splice(random.below(remaining.length), 1));
  }
  return chosen;
}
