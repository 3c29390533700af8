import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { RouteName } from '../common/Types';
import StopGuard from './StopGuard';

const TIME_TO_STOP_MS = 5_700;
const LONG = { name: 'long' as RouteName, objectiveMs: 3_100, timeoutMs: 10_000 };
const SHORT = { name: 'short' as RouteName, objectiveMs: 300, timeoutMs: 2_000 };
const UNDECLARED = { name: 'undeclared' as RouteName, objectiveMs: 60_000, timeoutMs: 60_000 };

/** Begins a stop and tells at which times, in ms since then, calls of a route are turned away. */
function refusedAt(
  route: typeof LONG,
  learnedMs: readonly number[],
  allowedMs: number,
  idleMs = 0,
): number[] {
  const clock = new ManualClock();
  const guard = new StopGuard(clock);
  for (const durationMs of learnedMs) guard.note(route, durationMs);
  clock.advance(idleMs);
  guard.stop(clock.now() + TIME_TO_STOP_MS);
  const refused: number[] = [];
  for (let atMs = 0; atMs < TIME_TO_STOP_MS; atMs += 500) {
    if (guard.refuses(route, clock.now() + allowedMs)) refused.push(atMs);
    clock.advance(500);
  }
  return refused;
}

test('calls that come to a stopping daemon are begun while they can end in time', () => {
  assert.equal(
    {
      'by the objective': refusedAt(LONG, [], 10_000),
      'by the longest call': refusedAt(LONG, [900, 4_200, 1_200], 10_000),
      'by the longest call, a minute and more ago': refusedAt(LONG, [4_200], 10_000, 70_000),
      'by a caller who waits less long': refusedAt(LONG, [4_200], 1_000),
      'a short route': refusedAt(SHORT, [280], 2_000),
      'nothing known of its durations': refusedAt(UNDECLARED, [], 60_000),
    },
    {
      'by the objective': [3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'by the longest call': [2_000, 2_500, 3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'by the longest call, a minute and more ago': [3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'by a caller who waits less long': [5_000, 5_500],
      'a short route': [5_500],
      'nothing known of its durations': [],
    },
  );
});

test('a daemon that does not stop turns nothing away', () => {
  const clock = new ManualClock();
  const guard = new StopGuard(clock);
  guard.note(LONG, 9_000);
  assert.is(guard.refuses(LONG, 10_000), false);
});

test.run();
