import { setImmediate as nextTurn } from 'node:timers/promises';

/**
 * Lets the event loop read what has come in.
 *
 * @param count - Turns of the event loop to wait.
 */
export default async function nextTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await nextTurn();
}
