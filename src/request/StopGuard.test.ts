import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { RouteName } from '../common/Types';
import StopGuard from './StopGuard';

const SHUTDOWN_MS = 5_700;
const LEAVE_MS = 2_300;
const LONG = { name: 'long' as RouteName, objectiveMs: 3_100, timeoutMs: 10_000 };
const SHORT = { name: 'short' as RouteName, objectiveMs: 300, timeoutMs: 2_000 };
const UNDECLARED = { name: 'undeclared' as RouteName, objectiveMs: 60_000, timeoutMs: 60_000 };

/** Times in ms after the start of a shutdown at which calls of a route are refused. */
function refusedAt(
  route: typeof LONG,
  recordedMs: readonly number[],
  timeLeftMs: number,
  idleMs = 0,
  call: { idempotent: boolean; leaveMs: number } = { idempotent: true, leaveMs: SHUTDOWN_MS },
): number[] {
  const clock = new ManualClock();
  const guard = new StopGuard(clock);
  for (const durationMs of recordedMs) guard.recordDuration(route, durationMs);
  clock.advance(idleMs);
  guard.stop(clock.now() + SHUTDOWN_MS, clock.now() + call.leaveMs);
  const refused: number[] = [];
  for (let atMs = 0; atMs < SHUTDOWN_MS; atMs += 500) {
    const deadline = clock.now() + timeLeftMs;
    if (guard.shouldRefuse(route, { deadline, idempotent: call.idempotent })) refused.push(atMs);
    clock.advance(500);
  }
  return refused;
}

test('a daemon that shuts down accepts a call only if it can finish before the end', () => {
  assert.equal(
    {
      'limited by the objective': refusedAt(LONG, [], 10_000),
      'limited by the longest call': refusedAt(LONG, [900, 4_200, 1_200], 10_000),
      'limited by the objective, as the longest call was over a minute ago': refusedAt(
        LONG,
        [4_200],
        10_000,
        70_000,
      ),
      'limited by the deadline': refusedAt(LONG, [4_200], 1_000),
      'a short route': refusedAt(SHORT, [280], 2_000),
      'unknown duration': refusedAt(UNDECLARED, [], 60_000),
    },
    {
      'limited by the objective': [3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'limited by the longest call': [2_000, 2_500, 3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'limited by the objective, as the longest call was over a minute ago': [
        3_000, 3_500, 4_000, 4_500, 5_000, 5_500,
      ],
      'limited by the deadline': [5_000, 5_500],
      'a short route': [5_500],
      'unknown duration': [
        0, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000, 4_500, 5_000, 5_500,
      ],
    },
  );
});

test('a call that would be lost if cut off is accepted only if its whole time ends before the shutdown', () => {
  const unsafe = { idempotent: false, leaveMs: SHUTDOWN_MS };
  const late = { idempotent: true, leaveMs: LEAVE_MS };
  assert.equal(
    {
      'it may not be repeated': refusedAt(LONG, [900], 4_000, 0, unsafe),
      'it may not be repeated, and is short': refusedAt(SHORT, [280], 1_000, 0, unsafe),
      'callers have had time to leave': refusedAt(LONG, [900], 4_000, 0, late),
      'callers have had time to leave, and it has little time': refusedAt(LONG, [], 400, 0, late),
    },
    {
      'it may not be repeated': [2_000, 2_500, 3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'it may not be repeated, and is short': [5_000, 5_500],
      'callers have had time to leave': [2_500, 3_000, 3_500, 4_000, 4_500, 5_000, 5_500],
      'callers have had time to leave, and it has little time': [5_500],
    },
  );
});

test('a daemon that does not shut down refuses no call', () => {
  const clock = new ManualClock();
  const guard = new StopGuard(clock);
  guard.recordDuration(LONG, 9_000);
  assert.is(guard.shouldRefuse(LONG, { deadline: 10_000, idempotent: false }), false);
});

test.run();
