/**
 * Measures the memory leak of linking many short-lived signals to one long-lived AbortSignal. Prints
 * by how many bytes the heap has grown. Runs in a separate process, so that allocations of other tests
 * don't distort the figure. Usage: `signalGrowth.ts linked|any`, the way of linking.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import withLinkedSignal from '../src/common/withLinkedSignal';

const ITERATIONS = 30_000;
const TIMEOUT_MS = 20;

/** Function that links a new signal to a parent, listens to the new one once and drops it. */
type SignalUse = (parent: AbortSignal) => Promise<void>;

/** Adds a listener for the abort event, as any user of a signal does. */
function addAbortListener(signal: AbortSignal): void {
  signal.addEventListener('abort', () => undefined, { once: true });
}

const SIGNAL_USES: Readonly<Record<string, SignalUse>> = {
  linked: (parent) =>
    withLinkedSignal([parent], TIMEOUT_MS, async (signal) => {
      addAbortListener(signal);
    }),
  any: async (parent) => {
    addAbortListener(AbortSignal.any([parent, AbortSignal.timeout(TIMEOUT_MS)]));
  },
};

/**
 * Returns the bytes on the heap, after all timers of linked signals have fired and garbage was
 * collected.
 */
async function measureHeapBytes(): Promise<number> {
  await delay(10 * TIMEOUT_MS);
  for (let pass = 0; pass < 3; pass += 1) {
    global.gc!();
    await delay(TIMEOUT_MS);
  }
  return process.memoryUsage().heapUsed;
}

const useSignal = SIGNAL_USES[process.argv[2]!]!;
const parent = new AbortController();
await useSignal(parent.signal);
const heapBytesBefore = await measureHeapBytes();
for (let iteration = 0; iteration < ITERATIONS; iteration += 1) await useSignal(parent.signal);
process.stdout.write(`${(await measureHeapBytes()) - heapBytesBefore}\n`);
parent.abort();
