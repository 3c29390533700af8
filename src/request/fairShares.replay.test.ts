/**
 * Replays one organisation that sends many times its usual rate while slots are short: in the queue of an upstream,
 * and at the throttle of its callers' daemon.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import VirtualTimeline from '../../stand-in/VirtualTimeline';
import SeededRandom from '../common/SeededRandom';
import type { OrganisationName, RouteName } from '../common/Types';
import AdaptiveThrottle from './AdaptiveThrottle';
import AdmissionController from './AdmissionController';

const SECONDS = 8;
const WORK_MS = 100;
const LIGHT = Array.from({ length: 10 }, (_, index) => `light-${index}` as OrganisationName);
const HOT = 'hot' as OrganisationName;
const LIGHT_PER_SECOND = 12;
const HOT_PER_SECOND = 200;

interface Shares {
  readonly light: readonly number[];
  readonly hot: number;
}

function sharesOf(arrived: Map<string, number>, served: Map<string, number>): Shares {
  const share = (name: string) => (served.get(name) ?? 0) / arrived.get(name)!;
  return { light: LIGHT.map(share), hot: share(HOT) };
}

/** Which organisation sends a call in this millisecond, if any. */
function arrival(random: SeededRandom): OrganisationName | undefined {
  const drawn = random.below(1_000);
  if (drawn < HOT_PER_SECOND) return HOT;
  return LIGHT[Math.floor((drawn - HOT_PER_SECOND) / LIGHT_PER_SECOND)];
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Queue of an upstream with 18 slots, 180 calls a second, to which 320 a second are sent. */
async function replayQueue(checksKeys: boolean): Promise<Shares> {
  const timeline = new VirtualTimeline();
  const { clock } = timeline;
  const random = new SeededRandom(7);
  const admission = new AdmissionController({ slots: 18, queue: 144, warmUpMs: 0 }, clock, 0);
  const arrived = new Map<string, number>();
  const served = new Map<string, number>();
  const call = async (organisation: OrganisationName) => {
    const now = clock.now();
    const times = { deadline: now + 2_000, objective: now + 300 };
    const request = { route: 'r' as RouteName, priority: 1, ...times };
    increment(arrived, organisation);
    try {
      const release = await admission.acquire(
        checksKeys ? { ...request, organisation } : request,
        new AbortController().signal,
      );
      await timeline.until(clock.now() + WORK_MS);
      release();
      increment(served, organisation);
    } catch {
      // Refused calls count as not served.
    }
  };
  for (let ms = 0; ms < SECONDS * 1_000; ms += 1) {
    const organisation = arrival(random);
    if (organisation) void call(organisation);
    await timeline.advance();
  }
  return sharesOf(arrived, served);
}

test('in a full queue, organisations with usual load are served although another sends many times its own', async () => {
  const fair = await replayQueue(true);
  const before = await replayQueue(false);
  assert.ok(Math.min(...fair.light) > 0.9, JSON.stringify(fair));
  assert.ok(Math.min(...before.light) < 0.7, `without organisations: ${JSON.stringify(before)}`);
  const all = (120 * 0.9 + HOT_PER_SECOND * fair.hot) / 320;
  assert.ok(fair.hot > all / 4, `the hot one is served less than a quarter as often: ${fair.hot}`);
});

/** Throttle of a daemon whose route gets 150 slots a second for 320 calls. */
function replayThrottle(checksKeys: boolean): Shares {
  const clock = new ManualClock();
  const random = new SeededRandom(9);
  const throttle = new AdaptiveThrottle(clock, random);
  const arrived = new Map<string, number>();
  const served = new Map<string, number>();
  let free = 0;
  for (let ms = 0; ms < SECONDS * 1_000; ms += 1) {
    clock.advance(1);
    free = Math.min(10, free + 0.15);
    const organisation = arrival(random);
    if (!organisation) continue;
    increment(arrived, organisation);
    if (throttle.shouldReject(checksKeys ? organisation : undefined)) continue;
    increment(served, organisation);
    if (free >= 1) {
      free -= 1;
      throttle.recordAdmitted();
    } else throttle.recordRefused(100);
  }
  return sharesOf(arrived, served);
}

test('the throttle offers the calls of organisations with usual load, and rejects those above the fair share', () => {
  const fair = replayThrottle(true);
  const before = replayThrottle(false);
  assert.ok(Math.min(...fair.light) > 0.9, JSON.stringify(fair));
  assert.ok(Math.min(...before.light) < 0.7, `without organisations: ${JSON.stringify(before)}`);
  assert.ok(fair.hot > 0.15, JSON.stringify(fair));
});

test.run();
