import type StreamedAnswer from './StreamedAnswer';
import waitingTime from './waitingTime';

/** How long a body may go on after its call's time. */
export interface LateBodyBounds {
  /** A body without a declared length must have ended this long after the deadline, in milliseconds. */
  readonly openMs: number;
  /** One with a declared length is given up where this time, in milliseconds, brought too little. */
  readonly windowMs: number;
  /** The least that it must bring in such a time, in bytes. */
  readonly windowBytes: number;
}

/**
 * An answer that is nearly there is worth a moment beyond the deadline, but callers shouldn't be held up
 * for longer than they notice. A declared length ends by itself, unless upstream or caller hardly move.
 */
const BOUNDS: LateBodyBounds = { openMs: 200, windowMs: 5_000, windowBytes: 32 * 1024 };

/**
 * Gives up a body that would hold its slot for ever: one without a declared length soon after the call's
 * time, one with a length once it stands still.
 *
 * @param answer - An answer whose head is here.
 * @param leftMs - Milliseconds until the call's deadline, negative where it has passed.
 * @param onGivenUp - Told before it is given up.
 * @param bounds - How long it may go on.
 */
export default function endLateBody(
  answer: StreamedAnswer,
  leftMs: number,
  onGivenUp: () => void,
  bounds = BOUNDS,
): void {
  if (answer.ended) return;
  let timer: NodeJS.Timeout;
  const giveUp = () => {
    onGivenUp();
    answer.dispose();
  };
  const watch = (beforeBytes: number) => {
    timer = setTimeout(() => {
      if (answer.receivedBytes - beforeBytes < bounds.windowBytes) giveUp();
      else watch(answer.receivedBytes);
    }, bounds.windowMs);
  };
  timer =
    answer.headers['content-length'] === undefined
      ? setTimeout(giveUp, waitingTime(leftMs + bounds.openMs))
      : setTimeout(() => watch(answer.receivedBytes), waitingTime(leftMs));
  answer.onceClosed(() => clearTimeout(timer));
}
