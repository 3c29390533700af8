import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import abortOverdueBody from './abortOverdueBody';
import StreamedAnswer from './StreamedAnswer';

const LIMITS = {
  undeclaredGraceMs: 10,
  progressWindowMs: 40,
  minProgressBytes: 100,
  leadMs: 0,
  waitsForReceiver: false,
};

/**
 * Receives a body with a declared length, one part per millisecond, until all parts are received or the
 * body is aborted.
 */
async function receiveBody(partBytes: number, parts: number, leftMs: number): Promise<string> {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(200, { 'content-length': '10000' }, source);
  let result = 'complete';
  const onAbort = () => {
    result = 'aborted';
  };
  abortOverdueBody(answer, leftMs, onAbort, LIMITS);
  for (let part = 0; part < parts && !answer.ended; part += 1) {
    answer.push(Buffer.alloc(partBytes));
    await delay(1);
  }
  // Without parts, waits until the stalled body is aborted.
  while (partBytes === 0 && !answer.ended) await delay(1);
  answer.complete();
  return result;
}

test('an overdue body with a declared length is aborted when it stalls, not while it makes progress', async () => {
  const rows = [
    `steady: ${await receiveBody(100, 100, 0)}`,
    `stalled: ${await receiveBody(0, 0, 0)}`,
    `stalled, already overdue: ${await receiveBody(0, 0, -1_000)}`,
    `too slow: ${await receiveBody(1, 1_000, 0)}`,
    `too slow, before the deadline: ${await receiveBody(1, 200, 60_000)}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `steady: complete
stalled: aborted
stalled, already overdue: aborted
too slow: aborted
too slow, before the deadline: complete`,
  );
});

// Guards against a body that stalled long before the deadline and is held beyond it.
test('a body that is watched before the deadline ends at it if it has stalled by then', async () => {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(200, { 'content-length': '10000' }, source);
  const deadlineMs = 20_000;
  const end = new AbortController();
  const deadline = delay(deadlineMs, 'after the deadline', { signal: end.signal });
  deadline.catch(() => undefined);
  const aborted = new Promise<string>((resolve) => {
    abortOverdueBody(answer, deadlineMs, () => resolve('aborted'), {
      ...LIMITS,
      leadMs: deadlineMs,
    });
  });
  assert.is(await Promise.race([aborted, deadline]), 'aborted');
  end.abort();
});

test('a body that its receiver cannot take may stall, where that is allowed, until it can', async () => {
  const source = { paused: true, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(200, { 'content-length': '10000' }, source);
  abortOverdueBody(answer, 0, () => undefined, { ...LIMITS, waitsForReceiver: true });
  await delay(3 * LIMITS.progressWindowMs);
  assert.not(answer.ended);
  source.paused = false;
  while (!answer.ended) await delay(1);
  assert.ok(answer.isBroken);
});

test.run();
