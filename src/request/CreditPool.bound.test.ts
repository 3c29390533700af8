/**
 * Property test of the bound on an organisation's calls. Daemons exchange messages over a network that loses, delays
 * and cuts, while they are frozen, killed and restarted and disagree about who is alive.
 *
 * @packageDocumentation
 */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import QuotaFleet, { PERFECT_NETWORK } from '../../stand-in/QuotaFleet';
import SeededRandom from '../common/SeededRandom';

const DAEMONS = 8;
const SECONDS = 16;
const STEPS_PER_SECOND = 100;
const RUNS = 60;

const disturbance = fc.record({
  kind: fc.constantFrom(
    'cut',
    'oneWay',
    'freeze',
    'kill',
    'restart',
    'doubt',
    'loss',
    'slow',
    'heal',
  ),
  atMs: fc.integer({ min: 0, max: SECONDS * 1_000 }),
  /** Daemons that it concerns, one bit each. */
  mask: fc.integer({ min: 1, max: 2 ** DAEMONS - 2 }),
});
const scenario = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 30 }),
  rate: fc.constantFrom(5, 40, 245),
  burstFactor: fc.constantFrom(0, 1, 2),
  loadFactor: fc.constantFrom(0.6, 2, 7.5),
  disturbances: fc.array(disturbance, { maxLength: 14 }),
});

function apply(fleet: QuotaFleet, kind: string, mask: number): void {
  const isIn = (id: string) => Math.floor(mask / 2 ** Number(id.slice(1))) % 2 === 1;
  const chosen = fleet.daemons.filter(({ id }) => isIn(id));
  const effects: Record<string, () => void> = {
    cut: () =>
      Object.assign(fleet.network, { passes: (a: string, b: string) => isIn(a) === isIn(b) }),
    oneWay: () =>
      Object.assign(fleet.network, { passes: (a: string, b: string) => isIn(a) || !isIn(b) }),
    doubt: () =>
      Object.assign(fleet.network, {
        // Each daemon doubts others than its neighbour does.
        alive: (viewer: { id: string }, other: { id: string }) =>
          (Number(viewer.id.slice(1)) + Number(other.id.slice(1)) + mask) % 3 !== 0,
      }),
    freeze: () => chosen.forEach((daemon) => Object.assign(daemon, { isFrozen: true })),
    kill: () => chosen.forEach((daemon) => Object.assign(daemon, { isDown: true })),
    restart: () => chosen.forEach((daemon) => fleet.restart(daemon)),
    loss: () => Object.assign(fleet.network, { lossPercent: mask % 80 }),
    slow: () => Object.assign(fleet.network, { maxDelayMs: 20 + 3 * mask }),
    heal: () => {
      Object.assign(fleet.network, PERFECT_NETWORK);
      for (const daemon of fleet.daemons) {
        Object.assign(daemon, { isFrozen: false });
        if (daemon.isDown) fleet.restart(daemon);
      }
    },
  };
  effects[kind]!();
}

test('no window has more calls than the quota and its tolerance permit', async () => {
  let worst = 0;
  await fc.assert(
    fc.asyncProperty(scenario, async ({ seed, rate, burstFactor, loadFactor, disturbances }) => {
      const random = new SeededRandom(seed);
      const quota = { rate, burst: rate * burstFactor };
      const fleet = new QuotaFleet(DAEMONS, quota, random);
      let due = 0;
      for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
        const now = fleet.clock.now();
        for (const { kind, atMs, mask } of disturbances) {
          if (atMs >= now && atMs < now + 10) apply(fleet, kind, mask);
        }
        due += (rate * loadFactor) / STEPS_PER_SECOND;
        // Half of the callers use one daemon, which changes each second.
        for (; due >= 1; due -= 1) {
          const hot = Math.floor(now / 1_000) % DAEMONS;
          fleet.call(fleet.daemons[random.below(2) ? hot : random.below(DAEMONS)]!, 'acme');
        }
        await fleet.step();
      }
      worst = Math.max(worst, fleet.worstWindow());
      assert.ok(fleet.worstWindow() <= 1, `${fleet.worstWindow()} of what is permitted`);
    }),
    { numRuns: RUNS, seed: 71 },
  );
  // A simulation in which hardly any call runs would prove nothing.
  assert.ok(worst > 0.8, `the fullest window had ${worst} of what is permitted`);
});

test.run();
