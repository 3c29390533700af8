import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import RetryBudget from './RetryBudget';

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 60;
const DAEMONS = 13;
const CALLS_PER_SECOND = 8;

/** Repeats that a fleet sends in the worst window while every call fails. */
function worstWindow(create: (clock: ManualClock) => { call(): boolean }): {
  repeats: number;
  allowed: number;
} {
  const clock = new ManualClock();
  const daemons = Array.from({ length: DAEMONS }, () => create(clock));
  const repeatTimes: number[] = [];
  const stepMs = 1_000 / CALLS_PER_SECOND;
  for (let at = 0; at < 4 * WINDOW_MS; at += stepMs) {
    for (const daemon of daemons) if (daemon.call()) repeatTimes.push(clock.now());
    clock.advance(stepMs);
  }
  const within = (end: number) =>
    repeatTimes.filter((time) => time > end - WINDOW_MS && time <= end).length;
  const calls = (WINDOW_MS / 1_000) * CALLS_PER_SECOND * DAEMONS;
  return { repeats: Math.max(...repeatTimes.map(within)), allowed: RATIO * calls + SLACK };
}

test('a fleet whose every call fails stays within the share and the slack of any window', () => {
  const budgeted = worstWindow((clock) => {
    const allowance = {
      windowMs: () => WINDOW_MS,
      slack: () => SLACK / DAEMONS,
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
  const naive = worstWindow(() => ({ call: () => true }));
  assert.ok(budgeted.repeats <= budgeted.allowed, `${budgeted.repeats} of ${budgeted.allowed}`);
  assert.ok(budgeted.repeats > budgeted.allowed / 2, 'most of the budget can be spent');
  assert.ok(naive.repeats > naive.allowed, 'without a budget the bound breaks');
});

test.run();
