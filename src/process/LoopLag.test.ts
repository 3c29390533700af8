import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import LoopLag from './LoopLag';

/** Plays turns of an event loop, each as long as told, and looks at the end of the last one. */
function lagAfter(turnsMs: readonly number[]): LoopLag {
  const clock = new ManualClock();
  const lag = new LoopLag(clock, { log: () => undefined });
  lag.dispose();
  const [last, ...before] = [...turnsMs].reverse();
  for (const turnMs of before.reverse()) {
    clock.advance(turnMs);
    lag.tick();
  }
  clock.advance(last!);
  return lag;
}

test('what is read at the end of a second long turn may have waited for both', () => {
  // A request that came at 60 ms, in the turn from 50 to 550 ms, is read at 1,000 ms.
  const lag = lagAfter([50, 500, 450]);
  assert.is(lag.waitedMs, 950);
  // The lag of the timer alone tells half of it.
  assert.ok(lag.currentMs <= 450);
});

test('nothing has waited where turns are short', () => {
  assert.is(lagAfter([50, 51, 49, 50]).waitedMs, 0);
  assert.is(lagAfter([50, 800, 50, 50, 10]).waitedMs, 0);
});

test.run();
