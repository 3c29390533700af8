import CancelSource from './CancelSource';
import type { Answer, CancelSignal } from './Types';

/** Abort reason of an attempt whose other one was answered. A reason saves making an error. */
const SUPERSEDED = Symbol('superseded');

/** Runs one attempt until it is answered, fails or is cancelled. */
export type Attempt = (cancel: CancelSignal) => Promise<Answer>;

/**
 * Runs an attempt, and a second one beside it where the first takes long. The first answer wins and
 * the other attempt is cancelled.
 *
 * @param first - The attempt.
 * @param second - Gives the second attempt, or `undefined` where none may be made.
 * @param delayMs - After how many milliseconds the second one starts.
 * @param signal - Cancels both.
 * @returns The first answer.
 * @throws What the last attempt to fail threw.
 */
export default function hedgedAttempt(
  first: Attempt,
  second: () => Attempt | undefined,
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
        const answer = await attempt(cancel);
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
    timer = setTimeout(() => {
      const attempt = second();
      if (attempt) void start(attempt);
    }, delayMs);
    void start(first);
  });
}
