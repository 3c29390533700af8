import type StreamedAnswer from './StreamedAnswer';
import clampTimerDelay from './clampTimerDelay';

/** Limits on a response body that continues after the deadline of its call. */
export interface OverdueBodyLimits {
  /** Grace period after the deadline for a body without a declared length, in milliseconds. */
  readonly undeclaredGraceMs: number;
  /** Interval at which the progress of a body with a declared length is checked, in milliseconds. */
  readonly progressWindowMs: number;
  /** Minimum number of bytes of a body with a declared length that must arrive in each interval. */
  readonly minProgressBytes: number;
  /** Time before the deadline from which on a body with a declared length is watched, in milliseconds. */
  readonly leadMs: number;
  /** Whether a body with a declared length may stall while its receiver can't take more of it. */
  readonly waitsForReceiver: boolean;
}

/**
 * A short grace period after the deadline lets an almost complete response finish without delaying
 * callers noticeably. A body with a declared length ends by itself, unless the upstream or the
 * caller is stalled.
 */
const DEFAULT_LIMITS: OverdueBodyLimits = {
  undeclaredGraceMs: 200,
  progressWindowMs: 5_000,
  minProgressBytes: 32 * 1024,
  leadMs: 0,
  waitsForReceiver: false,
};

/**
 * Limits on a body from another daemon, which ends overdue ones itself. These hold if that daemon is lost
 * while it sends the body, so that nothing ends on its side.
 */
export const PEER_BODY_LIMITS: OverdueBodyLimits = {
  undeclaredGraceMs: 300,
  progressWindowMs: 300,
  minProgressBytes: 1,
  leadMs: 300,
  waitsForReceiver: true,
};

/**
 * Aborts a response body that would otherwise hold its slot forever: one without a declared length
 * soon after the deadline, one with a declared length when it stalls after the deadline.
 *
 * @param answer - Response whose head has arrived.
 * @param leftMs - Milliseconds until the deadline of the call; negative if it has passed.
 * @param onAbort - Called before the body is aborted.
 * @param limits - Grace period and minimum progress of a body after the deadline.
 */
export default function abortOverdueBody(
  answer: StreamedAnswer,
  leftMs: number,
  onAbort: () => void,
  limits = DEFAULT_LIMITS,
): void {
  if (answer.ended) return;
  let timer: NodeJS.Timeout;
  const abortBody = () => {
    onAbort();
    answer.dispose();
  };
  const checkProgress = (previousBytes: number) => {
    timer = setTimeout(() => {
      const hasProgress = answer.receivedBytes - previousBytes >= limits.minProgressBytes;
      const isAwaited = limits.waitsForReceiver && answer.isPaused;
      if (hasProgress || isAwaited) checkProgress(answer.receivedBytes);
      else abortBody();
    }, limits.progressWindowMs).unref();
  };
  timer =
    answer.headers['content-length'] === undefined
      ? setTimeout(abortBody, clampTimerDelay(leftMs + limits.undeclaredGraceMs))
      : setTimeout(
          () => checkProgress(answer.receivedBytes),
          clampTimerDelay(leftMs - limits.leadMs),
        );
  timer.unref();
  answer.onceClosed(() => clearTimeout(timer));
}
