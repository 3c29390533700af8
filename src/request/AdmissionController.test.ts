import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { RouteName, ServiceName } from '../common/Types';
import type { Priority, Service } from '../version/Types';
import AdmissionController, { type Release } from './AdmissionController';
import CancelController from './CancelController';
import type { CancelSignal } from './Types';

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
const NEVER = new CancelController();

/** Runs the continuations of settled promises. */
async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

/** A call of a route that may wait for a minute. */
function requestOf(route: string, clock: ManualClock, priority: Priority = INTERACTIVE) {
  const times = { deadline: clock.now() + 60_000, objective: clock.now() + 60_000 };
  return { route: route as RouteName, priority, ...times };
}

/** Records the outcomes of calls in the order in which they occur. */
class CallRecorder {
  public readonly lines: string[] = [];

  private readonly releases = new Map<string, Release>();

  public constructor(private readonly admission: AdmissionController) {}

  /** Releases the slot of a call and waits until queued calls have got the free slot. */
  public async release(name: string): Promise<void> {
    this.releases.get(name)!();
    await flushPromises();
  }

  public acquire(
    name: string,
    priority: Priority = INTERACTIVE,
    deadline = Infinity,
    signal: CancelSignal = NEVER,
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

test('limits running calls to the slots and queued calls to the queue, and runs interactive calls first', async () => {
  const admission = new AdmissionController(SERVICE, new ManualClock(), 0);
  const recorder = new CallRecorder(admission);
  for (const name of ['a', 'b']) recorder.acquire(name);
  recorder.acquire('background', BACKGROUND);
  recorder.acquire('interactive');
  recorder.acquire('refused', BACKGROUND);
  await flushPromises();
  await recorder.release('a');
  await recorder.release('b');
  assert.snapshot(
    recorder.lines.join('\n'),
    `a runs
b runs
refused not run: the queue is full
interactive runs
background runs`,
  );
});

test('a call of higher priority evicts one of lower priority from a full queue', async () => {
  const admission = new AdmissionController(SERVICE, new ManualClock(), 0);
  const recorder = new CallRecorder(admission);
  for (const name of ['a', 'b']) recorder.acquire(name);
  recorder.acquire('background', BACKGROUND);
  recorder.acquire('first');
  recorder.acquire('second');
  await flushPromises();
  await recorder.release('a');
  await recorder.release('b');
  assert.snapshot(
    recorder.lines.join('\n'),
    `a runs
b runs
background not run: calls of a higher rank took its place
first runs
second runs`,
  );
});

test('a queued call whose caller leaves is removed from the queue and never runs', async () => {
  const admission = new AdmissionController(SERVICE, new ManualClock(), 0);
  const recorder = new CallRecorder(admission);
  const left = new AbortController();
  for (const name of ['a', 'b']) recorder.acquire(name);
  recorder.acquire('leaver', INTERACTIVE, Infinity, left.signal);
  recorder.acquire('c');
  await flushPromises();
  left.abort();
  await flushPromises();
  recorder.acquire('d');
  await recorder.release('a');
  await recorder.release('b');
  assert.snapshot(
    recorder.lines.join('\n'),
    `a runs
b runs
leaver not run: the caller left while it waited
c runs
d runs`,
  );
});

test('a call whose predicted wait exceeds its deadline is refused on arrival', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController(SERVICE, clock, 0);
  const recorder = new CallRecorder(admission);
  for (let turn = 0; turn < 50; turn += 1) {
    recorder.acquire('warm');
    await flushPromises();
    clock.advance(100);
    await recorder.release('warm');
  }
  recorder.lines.length = 0;
  for (const name of ['a', 'b']) recorder.acquire(name);
  recorder.acquire('hurried', INTERACTIVE, clock.now() + 20);
  recorder.acquire('patient', INTERACTIVE, clock.now() + 1_000);
  await flushPromises();
  assert.snapshot(
    recorder.lines.join('\n'),
    `a runs
b runs
hurried not run: the wait would pass the deadline`,
  );
  assert.is(admission.waiting, 1);
});

test('the available slots grow during the warm-up of an upstream', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController(
    { ...SERVICE, slots: 8, queue: 0, warmUpMs: 1_000 },
    clock,
    0,
  );
  const counts: number[] = [];
  for (const at of [0, 500, 1_000]) {
    clock.advance(at - clock.now());
    const recorder = new CallRecorder(admission);
    for (let call = 0; call < 10; call += 1) recorder.acquire('call');
    await flushPromises();
    counts.push(admission.running);
  }
  assert.equal(counts, [2, 4, 8]);
});

