import type { Random } from './Types';

/** Bounds of an exponential backoff, in milliseconds. */
export interface Backoff {
  readonly baseMs: number;
  readonly capMs: number;
}

const MAX_DOUBLINGS = 16;

/**
 * Full-jitter exponential backoff: any wait between 1 ms and the doubled base is as likely.
 *
 * @param backoff - The bounds.
 * @param failures - Consecutive failures so far, from 1.
 * @param random - Source of the jitter.
 * @returns Milliseconds to wait.
 * @see {@link https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/}
 */
export function jitteredBackoff(backoff: Backoff, failures: number, random: Random): number {
  const doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
  const ceiling = Math.min(backoff.capMs, backoff.baseMs * 2 ** doublings);
  return 1 + random.below(Math.max(1, Math.round(ceiling)));
}

/**
 * Spreads a period so that a fleet doesn't act in step.
 *
 * @param periodMs - The period.
 * @param random - Source of the jitter.
 * @returns A wait between half and one and a half of the period.
 */
export function jitteredPeriod(periodMs: number, random: Random): number {
  return periodMs / 2 + random.below(Math.max(1, Math.round(periodMs)));
}
