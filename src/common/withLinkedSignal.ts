/**
 * Runs a function with a signal that aborts when any parent aborts, or after a timeout. Unlike
 * `AbortSignal.any` with `AbortSignal.timeout`, it leaks no memory in long-lived parents, as its
 * listeners are removed when the function settles.
 *
 * @param parents - Signals that abort the new one.
 * @param timeoutMs - Timeout in milliseconds; `undefined` for none.
 * @param use - Function to run with the signal.
 * @returns The result of `use`.
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
