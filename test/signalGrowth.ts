/**
 * Prints how many bytes stay on the heap after a long-lived signal was followed many times. Runs in
 * a process of its own, so that no other test's heap matters: `signalGrowth.ts linked|any`.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import withLinkedSignal from '../src/common/withLinkedSignal';

const USES = 30_000;
const TIMEOUT_MS = 20;

type Link = (parent: AbortSignal) => Promise<void>;

/** What every user of a signal does. */
function listen(signal: AbortSignal): void {
  signal.addEventListener('abort', () => undefined, { once: true });
}

const LINKS: Readonly<Record<string, Link>> = {
  linked: (parent) =>
    withLinkedSignal([parent], TIMEOUT_MS, async (signal) => {
      listen(signal);
    }),
  any: async (parent) => {
    listen(AbortSignal.any([parent, AbortSignal.timeout(TIMEOUT_MS)]));
  },
};

async function settledHeap(): Promise<number> {
  await delay(10 * TIMEOUT_MS);
  for (let turn = 0; turn < 3; turn += 1) {
    global.gc!();
    await delay(TIMEOUT_MS);
  }
  return process.memoryUsage().heapUsed;
}

const link = LINKS[process.argv[2]!]!;
const parent = new AbortController();
await link(parent.signal);
const before = await settledHeap();
for (let use = 0; use < USES; use += 1) await link(parent.signal);
process.stdout.write(`${(await settledHeap()) - before}\n`);
parent.abort();
