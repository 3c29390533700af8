/**
 * Runs something under a signal that aborts with any of its parents, or after a time. In contrast
 * to `AbortSignal.any` with a time-out, nothing stays with a long-lived parent afterwards.
 *
 * @param parents - Signals to follow.
 * @param timeoutMs - Aborts after as many milliseconds; never where `undefined`.
 * @param use - What to run.
 * @returns What `use` returned.
 */
export default async function withLinkedSignal<Result>(
  parents: readonly AbortSignal[],
  timeoutMs: number | undefined,
  use: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const abort = () => controller.abort();
  for (const parent of parents) {
    if (parent.aborted) abort();
    else parent.addEventListener('abort', abort, { once: true });
  }
  const timer = timeoutMs === undefined ? undefined : setTimeout(abort, timeoutMs);
  try {
    return await use(controller.signal);
  } finally {
    clearTimeout(timer);
    for (const parent of parents) parent.removeEventListener('abort', abort);
  }
}
