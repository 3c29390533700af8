/**
 * Replays, in virtual time, a service whose runs make inner calls to another one, to which long calls come 2.4 times as
 * often for six seconds: 33 and 29 upstreams of 4 slots, near their capacity before.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import InnerCallReplay, { type ReplayedCounts } from '../../stand-in/InnerCallReplay';

const RUN_MS = 14_000;
/** Least difference at which a less urgent route counts as preferred, in shares of what the routes' calls are worth. */
const PREFERENCE = 0.15;

const LOOKUP = {
  name: 'lookup',
  service: 'desk',
  priority: 0,
  perSecond: 285,
  workMs: 220,
  spread: 0.5,
  objectiveMs: 800,
  deadlineMs: 5_000,
  retries: 2,
  inner: { kind: 'check', times: 2, share: 0.7 },
};
const FILING = {
  name: 'filing',
  service: 'desk',
  priority: 1,
  perSecond: 125,
  workMs: 290,
  spread: 0.3,
  objectiveMs: 1_000,
  deadlineMs: 6_000,
  retries: 2,
};
const BUNDLE = {
  name: 'bundle',
  service: 'archive',
  priority: 1,
  perSecond: 60,
  workMs: 180,
  spread: 0.5,
  objectiveMs: 1_200,
  deadlineMs: 8_000,
  retries: 2,
};
const REPORT = {
  name: 'report',
  service: 'archive',
  priority: 2,
  perSecond: 83,
  workMs: 880,
  spread: 0.8,
  objectiveMs: 5_000,
  deadlineMs: 15_000,
  retries: 2,
  burst: { from: 3_000, until: 9_000, factor: 2.4 },
};
const CHECK = {
  name: 'check',
  service: 'archive',
  priority: 2,
  perSecond: 0,
  workMs: 55,
  spread: 0.5,
  objectiveMs: 200,
  deadlineMs: 600,
  retries: 0,
};

function speeds(pattern: readonly number[], count: number): number[] {
  return Array.from({ length: count }, (_, index) => pattern[index % pattern.length]!);
}

/** Share of a route's calls that were answered in time; a late answer counts as an eighth. */
function shareOf({ calls, inTime, late }: ReplayedCounts): number {
  return (inTime + late / 8) / calls;
}

test('runs do not hold their slots for inner calls that wait behind long calls elsewhere', async () => {
  const replay = new InnerCallReplay({
    seed: 56,
    runMs: RUN_MS,
    services: {
      desk: { slots: 4, speeds: speeds([0.5, 1, 1, 1.5], 33) },
      archive: { slots: 4, speeds: speeds([0.6, 1, 1.4], 29) },
    },
    kinds: [LOOKUP, FILING, BUNDLE, REPORT, CHECK],
  });
  const counts = await replay.run();
  const share = (name: string) => shareOf(counts.get(name)!);
  const shares = ['lookup', 'filing', 'report'].map((name) => `${name} ${share(name).toFixed(2)}`);
  const best = Math.max(share('filing'), share('report'));
  assert.ok(best - share('lookup') <= PREFERENCE, shares.join(', '));
});

test.run();
