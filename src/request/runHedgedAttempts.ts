import CancelController from './CancelController';
import RETRYABLE_STATUSES from './retryableStatuses';
import type { Answer, CancelSignal } from './Types';

/**
 * Reason for aborting an attempt after another attempt has got a successful response; a symbol, as
 * it is cheaper to create than an error.
 */
const SUPERSEDED = Symbol('another attempt was answered');

/**
 * Runs one attempt until it gets a response, fails or is cancelled.
 *
 * @param cancel - Cancels the attempt.
 * @param onSilent - Called while the daemon that the attempt was sent to shows no sign of life.
 */
export type Attempt = (cancel: CancelSignal, onSilent: () => void) => Promise<Answer>;

/**
 * Runs an attempt, and hedges it with a further one if it takes long, its daemon falls silent or it
 * gets a failed response. The first successful response wins and the other attempts are cancelled.
 *
 * More than two attempts may run at once. This handles VMs that lose power together, where the
 * second attempt may go to a VM that isn't known to be silent yet.
 *
 * @param first - The first attempt.
 * @param selectNext - Returns a further attempt, or `undefined` if none is allowed now. Its
 * argument is whether the daemons of all open attempts are silent. It is called after the delay,
 * each time a daemon is reported silent while those of all open attempts are silent, even after a
 * further attempt has failed, and once for each failed response while other attempts are open.
 * @param delayMs - Milliseconds after which the second attempt starts.
 * @param signal - Cancels all attempts.
 * @returns The first successful response, or else the last failed one.
 * @throws The error of the attempt that failed last, if there was no response.
 */
export default function runHedgedAttempts(
  first: Attempt,
  selectNext: (allSilent: boolean) => Attempt | undefined,
  delayMs: number,
  signal: CancelSignal,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const open = new Set<CancelController>();
    /** Attempts whose daemons were reported silent. */
    const silent = new Set<CancelController>();
    let timer: NodeJS.Timeout;
    let won = false;
    /** The last failed response, kept while open attempts may still succeed. */
    let failedAnswer: Answer | undefined;
    const win = (answer: Answer) => {
      won = true;
      clearTimeout(timer);
      for (const other of open) other.abort(SUPERSEDED);
      resolve(answer);
    };
    const areAllSilent = () => [...open].every((cancel) => silent.has(cancel));
    const start = async (attempt: Attempt): Promise<void> => {
      const cancel = new CancelController();
      const onAbort = () => cancel.abort(signal.reason);
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort, { once: true });
      const onSilent = () => {
        silent.add(cancel);
        if (!areAllSilent()) return;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
        startNext(true);
        if (failedAnswer && !won && areAllSilent()) win(failedAnswer);
      };
      open.add(cancel);
      try {
        const answer = await attempt(cancel, onSilent);
        open.delete(cancel);
        if (won) {
          answer.dispose();
          return;
        }
        failedAnswer?.dispose();
        if (RETRYABLE_STATUSES.has(answer.status) && open.size > 0) {
          failedAnswer = answer;
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
          startNext(areAllSilent());
          if (areAllSilent()) win(answer);
          return;
        }
        win(answer);
      } catch (error) {
        open.delete(cancel);
        signal.removeEventListener('abort', onAbort);
        if (open.size > 0) return;
        clearTimeout(timer);
        if (failedAnswer) resolve(failedAnswer);
        else reject(error);
      }
    };
    const startNext = (allSilent: boolean) => {
      if (won || signal.aborted || open.size === 0) return;
      const attempt = selectNext(allSilent);
      if (!attempt) return;
      clearTimeout(timer);
      void start(attempt);
    };
    timer = setTimeout(() => startNext(false), delayMs);
    void start(first);
  });
}
