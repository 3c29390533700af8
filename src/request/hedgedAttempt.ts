import CancelSource from './CancelSource';
import RETRIED_STATUSES from './retriedStatuses';
import type { Answer, CancelSignal } from './Types';

/** Abort reason of an attempt whose other one was answered. A reason saves making an error. */
const SUPERSEDED = Symbol('another attempt was answered');

/**
 * Runs one attempt until it is answered, fails or is cancelled.
 *
 * @param cancel - Cancels it.
 * @param onSilent - Called while no sign of life comes from where it was sent.
 */
export type Attempt = (cancel: CancelSignal, onSilent: () => void) => Promise<Answer>;

/**
 * Runs an attempt, and a second one beside it where the first takes long or its upstream falls
 * silent. The first answer that isn't a failure wins and the others are cancelled.
 *
 * Load it answers for more than two: VMs that lose power together, where the second attempt goes to one
 * that isn't known to be silent yet.
 *
 * @param first - The attempt.
 * @param second - Gives another attempt, or `undefined` where none may be made now; is told whether
 * the upstreams of all that are open are silent. It is asked again at each sign of that, also after
 * a second attempt has failed, and once for each answer that is a failure while others are open.
 * @param delayMs - After how many milliseconds the second one starts.
 * @param signal - Cancels both.
 * @returns The first answer that isn't a failure, or else the last one.
 * @throws What the last attempt to fail threw, where there was no answer.
 */
export default function hedgedAttempt(
  first: Attempt,
  second: (silent: boolean) => Attempt | undefined,
  delayMs: number,
  signal: CancelSignal,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const open = new Set<CancelSource>();
    /** Those of the open ones whose upstreams were silent. */
    const silent = new Set<CancelSource>();
    let timer: NodeJS.Timeout;
    let won = false;
    /** The last answer that is a failure, while others may do better. */
    let failure: Answer | undefined;
    const win = (answer: Answer) => {
      won = true;
      clearTimeout(timer);
      for (const other of open) other.abort(SUPERSEDED);
      resolve(answer);
    };
    const allSilent = () => [...open].every((cancel) => silent.has(cancel));
    const start = async (attempt: Attempt): Promise<void> => {
      const cancel = new CancelSource();
      const leave = () => cancel.abort(signal.reason);
      if (signal.aborted) leave();
      else signal.addEventListener('abort', leave, { once: true });
      const noteSilent = () => {
        silent.add(cancel);
        if (!allSilent()) return;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- both call each other
        startAnother(true);
        if (failure && !won && allSilent()) win(failure);
      };
      open.add(cancel);
      try {
        const answer = await attempt(cancel, noteSilent);
        open.delete(cancel);
        if (won) {
          answer.dispose();
          return;
        }
        failure?.dispose();
        if (RETRIED_STATUSES.has(answer.status) && open.size > 0) {
          failure = answer;
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- both call each other
          startAnother(allSilent());
          if (allSilent()) win(answer);
          return;
        }
        win(answer);
      } catch (error) {
        open.delete(cancel);
        signal.removeEventListener('abort', leave);
        if (open.size > 0) return;
        clearTimeout(timer);
        if (failure) resolve(failure);
        else reject(error);
      }
    };
    const startAnother = (isSilent: boolean) => {
      if (won || signal.aborted || open.size === 0) return;
      const attempt = second(isSilent);
      if (!attempt) return;
      clearTimeout(timer);
      void start(attempt);
    };
    timer = setTimeout(() => startAnother(false), delayMs);
    void start(first);
  });
}
