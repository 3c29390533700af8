import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import ArrivalQueue from './ArrivalQueue';

/** Processor time that the start of a call takes, in milliseconds. */
const START_MS = 2;
const CALLS = 60;

/** Lets the microtasks and ticks of the started calls run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) await new Promise(setImmediate);
}

/**
 * Replays a burst that arrives in one turn of the event loop.
 *
 * @returns Length of each turn in milliseconds, and the order in which calls started.
 */
async function replayBurst(isUrgent: (call: number) => boolean) {
  const clock = new ManualClock();
  const immediates: (() => void)[] = [];
  const queue = new ArrivalQueue(clock, (next) => immediates.push(next));
  const started: number[] = [];
  const turnsMs: number[] = [];
  let turnBeganAt = clock.now();
  for (let call = 0; call < CALLS; call += 1) {
    queue.add(isUrgent(call), () => {
      started.push(call);
      clock.advance(START_MS);
    });
  }
  let longestWaitMs = 0;
  while (immediates.length > 0) {
    await settle();
    turnsMs.push(clock.now() - turnBeganAt);
    turnBeganAt = clock.now();
    longestWaitMs = Math.max(longestWaitMs, queue.waitMs);
    immediates.shift()!();
  }
  return { started, turnsMs, longestWaitMs, left: queue.length };
}

test('a burst is spread over short turns, in the order of arrival', async () => {
  const { started, turnsMs, longestWaitMs, left } = await replayBurst(() => false);
  const inOrder = Array.from({ length: CALLS }, (_, call) => call);
  assert.equal(started, inOrder);
  // All at once, one turn would take 120 ms and accept a single connection.
  assert.ok(Math.max(...turnsMs) <= 6, `a turn of ${Math.max(...turnsMs)} ms`);
  assert.ok(longestWaitMs > 100, `a wait of ${longestWaitMs} ms`);
  assert.is(left, 0);
});

test('urgent calls overtake those that wait', async () => {
  const { started } = await replayBurst((call) => call >= CALLS - 10);
  const lastUrgent = Math.max(
    ...started.flatMap((call, place) => (call >= CALLS - 10 ? [place] : [])),
  );
  assert.ok(lastUrgent < 14, `the last urgent call started in place ${lastUrgent}`);
});

test('calls that arrive one by one start at once', () => {
  const clock = new ManualClock();
  const immediates: (() => void)[] = [];
  const queue = new ArrivalQueue(clock, (next) => immediates.push(next));
  const started: number[] = [];
  for (let call = 0; call < CALLS; call += 1) {
    queue.add(false, () => started.push(call));
    assert.is(started.at(-1), call);
    clock.advance(1);
    immediates.shift()?.();
  }
});

test.run();
