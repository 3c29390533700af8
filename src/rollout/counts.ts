/**
 * Counts of responses with a histogram of their durations. Buckets grow by a factor of the square root of
 * two from 1 ms on; the last one holds everything from 2.9 s on.
 *
 * @packageDocumentation
 */
import type { Counts } from './Types';

const BUCKETS = 24;
const BUCKETS_PER_DOUBLING = 2;
/** Index of the number of responses with a status of 500 or above. */
export const FAILED = 0;
/** Index of the number of broken and missing responses. */
export const BROKEN = 1;
/** Index of the first bucket. */
export const FIRST_BUCKET = 2;
/** Length of a list of counts. */
export const COUNTS_LENGTH = FIRST_BUCKET + BUCKETS;

/** @returns Counts of nothing. */
export function emptyCounts(): number[] {
  return new Array<number>(COUNTS_LENGTH).fill(0);
}

/**
 * @param ms - Duration of a response in milliseconds.
 * @returns Index of its bucket in the counts.
 */
export function bucketOf(ms: number): number {
  const bucket = Math.floor(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, ms)));
  return FIRST_BUCKET + Math.min(BUCKETS - 1, bucket);
}

/**
 * @param bucket - Index of a bucket in the counts.
 * @returns Shortest duration that the bucket holds, in milliseconds.
 */
export function bucketStartMs(bucket: number): number {
  return 2 ** ((bucket - FIRST_BUCKET) / BUCKETS_PER_DOUBLING);
}

/**
 * @param counts - Counts of responses.
 * @returns Number of responses of all kinds.
 */
export function totalOf(counts: Counts): number {
  let total = 0;
  for (let index = 0; index < COUNTS_LENGTH; index += 1) total += counts[index]!;
  return total;
}

/**
 * @param counts - Counts of responses.
 * @param bucket - Index of a bucket.
 * @returns Number of responses in this bucket and all later ones.
 */
export function countFrom(counts: Counts, bucket: number): number {
  let total = 0;
  for (let index = bucket; index < COUNTS_LENGTH; index += 1) total += counts[index]!;
  return total;
}

/**
 * @param counts - Counts of responses.
 * @returns Index of the bucket of the median duration; `undefined` without durations.
 */
export function medianBucket(counts: Counts): number | undefined {
  const half = countFrom(counts, FIRST_BUCKET) / 2;
  if (half === 0) return undefined;
  let sum = 0;
  for (let bucket = FIRST_BUCKET; ; bucket += 1) {
    sum += counts[bucket]!;
    if (sum >= half) return bucket;
  }
}

/**
 * @param counts - Counts of responses.
 * @returns Mean duration in milliseconds, from the middles of the buckets; 0 without durations.
 */
export function meanMs(counts: Counts): number {
  let sum = 0;
  let total = 0;
  for (let bucket = FIRST_BUCKET; bucket < COUNTS_LENGTH; bucket += 1) {
    sum += counts[bucket]! * bucketStartMs(bucket + 1 / 2);
    total += counts[bucket]!;
  }
  return total === 0 ? 0 : sum / total;
}

/**
 * @param counts - Counts of responses.
 * @param added - Counts to add.
 * @param factor - 1 to add, -1 to subtract.
 * @returns The sum or difference.
 */
export function addCounts(counts: Counts, added: Counts, factor = 1): number[] {
  return counts.map((count, index) => count + factor * added[index]!);
}
