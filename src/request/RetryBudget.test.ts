import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import RetryBudget from './RetryBudget';

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 60;
const DAEMONS = 13;
const CALLS_PER_SECOND = 8;

/** Maximum number of retries that a fleet sends in any window while every call fails. */
function worstWindow(create: (clock: ManualClock) => { call(): boolean }): {
  retries: number;
  allowed: number;
} {
  const clock = new ManualClock();
  const daemons = Array.from({ length: DAEMONS }, () => create(clock));
  const retryTimes: number[] = [];
  const stepMs = 1_000 / CALLS_PER_SECOND;
  for (let at = 0; at < 4 * WINDOW_MS; at += stepMs) {
    for (const daemon of daemons) if (daemon.call()) retryTimes.push(clock.now());
    clock.advance(stepMs);
  }
  const retriesInWindow = (end: number) =>
    retryTimes.filter((time) => time > end - WINDOW_MS && time <= end).length;
  const calls = (WINDOW_MS / 1_000) * CALLS_PER_SECOND * DAEMONS;
  return { retries: Math.max(...retryTimes.map(retriesInWindow)), allowed: RATIO * calls + SLACK };
}

test('a fleet whose calls all fail stays within the retry budget in any window', () => {
  const budgeted = worstWindow((clock) => {
    const allowance = {
      windowMs: () => WINDOW_MS,
      slack: () => SLACK / DAEMONS,
      isShared: () => true,
      maxShare: () => 1,
    };
    const budget = new RetryBudget(allowance, clock);
    return {
      call: () => {
        budget.deposit(RATIO);
        return budget.withdraw();
      },
    };
  });
  const unlimited = worstWindow(() => ({ call: () => true }));
  assert.ok(budgeted.retries <= budgeted.allowed, `${budgeted.retries} of ${budgeted.allowed}`);
  assert.ok(budgeted.retries > budgeted.allowed / 2, 'most of the budget can be spent');
  assert.ok(unlimited.retries > unlimited.allowed, 'without a budget the limit is exceeded');
});

/** Share of the calls that were made by a repeated call and so arrive a second time. */
const REPEATED_SHARE = 0.15;

test('calls that arrive again because a call above them was repeated leave less for retries', () => {
  let repeats = 0;
  const budgeted = worstWindow((clock) => {
    const allowance = {
      windowMs: () => WINDOW_MS,
      slack: () => SLACK / DAEMONS,
      isShared: () => true,
      maxShare: () => 1,
    };
    const budget = new RetryBudget(allowance, clock);
    let calls = 0;
    return {
      call: () => {
        calls += 1;
        budget.deposit(RATIO);
        if (Math.floor(calls * REPEATED_SHARE) > Math.floor((calls - 1) * REPEATED_SHARE)) {
          repeats += 1;
          budget.chargeRepeat(1);
          return false;
        }
        return budget.withdraw();
      },
    };
  });
  const windows = 4;
  const arrivals = budgeted.retries + repeats / windows;
  assert.ok(arrivals <= budgeted.allowed, `${arrivals} of ${budgeted.allowed}`);
});

test.run();
