import type { Clock, Steps } from './Types';
import waitEventLoopTurns from './waitEventLoopTurns';

/** Time in ms for which work runs before calls and timers get their turn of the event loop. */
const SLICE_MS = 8;

/**
 * Runs long work without holding up the event loop: after each slice, whatever else has come up runs
 * first.
 *
 * @param steps - Work in steps, each far shorter than a slice.
 * @param clock - Monotonic clock, to end the slices.
 * @returns The result of the work.
 */
export default async function runInSlices<Result>(
  steps: Steps<Result>,
  clock: Clock,
): Promise<Result> {
  let sliceEndsAt = clock.now() + SLICE_MS;
  for (;;) {
    const { done, value } = steps.next();
    if (done) return value;
    if (clock.now() >= sliceEndsAt) {
      await waitEventLoopTurns(1);
      sliceEndsAt = clock.now() + SLICE_MS;
    }
  }
}
