/** Maximum delay, in milliseconds, that `setTimeout` supports. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Limits a delay to the range that `setTimeout` supports.
 *
 * @param ms - Delay in milliseconds, may be negative or infinite.
 * @returns The delay, between 0 and the maximum, in milliseconds.
 */
export default function clampTimerDelay(ms: number): number {
  return Math.min(Math.max(0, ms), MAX_TIMER_MS);
}
