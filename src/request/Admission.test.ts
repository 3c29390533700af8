import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { RouteName, ServiceName } from '../common/Types';
import type { Priority, Service } from '../version/Types';
import Admission, { type Release } from './Admission';

const SERVICE: Service = {
  name: 'stock' as ServiceName,
  slots: 2,
  connections: 10,
  queue: 2,
  warmUpMs: 0,
  health: undefined,
};
const ROUTE = 'lookup' as RouteName;
const INTERACTIVE = 0;
const BACKGROUND = 1;
const NEVER = new AbortController().signal;

/** Lets the promises that are settled run their continuations. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

class Trace {
  public readonly lines: string[] = [];

  private readonly releases = new Map<string, Release>();

  public constructor(private readonly admission: Admission) {}

  /** Ends a call and lets what follows happen. */
  public async release(name: string): Promise<void> {
    this.releases.get(name)!();
    await settle();
  }

  public ask(
    name: string,
    priority: Priority = INTERACTIVE,
    deadline = Infinity,
    signal = NEVER,
  ): void {
    const request = { route: ROUTE, priority, deadline, objective: deadline };
    this.admission.acquire(request, signal).then(
      (release) => {
        this.lines.push(`${name} runs`);
        this.releases.set(name, release);
      },
      (error: Error) => this.lines.push(`${name} not run: ${error.message}`),
    );
  }
}

test('no more run than there are slots; the queue is short; interactive calls go first', async () => {
  const admission = new Admission(SERVICE, new ManualClock(), 0);
  const trace = new Trace(admission);
  for (const name of ['a', 'b']) trace.ask(name);
  trace.ask('background', BACKGROUND);
  trace.ask('interactive');
  trace.ask('refused', BACKGROUND);
  await settle();
  await trace.release('a');
  await trace.release('b');
  assert.snapshot(
    trace.lines.join('\n'),
    `a runs
b runs
refused not run: the queue is full
interactive runs
background runs`,
  );
});

test('a call of a higher rank takes the place of a lower one in a full queue', async () => {
  const admission = new Admission(SERVICE, new ManualClock(), 0);
  const trace = new Trace(admission);
  for (const name of ['a', 'b']) trace.ask(name);
  trace.ask('background', BACKGROUND);
  trace.ask('first');
  trace.ask('second');
  await settle();
  await trace.release('a');
  await trace.release('b');
  assert.snapshot(
    trace.lines.join('\n'),
    `a runs
b runs
background not run: calls of a higher rank took its place
first runs
second runs`,
  );
});

test('a caller that leaves the queue frees its place and never runs', async () => {
  const admission = new Admission(SERVICE, new ManualClock(), 0);
  const trace = new Trace(admission);
  const left = new AbortController();
  for (const name of ['a', 'b']) trace.ask(name);
  trace.ask('leaver', INTERACTIVE, Infinity, left.signal);
  trace.ask('c');
  await settle();
  left.abort();
  await settle();
  trace.ask('d');
  await trace.release('a');
  await trace.release('b');
  assert.snapshot(
    trace.lines.join('\n'),
    `a runs
b runs
leaver not run: the caller left while it waited
c runs
d runs`,
  );
});

test('a wait that would pass the deadline is refused at once', async () => {
  const clock = new ManualClock();
  const admission = new Admission(SERVICE, clock, 0);
  const trace = new Trace(admission);
  for (let turn = 0; turn < 50; turn += 1) {
    trace.ask('warm');
    await settle();
    clock.advance(100);
    await trace.release('warm');
  }
  trace.lines.length = 0;
  for (const name of ['a', 'b']) trace.ask(name);
  trace.ask('hurried', INTERACTIVE, clock.now() + 20);
  trace.ask('patient', INTERACTIVE, clock.now() + 1_000);
  await settle();
  assert.snapshot(
    trace.lines.join('\n'),
    `a runs
b runs
hurried not run: the wait would pass the deadline`,
  );
  assert.is(admission.waiting, 1);
});

test('a cold upstream gets its slots step by step', async () => {
  const clock = new ManualClock();
  const admission = new Admission({ ...SERVICE, slots: 8, queue: 0, warmUpMs: 1_000 }, clock, 0);
  const counts: number[] = [];
  for (const at of [0, 500, 1_000]) {
    clock.advance(at - clock.now());
    const trace = new Trace(admission);
    for (let call = 0; call < 10; call += 1) trace.ask('call');
    await settle();
    counts.push(admission.running);
  }
  assert.equal(counts, [2, 4, 8]);
});

test('slots that were given back unused do not make calls look short', async () => {
  const clock = new ManualClock();
  const admission = new Admission(SERVICE, clock, 0);
  const request = { route: ROUTE, priority: INTERACTIVE, deadline: 900, objective: 900 };
  const use = async (ms: number, used?: boolean) => {
    const release = await admission.acquire(request, NEVER);
    clock.advance(ms);
    release(used);
  };
  await use(100);
  for (let call = 0; call < 20; call += 1) await use(0, false);
  assert.is(admission.durationMs(ROUTE), 100);
});

test.run();
