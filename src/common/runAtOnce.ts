import type { Steps } from './Types';

/**
 * @param steps - Work in steps.
 * @returns Its result, after all steps have run in this turn of the event loop.
 */
export default function runAtOnce<Result>(steps: Steps<Result>): Result {
  for (;;) {
    const { done, value } = steps.next();
    if (done) return value;
  }
}
