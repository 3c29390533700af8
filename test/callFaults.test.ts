import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LoadGenerator, { type CallRecord } from '../stand-in/LoadGenerator';
import Fleet, { eventually, type FleetProcess } from '../stand-in/Fleet';
import UpstreamServer, { type LedgerEntry } from '../stand-in/UpstreamServer';
import {
  configurationFiles,
  fetchLedger,
  findViolations,
  publish,
  scenario,
  SHORT_PERIODS,
  startDaemons,
  waitUntilAllAlive,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const ZONES = ['coq', 'coq', 'rogers', 'rogers'];
/** Time that an upstream works on a call. */
const WORK_MS = 3;
/** Number of callers that disconnect from a daemon that is frozen. */
const CALLERS = 20;
/** How long a daemon is frozen: long enough for it to measure event loop lag once it is resumed. */
const FROZEN_MS = 300;

type UpstreamProcess = FleetProcess<{ port: number }>;

/**
 * A mesh of four daemons. Callers use the first, `entry`, which has no upstream of its own, while the
 * other daemons and their upstreams are stopped, killed and restarted.
 */
interface Mesh {
  readonly fleet: Fleet;
  readonly entry: DaemonProcess;
  readonly daemons: readonly DaemonProcess[];
  readonly upstreams: readonly UpstreamProcess[];
}

/** Waits until the entry daemon lists exactly `count` upstreams for the route. */
async function waitUntilServing(entry: DaemonProcess, count: number): Promise<void> {
  await eventually(`${count} upstreams are listed as serving`, async () => {
    const { control } = entry.ready.listening;
    const answer = await fetch(`http://${control}/explain?method=GET&path=/rentals`);
    const { upstreams } = (await answer.json()) as { upstreams: unknown[] };
    return upstreams.length === count;
  });
}

/**
 * Runs a test on a mesh with an upstream of the service `rentals` beside every daemon but `entry`.
 */
async function withMesh(run: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [entry, ...daemons] = await startDaemons(fleet, ZONES);
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['rentals'], 'first')));
    await waitUntilInForce(0, [entry!, ...daemons]);
    const upstreams = await Promise.all(
      daemons.map((daemon) => fleet.startUpstream('rentals', daemon, WORK_MS)),
    );
    await waitUntilServing(entry!, upstreams.length);
    await run({ fleet, entry: entry!, daemons, upstreams });
  } finally {
    await fleet.dispose();
  }
}

/** Restarts a daemon that has ended, at the same addresses. */
async function restart(fleet: Fleet, { ready }: DaemonProcess, index: number): Promise<void> {
  const zone = ZONES[index]!;
  const name = `${zone}-${index}`;
  await fleet.startDaemon({ name, zone, extra: SHORT_PERIODS, addresses: ready.listening });
}

/** Starts callers that send one call after another to the entry daemon. */
function startLoad(entry: DaemonProcess, method: string, query = ''): LoadGenerator {
  return new LoadGenerator({
    daemons: [entry.ready.listening.calls],
    method,
    path: `/rentals${query}`,
    callers: 8,
    body: method === 'POST' ? 'charge' : undefined,
  });
}

/** The calls that any of the upstreams began to run. */
async function fetchLedgers(upstreams: readonly UpstreamProcess[]): Promise<LedgerEntry[]> {
  return (await Promise.all(upstreams.map(({ ready }) => fetchLedger(ready.port)))).flat();
}

/** Number of calls by outcome. */
function countOutcomes(records: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome } of records) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}

/** Outcome and response body of each call that was not answered. */
function unansweredCalls(records: readonly CallRecord[]): string[] {
  return records
    .filter(({ outcome }) => outcome !== 'answered')
    .map(({ outcome, body }) => `${outcome}: ${body}`);
}

/** Waits until the callers have completed a further `count` calls. */
async function waitForCalls(load: LoadGenerator, count: number): Promise<void> {
  const target = load.records.length + count;
  try {
    await eventually(
      `the callers complete ${count} further calls`,
      () => load.records.length >= target,
    );
  } catch (error) {
    // Callers that go on would keep the test process alive.
    void load.stop();
    throw error;
  }
}

