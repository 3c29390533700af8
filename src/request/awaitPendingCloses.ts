import waitEventLoopTurns from '../common/waitEventLoopTurns';

/**
 * A request that waited in the socket buffer for less than this time, in milliseconds, is started
 * at once: its caller is unlikely to have left.
 */
const MIN_WAIT_MS = 50;
/**
 * Number of event loop turns after which the close of a connection, received after a request on it,
 * has been processed.
 */
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