test('queued calls that a call of higher rank would not wait for do not count as ahead of it', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController({ ...SERVICE, queue: 8 }, clock, 0);
  const durations = { check: 20, lookup: 200, report: 400 };
  for (const [route, durationMs] of Object.entries(durations)) {
    const release = await admission.acquire(requestOf(route, clock, INTERACTIVE), NEVER);
    clock.advance(durationMs);
    release();
  }
  for (let call = 0; call < 5; call += 1) {
    void admission.acquire(requestOf('report', clock, BACKGROUND), NEVER);
  }
  void admission.acquire(requestOf('lookup', clock, INTERACTIVE), NEVER);
  const ahead = {
    check: admission.callsAhead(requestOf('check', clock, BACKGROUND)),
    lookup: admission.callsAhead(requestOf('lookup', clock, INTERACTIVE)),
    report: admission.callsAhead(requestOf('report', clock, BACKGROUND)),
    unknown: admission.callsAhead(requestOf('unknown', clock, BACKGROUND)),
  };
  assert.equal(ahead, { check: 2, lookup: 3, report: 6, unknown: 6 });
});

test('no slots are kept for waits that short calls cause themselves', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController({ ...SERVICE, slots: 4, queue: 100 }, clock, 0);
  const use = async (route: string, durationMs: number) => {
    const release = await admission.acquire(requestOf(route, clock), NEVER);
    clock.advance(durationMs);
    release();
  };
  await use('report', 400);
  await use('check', 20);
  const releases: Release[] = [];
  const keep = (release: Release) => releases.push(release);
  for (let call = 0; call < 40; call += 1) {
    void admission.acquire(requestOf('check', clock), NEVER).then(keep);
  }
  for (let turn = 0; turn < 10; turn += 1) {
    await flushPromises();
    clock.advance(200);
    for (const release of releases.splice(0)) release();
  }
  assert.is(admission.reserved, 0);
});

test('slots are kept while short calls wait for long ones, and released while they are idle', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController({ ...SERVICE, slots: 4, queue: 100 }, clock, 0);
  const releases: Release[] = [];
  const acquire = (route: string) =>
    void admission
      .acquire(requestOf(route, clock), NEVER)
      .then((release) => releases.push(release));
  const end = async (ms: number) => {
    clock.advance(ms);
    for (const release of releases.splice(0)) release();
    await flushPromises();
  };
  for (const [route, ms] of [
    ['report', 400],
    ['check', 20],
  ] as const) {
    acquire(route);
    await flushPromises();
    await end(ms);
  }
  for (let call = 0; call < 12; call += 1) acquire('report');
  await flushPromises();
  for (let call = 0; call < 4; call += 1) acquire('check');
  await end(400);
  const whenWaited = admission.reserved;
  await end(20);
  const { running } = admission;
  for (let turn = 0; turn < 10; turn += 1) await end(400);
  assert.equal(
    { whenWaited, running, afterwards: admission.reserved },
    { whenWaited: 2, running: 2, afterwards: 0 },
  );
});

test('slots released unused do not lower the average call duration', async () => {
  const clock = new ManualClock();
  const admission = new AdmissionController(SERVICE, clock, 0);
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
