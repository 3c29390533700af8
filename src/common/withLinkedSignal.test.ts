import { execFileSync } from 'node:child_process';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import withLinkedSignal from './withLinkedSignal';

const MAX_GROWTH_BYTES = 1_000_000;

/** Bytes that stay on the heap of a fresh process after 30,000 uses. */
function growth(link: 'linked' | 'any'): number {
  const args = ['--expose-gc', '--import', 'tsx', 'test/signalGrowth.ts', link];
  return Number(execFileSync(process.execPath, args, { encoding: 'utf8' }));
}

test('following a long-lived signal again and again leaves nothing behind', () => {
  const bytes = growth('linked');
  assert.ok(bytes < MAX_GROWTH_BYTES, `${bytes} bytes`);
});

test('the naive way is found out', () => {
  const bytes = growth('any');
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