scenario('daemons killed and restarted: no POST runs twice, each reported outcome is true', () =>
  withMesh(async ({ fleet, entry, daemons, upstreams }) => {
    const load = startLoad(entry, 'POST');
    await waitForCalls(load, 500);
    for (const [index, daemon] of daemons.entries()) {
      await Fleet.stopProcess(daemon, 'SIGKILL');
      await waitForCalls(load, 300);
      await restart(fleet, daemon, index + 1);
      await waitUntilServing(entry, upstreams.length);
      await waitForCalls(load, 300);
    }
    const records = await load.stop();
    assert.equal(findViolations(records, await fetchLedgers(upstreams), false), []);
    const counts = countOutcomes(records);
    assert.ok((counts.unknown ?? 0) <= 3 * 8, JSON.stringify(counts));
    assert.is(counts.answered! + (counts.unknown ?? 0) + (counts['not-run'] ?? 0), records.length);
  }),
);

scenario('a frozen daemon: unanswered POST attempts are fenced off or reported as unknown', () =>
  withMesh(async ({ entry, daemons, upstreams }) => {
    const load = startLoad(entry, 'POST');
    await waitForCalls(load, 500);
    daemons[0]!.child.kill('SIGSTOP');
    await waitForCalls(load, 500);
    daemons[0]!.child.kill('SIGCONT');
    await waitForCalls(load, 500);
    const records = await load.stop();
    assert.equal(findViolations(records, await fetchLedgers(upstreams), false), []);
  }),
);

scenario(
  'a frozen upstream holds up only the calls that it has; lookups go elsewhere when it dies',
  () =>
    withMesh(async ({ entry, upstreams }) => {
      const load = startLoad(entry, 'GET');
      await waitForCalls(load, 500);
      upstreams[0]!.child.kill('SIGSTOP');
      await waitForCalls(load, 500);
      await Fleet.stopProcess(upstreams[0]!, 'SIGKILL');
      await waitForCalls(load, 1_000);
      const records = await load.stop();
      assert.equal(unansweredCalls(records), []);
      for (const { id, body } of records) assert.ok(body.startsWith(id));
    }),
);

scenario('rolling restart under load: every call is answered and no POST runs twice', () =>
  withMesh(async ({ fleet, entry, daemons, upstreams }) => {
    const idempotentLoad = startLoad(entry, 'GET');
    // These calls take longer than the setting `leave`, so that some are running when a stopping
    // daemon begins to drain.
    const nonIdempotentLoad = startLoad(entry, 'POST', '?work=1500');
    for (const [index, daemon] of daemons.entries()) {
      await waitForCalls(idempotentLoad, 200);
      assert.is(await Fleet.stopProcess(daemon), 0);
      await restart(fleet, daemon, index + 1);
      await waitUntilServing(entry, upstreams.length);
    }
    const idempotentRecords = await idempotentLoad.stop();
    const nonIdempotentRecords = await nonIdempotentLoad.stop();
    const ledger = await fetchLedgers(upstreams);
    assert.equal(unansweredCalls(idempotentRecords), []);
    assert.equal(unansweredCalls(nonIdempotentRecords), []);
    assert.equal(findViolations(idempotentRecords, ledger, true), []);
    assert.equal(findViolations(nonIdempotentRecords, ledger, false), []);
  }),
);

scenario('an upstream that shuts down under load: every call is answered', () =>
  withMesh(async ({ entry, upstreams }) => {
    const load = startLoad(entry, 'POST', '?work=30');
    await waitForCalls(load, 100);
    // This upstream is in the callers' zone, so the balancer prefers it.
    const before = await fetchLedger(upstreams[0]!.ready.port);
    assert.is(await Fleet.stopProcess(upstreams[0]!), 0);
    await waitForCalls(load, 200);
    const records = await load.stop();
    assert.ok(before.length > 0);
    assert.equal(unansweredCalls(records), []);
  }),
);

scenario('overload at ten times the slots: each call is answered, or refused as not run', () =>
  withMesh(async ({ entry, upstreams }) => {
    const load = new LoadGenerator({
      daemons: [entry.ready.listening.calls],
      method: 'POST',
      path: '/rentals?work=20',
      callers: 3 * 18 * 10,
      body: 'charge',
    });
    await waitForCalls(load, 4_000);
    const records = await load.stop();
    const counts = countOutcomes(records);
    assert.equal(findViolations(records, await fetchLedgers(upstreams), false), []);
    assert.is(counts.answered! + counts['not-run']!, records.length, JSON.stringify(counts));
  }),
);

