import waitEventLoopTurns from '../common/waitEventLoopTurns';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';

/** Number of sleeps that make up the timeout; a stall of this process consumes at most one. */
const SLEEPS = 8;
/** Number of event loop turns after the timeout in which arrived data is still read. */
const FINAL_LOOP_TURNS = 4;

/** Counts the sleeps since a request was sent or its response last made progress. */
class IdleSleeps {
  private count = 0;

  /** Starts the timeout anew. */
  public restart(): void {
    this.count = 0;
  }

  /**
   * Sleeps until there was no progress for a time that excludes stalls of this process, or until the
   * signal is aborted.
   */
  public async sleep(ms: number, signal: AbortSignal): Promise<void> {
    do {
      while (this.count < SLEEPS && !signal.aborted) {
        this.count += 1;
        await sleep(ms / SLEEPS, signal);
      }
      if (!signal.aborted) await waitEventLoopTurns(FINAL_LOOP_TURNS);
    } while (this.count < SLEEPS && !signal.aborted);
  }
}

/**
 * Waits for some time, without that for which this process stalled. After it, all data that had arrived is read.
 *
 * @param ms - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 */
export function stallAwareSleep(ms: number, signal: AbortSignal): Promise<void> {
  return new IdleSleeps().sleep(ms, signal);
}

/**
 * Runs a request with a timeout that excludes stalls of this process: after a stall, the response may
 * have arrived without having been read.
 *
 * @param parents - Signals that cancel the request.
 * @param timeoutMs - Timeout in milliseconds, excluding stalls.
 * @param sendRequest - Sends the request; must reject when its signal is aborted. Each call of its second
 * argument, for a part of the response, starts the timeout anew.
 * @returns The response.
 */
export default async function withStallAwareTimeout<Result>(
  parents: readonly AbortSignal[],
  timeoutMs: number,
  sendRequest: (signal: AbortSignal, onProgress: () => void) => Promise<Result>,
): Promise<Result> {
  const timeout = new AbortController();
  const finished = new AbortController();
  const idle = new IdleSleeps();
  void idle.sleep(timeoutMs, finished.signal).then(() => timeout.abort());
  try {
    return await withLinkedSignal([...parents, timeout.signal], undefined, (signal) =>
      sendRequest(signal, () => idle.restart()),
    );
  } finally {
    finished.abort();
  }
}
