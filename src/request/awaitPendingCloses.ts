import waitEventLoopTurns from '../common/waitEventLoopTurns';

/** Shortest wait of a request in the socket buffer, in milliseconds, during which its caller may leave. */
const MIN_WAIT_MS = 50;
/** Event loop turns after which a close received behind a request has been processed. */
const EVENT_LOOP_TURNS = 4;

/**
 * Waits until pending closes of connections have been processed, if this daemon is so far behind that
 * a request and the later close of its connection may both be unread. Without this, the request of a
 * caller that has already left would be started.
 *
 * @param waitedMs - Longest time, in milliseconds, for which the request may have waited to be read.
 * @returns Resolves at once if the request waited too briefly for its caller to have left.
 */
export default async function awaitPendingCloses(waitedMs: number): Promise<void> {
  if (waitedMs < MIN_WAIT_MS) return;
  await waitEventLoopTurns(EVENT_LOOP_TURNS);
}
