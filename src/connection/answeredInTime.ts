import nextTurns from '../common/nextTurns';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';

/** Parts of the wait: a hold-up of this daemon, however long, uses up one of them. */
const PARTS = 8;
/** Turns of the event loop in which what came in before the time-out is read. */
const LAST_TURNS = 4;

/** Waits for a time in which this process runs, or until the signal ends it. */
async function runningTime(ms: number, signal: AbortSignal): Promise<void> {
  for (let part = 0; part < PARTS && !signal.aborted; part += 1) await sleep(ms / PARTS, signal);
  if (!signal.aborted) await nextTurns(LAST_TURNS);
}

/**
 * Asks a peer and waits for its answer. Time in which this daemon itself was held up isn't held
 * against the peer, whose answer may wait to be read.
 *
 * @param parents - Signals that end the wait.
 * @param timeoutMs - Longest wait in milliseconds, without hold-ups.
 * @param ask - Asks; must follow the signal.
 * @returns The answer.
 */
export default async function answeredInTime<Answer>(
  parents: readonly AbortSignal[],
  timeoutMs: number,
  ask: (signal: AbortSignal) => Promise<Answer>,
): Promise<Answer> {
  const late = new AbortController();
  const done = new AbortController();
  void runningTime(timeoutMs, done.signal).then(() => late.abort());
  try {
    return await withLinkedSignal([...parents, late.signal], undefined, ask);
  } finally {
    done.abort();
  }
}
