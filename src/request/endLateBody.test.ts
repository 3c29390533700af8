import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import endLateBody from './endLateBody';
import StreamedAnswer from './StreamedAnswer';

const BOUNDS = { openMs: 10, windowMs: 40, windowBytes: 100 };

/** Brings a body of a declared length to a caller, a part a turn, until it is complete or given up. */
async function bring(partBytes: number, parts: number, leftMs: number): Promise<string> {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(200, { 'content-length': '10000' }, source);
  let verdict = 'complete';
  const onGivenUp = () => {
    verdict = 'given up';
  };
  endLateBody(answer, leftMs, onGivenUp, BOUNDS);
  for (let part = 0; part < parts && !answer.ended; part += 1) {
    answer.push(Buffer.alloc(partBytes));
    await delay(1);
  }
  // One that stands still gets all the time that it takes.
  while (partBytes === 0 && !answer.ended) await delay(1);
  answer.complete();
  return verdict;
}

test('a late body of a declared length is given up where it stands still, not while it moves', async () => {
  const rows = [
    `moving: ${await bring(100, 100, 0)}`,
    `still: ${await bring(0, 0, 0)}`,
    `still, late already: ${await bring(0, 0, -1_000)}`,
    `crawling: ${await bring(1, 1_000, 0)}`,
    `crawling, in time: ${await bring(1, 200, 60_000)}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `moving: complete
still: given up
still, late already: given up
crawling: given up
crawling, in time: complete`,
  );
});

test.run();
