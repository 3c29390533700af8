/**
 * Replays, in virtual time, seconds of arrivals above what an upstream can finish, against the
 * admission and against a plain first-come queue of the same length.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { RouteName } from '../common/Types';
import Admission, { type AdmissionRequest, type Release } from './Admission';

const SLOTS = 18;
const QUEUE = 144;
const WORK_MS = 100;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 2_000;
const INNER_WORK_MS = 22;
const INNER_OBJECTIVE_MS = 100;
const INNER_DEADLINE_MS = 250;
const SECONDS = 8;

interface Gate {
  acquire(request: AdmissionRequest): Promise<Release>;
}

/** First come, first served, with no look at deadlines. */
class PlainQueue implements Gate {
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
  asked: number;
  inTime: number;
  late: number;
  /** Refused, or answered when nobody waited any more. */
  lost: number;
  /** Longest time that a call was held that got nothing, in milliseconds. */
  heldMs: number;
}

const EMPTY: Tally = { asked: 0, inTime: 0, late: 0, lost: 0, heldMs: 0 };

interface Kind {
  readonly name: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** When the first one comes, in milliseconds. */
  readonly fromMs?: number;
  /** When those that are counted begin, in milliseconds. */
  readonly countedFromMs?: number;
}

/** Plays arrivals in steps of one millisecond. */
async function play(
  createGate: (clock: ManualClock) => Gate,
  kinds: readonly Kind[],
  slowness: (ms: number) => number = () => 1,
): Promise<Record<string, Tally>> {
  const clock = new ManualClock();
  const random = new SeededRandom(11);
  const gate = createGate(clock);
  const ends = new Map<number, (() => void)[]>();
  const tallies: Record<string, Tally> = {};
  const call = async (kind: Kind, tally: Tally) => {
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
      release = await gate.acquire(request);
    } catch {
      tally.lost += 1;
      tally.heldMs = Math.max(tally.heldMs, clock.now() - began);
      return;
    }
    const tookMs = workMs * slowness(clock.now()) * (0.7 + random.below(600) / 1_000);
    const endsAt = Math.round(clock.now() + tookMs);
    const end = () => {
      release();
      const answeredMs = endsAt - began;
      if (answeredMs <= objectiveMs) tally.inTime += 1;
      else if (answeredMs <= deadlineMs) tally.late += 1;
      else {
        tally.lost += 1;
        tally.heldMs = Math.max(tally.heldMs, deadlineMs);
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
      tally.asked += 1;
      void call(kind, tally);
    }
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
    clock.advance(1);
  }
  return tallies;
}

function admissionGate(clock: ManualClock): Gate {
  const admission = new Admission({ slots: SLOTS, queue: QUEUE, warmUpMs: 0 }, clock, 0);
  return { acquire: (request) => admission.acquire(request, new AbortController().signal) };
}

const LOOKUP: Kind = {
  name: 'lookup',
  perSecond: 250,
  workMs: WORK_MS,
  objectiveMs: OBJECTIVE_MS,
  deadlineMs: DEADLINE_MS,
  priority: 2,
};

test('at 1.4 times the capacity most of it is spent on calls that are in time', async () => {
  const capacity = (SECONDS * 1_000 * SLOTS) / WORK_MS;
  const ours = (await play(admissionGate, [LOOKUP])).lookup!;
  const plain = (await play(() => new PlainQueue(), [LOOKUP])).lookup!;
  assert.ok(ours.inTime > 0.8 * capacity, `of ${capacity}: ${JSON.stringify(ours)}`);
  assert.ok(plain.inTime < 0.4 * capacity, `plain in time: ${plain.inTime}`);
  assert.ok(ours.heldMs < DEADLINE_MS / 2, `held for nothing: ${ours.heldMs} ms`);
});

const INNER: Kind = {
  name: 'inner',
  perSecond: 150,
  workMs: INNER_WORK_MS,
  objectiveMs: INNER_OBJECTIVE_MS,
  deadlineMs: INNER_DEADLINE_MS,
  priority: 2,
};

test('inner calls with a short objective are served while outer calls overload the slots', async () => {
  const ours = (await play(admissionGate, [LOOKUP, INNER])).inner!;
  const plain = (await play(() => new PlainQueue(), [LOOKUP, INNER])).inner!;
  assert.ok(ours.inTime + ours.late > 0.95 * ours.asked, JSON.stringify(ours));
  assert.ok(plain.inTime + plain.late < 0.5 * plain.asked, JSON.stringify(plain));
});

test('the first inner calls are not judged by the long calls before them', async () => {
  // A daemon that restarts beside a full upstream sees calls longer than inner ones may take.
  const records: Kind = {
    ...LOOKUP,
    name: 'records',
    perSecond: 80,
    workMs: 400,
    objectiveMs: 1_200,
    deadlineMs: 6_000,
  };
  const ours = (await play(admissionGate, [records, { ...INNER, fromMs: 2_000 }])).inner!;
  assert.ok(ours.inTime + ours.late > 0.9 * ours.asked, JSON.stringify(ours));
});

test('inner calls go before long calls that would still be in time', async () => {
  // Slots of long calls come free too seldom for inner calls to meet their objective.
  const plans = { ...LOOKUP, name: 'plans', perSecond: 30, workMs: 800, objectiveMs: 2_000 };
  const spec = { ...INNER, perSecond: 25, workMs: 57, objectiveMs: 150, deadlineMs: 500 };
  const ours = await play(admissionGate, [{ ...plans, deadlineMs: 5_000 }, spec]);
  const { inner } = ours;
  assert.ok(inner!.inTime + inner!.late > 0.95 * inner!.asked, JSON.stringify(ours));
});

test('of two kinds of one rank the longer one is served about as often', async () => {
  const terms = { ...LOOKUP, deadlineMs: 5_000 };
  const history = { ...terms, name: 'history', perSecond: 70, workMs: 220, objectiveMs: 600 };
  const hours = { ...terms, name: 'hours', perSecond: 40, workMs: 360, objectiveMs: 1_000 };
  const ours = await play(admissionGate, [history, hours]);
  const [short, long] = [ours.history!, ours.hours!].map(
    ({ inTime, late, asked }) => (inTime + late) / asked,
  );
  assert.ok(Math.abs(short! - long!) < 0.15, JSON.stringify(ours));
  assert.ok(Math.min(short!, long!) > 0.45, JSON.stringify(ours));
});

test('calls that were slow for a while are let in again once they may be fast', async () => {
  const slowUntilMs = 1_000;
  const factor = 15;
  const slowness = (ms: number) => (ms < slowUntilMs ? factor : 1);
  // The last slow call has ended by then, and two seconds are enough to forget.
  const countedFromMs = slowUntilMs + 1.3 * factor * WORK_MS + 2_000;
  const inner = { ...INNER, countedFromMs };
  const ours = (await play(admissionGate, [LOOKUP, inner], slowness)).inner!;
  assert.ok(ours.inTime > 0.95 * ours.asked, JSON.stringify(ours));
});

test('a higher rank is hardly refused while a lower one of the same service gives way', async () => {
  const booking: Kind = { ...LOOKUP, name: 'booking', perSecond: 90, priority: 1 };
  const ours = await play(admissionGate, [LOOKUP, booking]);
  assert.ok(ours.booking!.inTime > 0.95 * ours.booking!.asked, JSON.stringify(ours));
  assert.ok(ours.lookup!.inTime > 0.2 * ours.lookup!.asked, 'the lower rank is not starved');
});

test.run();
