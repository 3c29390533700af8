import CancelSource from './CancelSource';
import type { Answer, CancelSignal } from './Types';

/** Abort reason of an attempt whose other one was answered. A reason saves making an error. */
const SUPERSEDED = Symbol('superseded');

/**
 * Runs one attempt until it is answered, fails or is cancelled.
 *
 * @param cancel - Cancels it.
 * @param onSilent - Called while no sign of life comes from where it was sent.
 */
export type Attempt = (cancel: CancelSignal, onSilent: () => void) => Promise<Answer>;

/**
 * Runs an attempt, and a second one beside it where the first takes long or its upstream falls
 * silent. The first answer wins and the other attempt is cancelled.
 *
 * @param first - The attempt.
 * @param second - Gives the second attempt, or `undefined` where none may be made now; is told
 * whether the upstream of the first is silent. It is asked again at each sign of that, also after a
 * second attempt has failed.
 * @param delayMs - After how many milliseconds the second one starts.
 * @param signal - Cancels both.
 * @returns The first answer.
 * @throws What the last attempt to fail threw.
 */
export default function hedgedAttempt(
  first: Attempt,
  second: (silent: boolean) => Attempt | undefined,
  delayMs: number,
  signal: CancelSignal,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const open = new Set<CancelSource>();
    let timer: NodeJS.Timeout;
    let won = false;
    const start = async (attempt: Attempt): Promise<void> => {
      const cancel = new CancelSource();
      const leave = () => cancel.abort(signal.reason);
      signal.addEventListener('abort', leave, { once: true });
      open.add(cancel);
      try {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- both call each other
        const answer = await attempt(cancel, () => startSecond(true));
        open.delete(cancel);
        if (won) {
          answer.dispose();
          return;
        }
        won = true;
        clearTimeout(timer);
        for (const other of open) other.abort(SUPERSEDED);
        resolve(answer);
      } catch (error) {
        open.delete(cancel);
        signal.removeEventListener('abort', leave);
        if (open.size > 0) return;
        clearTimeout(timer);
        reject(error);
      }
    };
    const startSecond = (silent: boolean) => {
      if (won || signal.aborted || open.size !== 1) return;
      const attempt = second(silent);
      if (!attempt) return;
      clearTimeout(timer);
      void start(attempt);
    };
    timer = setTimeout(() => startSecond(false), delayMs);
    void start(first);
  });
}
