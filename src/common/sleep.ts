import { setTimeout as delay } from 'node:timers/promises';

/**
 * Waits for some time. If the signal aborts, resolves early instead of throwing.
 *
 * @param ms - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 */
export default async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, signal ? { signal } : undefined);
  } catch (error) {
    if (!signal?.aborted) throw error;
  }
}
