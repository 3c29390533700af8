/**
 * Divides a capacity max-min fairly: demands below the level are met in full, and each other one gets the level.
 *
 * @param demands - Demands, not negative.
 * @param capacity - What can be given in all.
 * @returns The level; infinite if all demands can be met.
 */
export default function maxMinLevel(demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (const [index, demand] of sorted.entries()) {
    const equalShare = left / (sorted.length - index);
    if (demand > equalShare) return Math.max(0, equalShare);
    left -= demand;
  }
  return Infinity;
}
