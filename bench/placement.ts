/**
 * Compares the wait for a slot at uneven upstreams, at 80 % use, with the bound: one queue over all slots.
 * Virtual time. Usage: `placement.ts [SEED] [DAEMONS...]`.
 *
 * @packageDocumentation
 */
import PlacementReplay from '../stand-in/PlacementReplay';
import { replayOneQueue, unevenFleet } from '../stand-in/unevenFleet';

const SEED = Number(process.argv[2] ?? 7);
const SIZES = process.argv.length > 3 ? process.argv.slice(3).map(Number) : [12, 60, 200, 1_000];
const RUN_MS = 12_000;
const SETTLED_MS = 3_000;
/** Objectives as multiples of the mean duration: a usual one, and one that is hardly ever missed. */
const OBJECTIVE_FACTORS = [3, 10];
const PERCENTILE = 0.99;

function summarise(waits: number[]) {
  const sorted = waits.sort((a, b) => a - b);
  return {
    calls: sorted.length,
    meanMs: Math.round(sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length),
    p99Ms: Math.round(sorted[Math.floor(PERCENTILE * sorted.length)]!),
  };
}

const rows = SIZES.flatMap((daemons) => {
  const bound = unevenFleet(daemons, OBJECTIVE_FACTORS[0]!, SEED);
  return [
    {
      daemons,
      placement: 'one queue',
      durationMs: Math.round(bound.meanMs),
      ...summarise(replayOneQueue(bound, RUN_MS, SETTLED_MS)),
    },
    ...OBJECTIVE_FACTORS.map((factor) => {
      const options = unevenFleet(daemons, factor, SEED);
      const fleet = new PlacementReplay(options);
      fleet.run(RUN_MS);
      const calls = fleet.results.filter(({ at, served }) => at > SETTLED_MS && served);
      const waits = summarise(calls.map(({ waitMs }) => waitMs));
      const durationMs = Math.round(options.meanMs);
      return { daemons, placement: `objective x ${factor}`, durationMs, ...waits };
    }),
  ];
});
console.table(rows);
