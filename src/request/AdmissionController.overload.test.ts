/**
 * Simulates, in virtual time, several seconds of arrivals above the capacity of an upstream, with
 * admission control and with a first-come queue of the same length.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { RouteName } from '../common/Types';
import AdmissionController, { type AdmissionRequest, type Release } from './AdmissionController';

const SLOTS = 18;
const QUEUE = 144;
const WORK_MS = 100;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 2_000;
const NESTED_WORK_MS = 22;
const NESTED_OBJECTIVE_MS = 100;
const NESTED_DEADLINE_MS = 250;
const SECONDS = 8;

interface Queue {
  acquire(request: AdmissionRequest): Promise<Release>;
}

/** First-come queue that ignores priorities, objectives and deadlines. */
class FifoQueue implements Queue {
  private running = 0;

  private readonly waiting: (() => void)[] = [];

  public async acquire(): Promise<Release> {
    if (this.running >= SLOTS) {
      if (this.waiting.length >= QUEUE) throw new Error('full');
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    } else this.running += 1;
    return () => {
      const next = this.waiting.shift();
      if (next) next();
      else this.running -= 1;
    };
  }
}

interface Tally {
  arrived: number;
  inTime: number;
  late: number;
  /** Number of calls that were refused, or got a response after their deadline. */
  lost: number;
  /** Longest wait, in milliseconds, of a call that was refused or got a late response. */
  maxLostWaitMs: number;
}

const EMPTY: Tally = { arrived: 0, inTime: 0, late: 0, lost: 0, maxLostWaitMs: 0 };

interface CallKind {
  readonly name: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Simulated time of the first call of this kind, in milliseconds. */
  readonly fromMs?: number;
  /** Simulated time, in milliseconds, from which calls of this kind are counted in the results. */
  readonly countedFromMs?: number;
}

/** Simulates the arrival of calls in steps of one millisecond. */
async function simulate(
  createQueue: (clock: ManualClock) => Queue,
  kinds: readonly CallKind[],
  slowness: (ms: number) => number = () => 1,
): Promise<Record<string, Tally>> {
  const clock = new ManualClock();
  const random = new SeededRandom(11);
  const queue = createQueue(clock);
  const ends = new Map<number, (() => void)[]>();
  const tallies: Record<string, Tally> = {};
  const call = async (kind: CallKind, tally: Tally) => {
    const began = clock.now();
    const { workMs, objectiveMs, deadlineMs, priority } = kind;
    const request = {
      route: kind.name as RouteName,
      priority,
      deadline: began + deadlineMs,
      objective: began + objectiveMs,
    };
    let release: Release;
    try {
      release = await queue.acquire(request);
    } catch {
      tally.lost += 1;
      tally.maxLostWaitMs = Math.max(tally.maxLostWaitMs, clock.now() - began);
      return;
    }
    const durationMs = workMs * slowness(clock.now()) * (0.7 + random.below(600) / 1_000);
    const endsAt = Math.round(clock.now() + durationMs);
    const end = () => {
      release();
      const latencyMs = endsAt - began;
      if (latencyMs <= objectiveMs) tally.inTime += 1;
      else if (latencyMs <= deadlineMs) tally.late += 1;
      else {
        tally.lost += 1;
        tally.maxLostWaitMs = Math.max(tally.maxLostWaitMs, deadlineMs);
      }
    };
    ends.set(endsAt, [...(ends.get(endsAt) ?? []), end]);
  };
  for (let ms = 0; ms < SECONDS * 1_000 + DEADLINE_MS; ms += 1) {
    for (const end of ends.get(ms) ?? []) end();
    for (const kind of kinds) {
      tallies[kind.name] ??= { ...EMPTY };
      const isCounted = ms >= (kind.countedFromMs ?? 0);
      const tally = isCounted ? tallies[kind.name]! : { ...EMPTY };
      const isOpen = ms >= (kind.fromMs ?? 0) && ms < SECONDS * 1_000;
      const arrives = isOpen && random.below(1_000) < kind.perSecond;
      if (!arrives) continue;
      tally.arrived += 1;
      void call(kind, tally);
    }
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
    clock.advance(1);
  }
  return tallies;
}

function createAdmission(clock: ManualClock): Queue {
  const admission = new AdmissionController({ slots: SLOTS, queue: QUEUE, warmUpMs: 0 }, clock, 0);
  return { acquire: (request) => admission.acquire(request, new AbortController().signal) };
}

const LOOKUP: CallKind = {
  name: 'lookup',
  perSecond: 250,
  workMs: WORK_MS,
  objectiveMs: OBJECTIVE_MS,
  deadlineMs: DEADLINE_MS,
  priority: 2,
};

