import { execFileSync } from 'node:child_process';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import withLinkedSignal from './withLinkedSignal';

/**
 * Limit on the heap growth: `withLinkedSignal` stays below it; `AbortSignal.any` with a timeout
 * exceeds it.
 */
const MAX_GROWTH_BYTES = 1_000_000;

/** Returns the heap growth in bytes of a new process that links signals 30,000 times. */
function heapGrowth(link: 'linked' | 'any'): number {
  const args = ['--expose-gc', '--import', 'tsx', 'test/signalGrowth.ts', link];
  return Number(execFileSync(process.execPath, args, { encoding: 'utf8' }));
}

test('repeated links to a long-lived signal leak no memory', () => {
  const bytes = heapGrowth('linked');
  assert.ok(bytes < MAX_GROWTH_BYTES, `${bytes} bytes`);
});

test('the heap measurement detects the leak of AbortSignal.any', () => {
  const bytes = heapGrowth('any');
  assert.ok(bytes > MAX_GROWTH_BYTES, `${bytes} bytes`);
});

test('aborts with its parent, also if that aborted before, and after its timeout', async () => {
  const parent = new AbortController();
  const waitFor = (signal: AbortSignal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(signal.aborted));
    });
  assert.is(await withLinkedSignal([parent.signal], 1, waitFor), true);
  const linked = withLinkedSignal([parent.signal], undefined, waitFor);
  parent.abort();
  assert.is(await linked, true);
  assert.is(
    await withLinkedSignal([parent.signal], undefined, ({ aborted }) => Promise.resolve(aborted)),
    true,
  );
});

test.run();
