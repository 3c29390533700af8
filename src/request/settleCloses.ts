import nextTurns from '../common/nextTurns';

/** Wait, in milliseconds, in which a sender may have left. */
const LATE_MS = 50;
/** Turns of the event loop after which a close that came in behind a request has been seen. */
const TURNS = 4;

/**
 * Lets the closes of connections be seen before the requests that came in ahead of them are worked
 * on, where this daemon is so late that both wait to be read.
 *
 * @param waitedMs - How long the request may have waited, in milliseconds.
 */
export default async function settleCloses(waitedMs: number): Promise<void> {
  if (waitedMs < LATE_MS) return;
  await nextTurns(TURNS);
}
