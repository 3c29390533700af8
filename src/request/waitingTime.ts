/** Longest time, in milliseconds, that a timer takes. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * @param ms - Milliseconds, also infinitely many.
 * @returns The same within what a timer takes.
 */
export default function waitingTime(ms: number): number {
  return Math.min(Math.max(0, ms), MAX_TIMER_MS);
}
