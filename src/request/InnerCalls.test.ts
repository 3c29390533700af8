import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { RouteName } from '../common/Types';
import InnerCalls from './InnerCalls';
import UpstreamRuns from './UpstreamRuns';

const RUN_MS = 40;
const ROUTE = 'r' as RouteName;

/**
 * @param phases - Durations and average numbers of runs, one after the other.
 * @param ordinary - Calls of ordinary callers, per second.
 * @param inner - Average number of calls that a run makes.
 * @returns The estimated share of inner calls.
 */
function estimate(
  phases: readonly { ms: number; load: number }[],
  ordinary: number,
  inner: number,
) {
  const clock = new ManualClock();
  const random = new SeededRandom(3);
  const happens = (probability: number) => random.below(1_000_000) < probability * 1_000_000;
  const runs = new UpstreamRuns(clock);
  const innerCalls = new InnerCalls(runs);
  const ends: number[] = [];
  for (const { ms, load } of phases) {
    for (const end = clock.now() + ms; clock.now() < end; clock.advance(1)) {
      while (ends.length > 0 && ends[0]! <= clock.now()) {
        ends.shift();
        runs.end(false);
      }
      if (happens(load / RUN_MS)) {
        ends.push(clock.now() + RUN_MS);
        runs.begin(false);
      }
      if (happens((ends.length * inner) / RUN_MS)) innerCalls.recordCall(ROUTE);
      if (happens(ordinary / 1_000)) innerCalls.recordCall(ROUTE);
    }
  }
  return innerCalls.innerShare(ROUTE).toFixed(2);
}

test('the share of inner calls of a route follows from the times at which its calls come', () => {
  const quiet = { ms: 60_000, load: 0.7 };
  const full = { ms: 60_000, load: 12 };
  assert.snapshot(
    [
      `ordinary calls only: ${estimate([quiet], 8, 0)}`,
      `ordinary calls, then full load: ${estimate([quiet, full], 8, 0)}`,
      `full load only, nothing learnt: ${estimate([full], 8, 0)}`,
      `half and half: ${estimate([quiet], 8, 8 / 17.5)}`,
      `inner calls only: ${estimate([quiet], 0, 1)}`,
      `inner calls, then full load: ${estimate([quiet, full], 0, 1)}`,
    ].join('\n'),
    `ordinary calls only: 0.02
ordinary calls, then full load: 0.16
full load only, nothing learnt: 1.00
half and half: 0.45
inner calls only: 1.00
inner calls, then full load: 1.00`,
  );
});

test('a run that was given up may still make calls', () => {
  const clock = new ManualClock();
  const runs = new UpstreamRuns(clock);
  runs.begin(true);
  runs.end(true, true);
  const states = [500, 600].map((ms) => {
    clock.advance(ms);
    return `${runs.repeatShare} ${runs.isIdle}`;
  });
  assert.equal(states, ['1 false', '0 true']);
});

test.run();