scenario('large responses arrive complete, and a truncated one is an error for its caller', () =>
  withMesh(async ({ entry }) => {
    const { calls } = entry.ready.listening;
    const bytes = 3_000_000;
    const areComplete = await Promise.all(
      Array.from({ length: 12 }, async (_, index) => {
        const id = `plan-${index}`;
        const answer = await fetch(`http://${calls}/rentals?bytes=${bytes}`, {
          headers: { 'x-call-id': id },
        });
        return (await answer.text()) === UpstreamServer.expectedBody(id, bytes);
      }),
    );
    assert.equal(
      areComplete,
      Array.from({ length: 12 }, () => true),
    );
    let errors = 0;
    for (let index = 0; index < 20; index += 1) {
      try {
        const answer = await fetch(`http://${calls}/rentals?bytes=200000&break=1`, {
          headers: { 'x-call-id': 'b' },
        });
        await answer.text();
      } catch {
        errors += 1;
      }
    }
    assert.is(errors, 20);
  }),
);

scenario('a caller that disconnects frees the slot of its call', () =>
  withMesh(async ({ entry, daemons }) => {
    const { calls } = entry.ready.listening;
    const disconnect = new AbortController();
    const calling = Array.from({ length: 30 }, () =>
      fetch(`http://${calls}/rentals?work=60000`, { signal: disconnect.signal }).catch(
        () => undefined,
      ),
    );
    const countActiveCalls = async () => {
      const dumps = await Promise.all(
        daemons.map(async ({ ready }) =>
          (await fetch(`http://${ready.listening.control}/dump`)).json(),
        ),
      );
      return (dumps as { upstream: { running: number; waiting: number } }[])
        .map(({ upstream }) => upstream.running + upstream.waiting)
        .reduce((sum, count) => sum + count, 0);
    };
    await eventually('all calls run or wait', async () => (await countActiveCalls()) === 30);
    disconnect.abort();
    await Promise.all(calling);
    await eventually('all slots are free', async () => (await countActiveCalls()) === 0);
  }),
);

/** Number of calls that have ended on a daemon, with any outcome. */
async function countEndedCalls({ ready }: DaemonProcess): Promise<number> {
  const answer = await fetch(`http://${ready.listening.control}/metrics`);
  const counts = (await answer.text()).matchAll(/^azurestream_calls_total\{.*\} (\d+)$/gm);
  return [...counts].reduce((sum, [, count]) => sum + Number(count), 0);
}

/** Sends a GET on a new connection and closes it before a response can arrive. */
async function sendAndClose(daemon: DaemonProcess, id: string): Promise<void> {
  const { hostname, port } = new URL(`http://${daemon.ready.listening.calls}`);
  const caller = connect(Number(port), hostname);
  await once(caller, 'connect');
  caller.end(`GET /rentals HTTP/1.1\r\nHost: mesh\r\nx-call-id: ${id}\r\n\r\n`);
  await once(caller, 'finish');
  caller.destroy();
  await once(caller, 'close');
}

scenario('calls whose callers disconnected while their daemon was frozen reach no upstream', () =>
  withMesh(async ({ entry, upstreams }) => {
    const endedBefore = await countEndedCalls(entry);
    entry.child.kill('SIGSTOP');
    for (let index = 0; index < CALLERS; index += 1) await sendAndClose(entry, `left-${index}`);
    await delay(FROZEN_MS);
    entry.child.kill('SIGCONT');
    await eventually(
      'all calls of disconnected callers have ended',
      async () => (await countEndedCalls(entry)) - endedBefore === CALLERS,
    );
    assert.equal(await fetchLedgers(upstreams), []);
  }),
);

scenario(
  'a version published while an upstream shuts down: calls are answered, routes wait for upstreams',
  () =>
    withMesh(async ({ fleet, entry, daemons, upstreams }) => {
      const load = startLoad(entry, 'POST');
      await waitForCalls(load, 200);
      const folder = writeFolder(
        fleet,
        'folder',
        configurationFiles(['rentals', 'records'], 'second'),
      );
      const [published] = await Promise.all([
        publish(fleet, folder),
        Fleet.stopProcess(upstreams[0]!),
      ]);
      assert.is(published.exitCode, 0, published.stderr);
      await waitUntilInForce(1, [entry, ...daemons]);
      const refused = await fetch(`http://${entry.ready.listening.calls}/records`);
      assert.snapshot(
        `${refused.status} ${refused.headers.get('x-azurestream-outcome')} ${await refused.text()}`,
        '503 not-run {"outcome":"not-run","reason":"route records is not in force: service records has no upstream that serves"}\n',
      );
      await fleet.startUpstream('records', daemons[0]!);
      await eventually('the route to the new upstream is in force', async () => {
        const answer = await fetch(`http://${entry.ready.listening.calls}/records`);
        return answer.status === 200;
      });
      await waitUntilAllAlive([entry, ...daemons]);
      await delay(100);
      const records = await load.stop();
      assert.equal(unansweredCalls(records), []);
    }),
);

test.run();
