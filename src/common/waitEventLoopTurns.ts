import { setImmediate as nextIteration } from 'node:timers/promises';

/**
 * Waits for some iterations of the event loop, so that data that has already arrived is read and
 * its handlers run.
 *
 * @param count - Number of iterations.
 */
export default async function waitEventLoopTurns(count: number): Promise<void> {
  for (let iteration = 0; iteration < count; iteration += 1) await nextIteration();
}
