/**
 * A fleet with uneven upstreams for replays: speeds of 0.5 to 1.7; 15 % of the upstreams run 2.5 times
 * slower, for 0.6 s at a time; 4 slots each; Poisson arrivals of 16 calls a second at each daemon, which
 * use 80 % of the slots.
 *
 * @packageDocumentation
 */
import SeededRandom from '../src/common/SeededRandom';
import type { ReplayOptions } from './PlacementReplay';
import TickSchedule from './TickSchedule';

const SLOTS = 4;
const CALLS_PER_SECOND = 16;
const UTILISATION = 0.8;
const UPSTREAMS_PER_DAEMON = 2 / 3;
const MIN_SPEED = 0.5;
const SPEED_RANGE = 1.2;
const SLOW_PERIODS = { share: 0.15, factor: 2.5, lastsMs: 600 };
/** Capacity that slow periods leave, as a share. */
const SLOW_CAPACITY = 1 - SLOW_PERIODS.share * (1 - 1 / SLOW_PERIODS.factor);
const SPREAD = 0.4;
const RANDOM_STEPS = 1_000_000;
const MS_PER_SECOND = 1_000;

/**
 * @param daemons - Number of daemons; two thirds as many upstreams serve their calls.
 * @param objectiveFactor - Latency objective as a multiple of the mean duration.
 * @param seed - Seed of speeds, arrivals and durations.
 * @returns Options of a replay.
 */
export function unevenFleet(
  daemons: number,
  objectiveFactor: number,
  seed: number,
): ReplayOptions & { readonly objectiveMs: number } {
  const random = new SeededRandom(seed);
  const speeds = Array.from(
    { length: Math.round(daemons * UPSTREAMS_PER_DAEMON) },
    () => MIN_SPEED + (SPEED_RANGE * random.below(RANDOM_STEPS)) / RANDOM_STEPS,
  );
  const speedSum = speeds.reduce((sum, speed) => sum + speed, 0);
  const usedSlots = UTILISATION * SLOW_CAPACITY * SLOTS * speedSum;
  const meanMs = (usedSlots * MS_PER_SECOND) / (CALLS_PER_SECOND * daemons);
  return {
    seed,
    daemonZones: Array.from({ length: daemons }, () => 'a'),
    upstreams: speeds.map((speed) => ({ zone: 'a', slots: SLOTS, speed })),
    meanMs,
    objectiveMs: objectiveFactor * meanMs,
    rateAt: () => CALLS_PER_SECOND,
    slowPeriods: SLOW_PERIODS,
    delayMs: { near: 0.5, far: 2 },
  };
}

/**
 * Replays the fleet's calls with one queue over all slots, of which the fastest free one gets the next
 * call: the bound for any placement.
 *
 * @param options - Options from {@link unevenFleet}.
 * @param ms - Virtual time to run for, in milliseconds.
 * @param settledMs - Virtual time from which calls are counted, in milliseconds.
 * @returns Times that calls waited for a slot, in milliseconds.
 */
export function replayOneQueue(options: ReplayOptions, ms: number, settledMs: number): number[] {
  const { upstreams, daemonZones, meanMs, rateAt } = options;
  const schedule = new TickSchedule();
  const random = new SeededRandom(options.seed);
  const fraction = () => random.below(RANDOM_STEPS) / RANDOM_STEPS;
  const free = upstreams.map(({ slots }) => slots);
  const slowUntil = upstreams.map(() => 0);
  const queue: number[] = [];
  const waits: number[] = [];
  const now = () => schedule.clock.now();
  const speedOf = (index: number) =>
    upstreams[index]!.speed / (now() < slowUntil[index]! ? SLOW_PERIODS.factor : 1);
  const fastestFree = () => {
    let best: number | undefined;
    for (let index = 0; index < free.length; index += 1) {
      if (free[index]! > 0 && (best === undefined || speedOf(index) > speedOf(best))) best = index;
    }
    return best;
  };
  const start = (index: number, arrivedAt: number) => {
    free[index]! -= 1;
    if (arrivedAt > settledMs) waits.push(now() - arrivedAt);
    const spread = 1 + SPREAD * Math.sqrt(3) * (2 * fraction() - 1);
    schedule.after((meanMs * spread) / speedOf(index), () => {
      free[index]! += 1;
      const next = queue.shift();
      if (next !== undefined) start(fastestFree()!, next);
    });
  };
  const arrive = () => {
    schedule.after((-Math.log(1 - fraction()) * MS_PER_SECOND) / rateAt('a', now()), () => {
      arrive();
      const index = fastestFree();
      if (index === undefined) queue.push(now());
      else start(index, now());
    });
  };
  const slowDown = (index: number) => {
    const { share, lastsMs } = SLOW_PERIODS;
    const pauseMs = -Math.log(1 - fraction()) * ((lastsMs * (1 - share)) / share);
    schedule.after(pauseMs, () => {
      slowUntil[index] = now() + lastsMs;
      schedule.after(lastsMs, () => slowDown(index));
    });
  };
  upstreams.forEach((_upstream, index) => slowDown(index));
  // One process for each daemon: the gaps of a common one would be shorter than a tick.
  daemonZones.forEach(() => arrive());
  schedule.run(ms);
  return waits;
}