test('at 1.4 times the capacity over 80 % of it is spent on calls that meet their objective', async () => {
  const capacity = (SECONDS * 1_000 * SLOTS) / WORK_MS;
  const result = (await simulate(createAdmission, [LOOKUP])).lookup!;
  const fifoResult = (await simulate(() => new FifoQueue(), [LOOKUP])).lookup!;
  assert.ok(result.inTime > 0.8 * capacity, `of ${capacity}: ${JSON.stringify(result)}`);
  assert.ok(fifoResult.inTime < 0.4 * capacity, `first-come queue, in time: ${fifoResult.inTime}`);
  assert.ok(
    result.maxLostWaitMs < DEADLINE_MS / 2,
    `longest wait of a lost call: ${result.maxLostWaitMs} ms`,
  );
});

const NESTED: CallKind = {
  name: 'nested',
  perSecond: 150,
  workMs: NESTED_WORK_MS,
  objectiveMs: NESTED_OBJECTIVE_MS,
  deadlineMs: NESTED_DEADLINE_MS,
  priority: 2,
};

test('nested calls with a short objective are served while outer calls overload the slots', async () => {
  const result = (await simulate(createAdmission, [LOOKUP, NESTED])).nested!;
  const fifoResult = (await simulate(() => new FifoQueue(), [LOOKUP, NESTED])).nested!;
  assert.ok(result.inTime + result.late > 0.95 * result.arrived, JSON.stringify(result));
  assert.ok(
    fifoResult.inTime + fifoResult.late < 0.5 * fifoResult.arrived,
    JSON.stringify(fifoResult),
  );
});

test('the durations of earlier long calls do not cause the first nested calls to be refused', async () => {
  // A daemon that restarts beside a full upstream first sees calls that last longer than the
  // deadline of nested calls.
  const records: CallKind = {
    ...LOOKUP,
    name: 'records',
    perSecond: 80,
    workMs: 400,
    objectiveMs: 1_200,
    deadlineMs: 6_000,
  };
  const result = (await simulate(createAdmission, [records, { ...NESTED, fromMs: 2_000 }])).nested!;
  assert.ok(result.inTime + result.late > 0.9 * result.arrived, JSON.stringify(result));
});

test('nested calls precede long calls that can still meet their objective', async () => {
  // Long calls release slots too rarely for the nested calls to meet their objective.
  const plans = { ...LOOKUP, name: 'plans', perSecond: 30, workMs: 800, objectiveMs: 2_000 };
  const spec = { ...NESTED, perSecond: 25, workMs: 57, objectiveMs: 150, deadlineMs: 500 };
  const result = await simulate(createAdmission, [{ ...plans, deadlineMs: 5_000 }, spec]);
  const { nested } = result;
  assert.ok(nested!.inTime + nested!.late > 0.95 * nested!.arrived, JSON.stringify(result));
});

test('two routes of equal priority with different durations get about equal served shares', async () => {
  const common = { ...LOOKUP, deadlineMs: 5_000 };
  const history = { ...common, name: 'history', perSecond: 70, workMs: 220, objectiveMs: 600 };
  const hours = { ...common, name: 'hours', perSecond: 40, workMs: 360, objectiveMs: 1_000 };
  const result = await simulate(createAdmission, [history, hours]);
  const [short, long] = [result.history!, result.hours!].map(
    ({ inTime, late, arrived }) => (inTime + late) / arrived,
  );
  assert.ok(Math.abs(short! - long!) < 0.15, JSON.stringify(result));
  assert.ok(Math.min(short!, long!) > 0.45, JSON.stringify(result));
});

test('calls of a route that was slow for a while are admitted again afterwards', async () => {
  const slowUntilMs = 1_000;
  const factor = 15;
  const slowness = (ms: number) => (ms < slowUntilMs ? factor : 1);
  // From this time on, the last slow call has ended, and its effect on the average duration has
  // decayed for two seconds.
  const countedFromMs = slowUntilMs + 1.3 * factor * WORK_MS + 2_000;
  const nested = { ...NESTED, countedFromMs };
  const result = (await simulate(createAdmission, [LOOKUP, nested], slowness)).nested!;
  assert.ok(result.inTime > 0.95 * result.arrived, JSON.stringify(result));
});

test('under overload calls of higher priority are rarely refused, and others are not starved', async () => {
  const booking: CallKind = { ...LOOKUP, name: 'booking', perSecond: 90, priority: 1 };
  const result = await simulate(createAdmission, [LOOKUP, booking]);
  assert.ok(result.booking!.inTime > 0.95 * result.booking!.arrived, JSON.stringify(result));
  assert.ok(
    result.lookup!.inTime > 0.2 * result.lookup!.arrived,
    'calls of lower priority are not starved',
  );
});

test.run();
