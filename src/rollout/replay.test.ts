import { test } from 'uvu';
import * as assert from 'uvu/assert';
import replayRollout, { type Play } from '../../stand-in/replayRollout';

/** 18 kinds with as many plays each make 10,000 in all. */
const PLAYS_PER_KIND = 556;
const BASE = { callsPerSecond: 40, durationMs: 20_000 };
const half = () => 0.5;

const BAD: Readonly<Record<string, Play>> = {
  'half of the calls fail': { ...BASE, failing: ({ isTarget }) => (isTarget ? 0.5 : 0) },
  'eight times slower': { ...BASE, slowness: ({ isTarget }) => (isTarget ? 8 : 1) },
  'fails from 3 s on': {
    ...BASE,
    failing: ({ isTarget, elapsedMs }) => (isTarget && elapsedMs > 3_000 ? 0.5 : 0),
  },
  'slow from 6 s on': {
    ...BASE,
    slowness: ({ isTarget, elapsedMs }) => (isTarget && elapsedMs > 6_000 ? 8 : 1),
  },
  'fails under load': {
    ...BASE,
    callsPerSecond: 100,
    failing: ({ isTarget, share }) => (isTarget && share >= 0.2 ? 0.5 : 0),
  },
  'slow under load': {
    ...BASE,
    callsPerSecond: 100,
    slowness: ({ isTarget, share }) => (isTarget && share >= 0.2 ? 8 : 1),
  },
  'fails on one route': {
    ...BASE,
    failing: ({ isTarget, route }) => (isTarget && route === 'order' ? 0.5 : 0),
  },
  'slow on one route': {
    ...BASE,
    slowness: ({ isTarget, route }) => (isTarget && route === 'order' ? 8 : 1),
  },
  'fails at 3 calls/s': {
    callsPerSecond: 3,
    durationMs: 60_000,
    failing: ({ isTarget }) => (isTarget ? 0.5 : 0),
  },
  'slow at 3 calls/s': {
    callsPerSecond: 3,
    durationMs: 60_000,
    slowness: ({ isTarget }) => (isTarget ? 8 : 1),
  },
};

const GOOD: Readonly<Record<string, Play>> = {
  good: BASE,
  'good at 400 calls/s': { ...BASE, callsPerSecond: 400 },
  'cold for 3 s': {
    ...BASE,
    slowness: ({ isTarget, elapsedMs }) => (isTarget && elapsedMs < 3_000 ? 2 : 1),
  },
  'good while the old one fails': { ...BASE, failing: ({ isTarget }) => (isTarget ? 0 : half()) },
  'good while all slow down': { ...BASE, slowness: ({ elapsedMs }) => (elapsedMs > 6_000 ? 6 : 1) },
  'good while the old one slows down': {
    ...BASE,
    slowness: ({ isTarget, elapsedMs }) => (!isTarget && elapsedMs > 6_000 ? 6 : 1),
  },
  'good at 3 calls/s': { callsPerSecond: 3, durationMs: 60_000 },
  'one call in fifty fails at both': { ...BASE, callsPerSecond: 100, failing: () => 0.02 },
};

function playAll(play: Play, seed: number) {
  const results = Array.from({ length: PLAYS_PER_KIND }, (_, index) =>
    replayRollout(play, seed + index),
  );
  const rolledBack = results.filter(({ outcome }) => outcome === 'rolled back').length;
  const overLimit = results.filter(({ exposed, calls, endedMs }) => {
    // After a rollback the target gets nothing, while the calls up to the deadline still count.
    const all = (calls / Math.max(1, Math.min(endedMs, play.durationMs))) * play.durationMs;
    return exposed > 0.1 * all + 50;
  }).length;
  const late = results.filter((result) => result.late > 0).length;
  const overdue = results.filter(({ endedMs }) => endedMs > play.durationMs).length;
  return { rolledBack, overLimit, late, overdue };
}

let seed = 1_000;
for (const [name, play] of Object.entries(BAD)) {
  seed += PLAYS_PER_KIND;
  const first = seed;
  // Guards against a version that is bad in this way getting more calls than permitted.
  test(`${PLAYS_PER_KIND} plays of a bad version are rolled back in time: ${name}`, () => {
    const { rolledBack, overLimit, late } = playAll(play, first);
    assert.equal(
      { rolledBack, overLimit, late },
      { rolledBack: PLAYS_PER_KIND, overLimit: 0, late: 0 },
    );
  });
}
for (const [name, play] of Object.entries(GOOD)) {
  seed += PLAYS_PER_KIND;
  const first = seed;
  // Guards against chance or a cold start being taken for a fault, and against a late verdict.
  test(`under 1 % of ${PLAYS_PER_KIND} plays of a good version aren't completed in time: ${name}`, () => {
    const { overdue, rolledBack } = playAll(play, first);
    assert.ok(Math.max(overdue, rolledBack) < PLAYS_PER_KIND / 100, `${overdue}, ${rolledBack}`);
  });
}

test.run();
