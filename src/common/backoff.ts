/**
 * Randomised delays for retries and periodic tasks.
 *
 * @packageDocumentation
 */
import type { Random } from './Types';

/** Parameters of an exponential backoff. */
export interface Backoff {
  /** Upper bound of the delay after the first failure, in milliseconds. */
  readonly baseMs: number;
  /** Upper bound of every delay, in milliseconds. */
  readonly capMs: number;
}

/**
 * Maximum number of doublings of the delay's upper bound; keeps the power of two finite after many
 * failures.
 */
const MAX_DOUBLINGS = 16;

/**
 * Computes an exponential backoff with full jitter. The delay is uniformly distributed between 1 ms
 * and an upper bound that doubles with each failure.
 *
 * @param backoff - Bounds of the delay.
 * @param failures - Number of consecutive failures, at least 1.
 * @param random - Source of the jitter.
 * @returns The delay in milliseconds.
 * @see {@link https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/}
 */
export function jitteredBackoff(backoff: Backoff, failures: number, random: Random): number {
  const doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
  const upperBoundMs = Math.min(backoff.capMs, backoff.baseMs * 2 ** doublings);
  return 1 + random.below(Math.max(1, Math.round(upperBoundMs)));
}

/**
 * Adds jitter to a period, so that the daemons don't run a periodic task at the same moment.
 *
 * @param periodMs - Mean period in milliseconds.
 * @param random - Source of the jitter.
 * @returns A delay between 0.5 and 1.5 periods, in milliseconds.
 */
export function jitteredPeriod(periodMs: number, random: Random): number {
  return periodMs / 2 + random.below(Math.max(1, Math.round(periodMs)));
}
