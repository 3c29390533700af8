import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import withLinkedSignal from './withLinkedSignal';

const USES = 10_000;
const TIMEOUT_MS = 20;
const MAX_GROWTH_BYTES = 4_000_000;

type Link = (parent: AbortSignal) => Promise<unknown> | AbortSignal;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Bytes that stay on the heap after a long-lived signal was followed many times. */
async function growth(link: Link): Promise<number> {
  const parent = new AbortController();
  const settled = async () => {
    await delay(3 * TIMEOUT_MS);
    collect();
    return process.memoryUsage().heapUsed;
  };
  const before = await settled();
  for (let use = 0; use < USES; use += 1) await link(parent.signal);
  const bytes = (await settled()) - before;
  parent.abort();
  return bytes;
}

test('following a long-lived signal again and again leaves nothing behind', async () => {
  const bytes = await growth((parent) =>
    withLinkedSignal([parent], TIMEOUT_MS, (signal) => Promise.resolve(signal.aborted)),
  );
  assert.ok(bytes < MAX_GROWTH_BYTES, `${bytes} bytes`);
});

test('the naive way is found out', async () => {
  const bytes = await growth((parent) =>
    AbortSignal.any([parent, AbortSignal.timeout(TIMEOUT_MS)]),
  );
  assert.ok(bytes > MAX_GROWTH_BYTES, `${bytes} bytes`);
});

test('aborts with its parent and after its time', async () => {
  const parent = new AbortController();
  const waitFor = (signal: AbortSignal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(signal.aborted));
    });
  assert.is(await withLinkedSignal([parent.signal], 1, waitFor), true);
  const followed = withLinkedSignal([parent.signal], undefined, waitFor);
  parent.abort();
  assert.is(await followed, true);
  assert.is(
    await withLinkedSignal([parent.signal], undefined, ({ aborted }) => Promise.resolve(aborted)),
    true,
  );
});

test.run();
