import type { Random } from './Types';

/**
 * @param pool - What to choose from.
 * @param count - How many at most.
 * @param random - Source of chance.
 * @returns Different ones of the pool, in random order.
 */
export default function pickRandom<Item>(
  pool: readonly Item[],
  count: number,
  random: Random,
): Item[] {
  const left = [...pool];
  const chosen: Item[] = [];
  while (chosen.length < count && left.length > 0) {
    chosen.push(...left.splice(random.below(left.length), 1));
  }
  return chosen;
}
