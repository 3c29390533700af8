import { setTimeout as delay } from 'node:timers/promises';

/**
 * Waits, or returns early once aborted.
 *
 * @param ms - Milliseconds.
 * @param signal - Ends the wait early.
 */
export default async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, signal ? { signal } : undefined);
  } catch (error) {
    if (!signal?.aborted) throw error;
  }
}
