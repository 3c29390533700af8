import waitEventLoopTurns from '../common/waitEventLoopTurns';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';

/** Number of sleeps that make up the timeout; a stall of this process consumes at most one. */
const SLEEPS = 8;
/** Number of event loop turns after the timeout in which arrived data is still read. */
const FINAL_LOOP_TURNS = 4;

/** Sleeps for a time that excludes stalls of this process, or until the signal is aborted. */
async function sleepRunningTime(ms: number, signal: AbortSignal): Promise<void> {
  for (let part = 0; part < SLEEPS && !signal.aborted; part += 1) await sleep(ms / SLEEPS, signal);
  if (!signal.aborted) await waitEventLoopTurns(FINAL_LOOP_TURNS);
}

/**
 * Runs a request to a peer with a timeout that excludes stalls of this process: after a stall, the
 * peer's response may have arrived without having been read.
 *
 * @param parents - Signals that cancel the request.
 * @param timeoutMs - Timeout in milliseconds, excluding stalls.
 * @param sendRequest - Sends the request; must reject when its signal is aborted.
 * @returns The response.
 */
export default async function withStallAwareTimeout<Result>(
  parents: readonly AbortSignal[],
  timeoutMs: number,
  sendRequest: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const timeout = new AbortController();
  const finished = new AbortController();
  void sleepRunningTime(timeoutMs, finished.signal).then(() => timeout.abort());
  try {
    return await withLinkedSignal([...parents, timeout.signal], undefined, sendRequest);
  } finally {
    finished.abort();
  }
}
