import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import EventLoopLag from './EventLoopLag';

/** Simulates event loop turns of the given lengths; the clock stops at the end of the last turn. */
function lagAfter(turnsMs: readonly number[]): EventLoopLag {
  const clock = new ManualClock();
  const lag = new EventLoopLag(clock, { log: () => undefined });
  lag.dispose();
  const [last, ...before] = [...turnsMs].reverse();
  for (const turnMs of before.reverse()) {
    clock.advance(turnMs);
    lag.sample();
  }
  clock.advance(last!);
  return lag;
}

test('the read delay after two long turns includes both turns', () => {
  // A request that arrives at 60 ms, in the turn from 50 to 550 ms, is read at 1,000 ms.
  const lag = lagAfter([50, 500, 450]);
  assert.is(lag.maxReadDelayMs, 950);
  // The lag of the timers alone accounts for only half of this read delay.
  assert.ok(lag.currentMs <= 450);
});

test('the read delay is zero when the latest turns are short', () => {
  assert.is(lagAfter([50, 51, 49, 50]).maxReadDelayMs, 0);
  assert.is(lagAfter([50, 800, 50, 50, 10]).maxReadDelayMs, 0);
});

test.run();
