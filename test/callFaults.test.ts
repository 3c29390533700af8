import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CallerLoad, { type CallRecord } from '../stand-in/CallerLoad';
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
const WORK_MS = 3;
const LEAVERS = 20;
const FROZEN_MS = 300;

type UpstreamProcess = FleetProcess<{ port: number }>;

/** A mesh whose first daemon has no upstream: callers use it while others come and go. */
interface Mesh {
  readonly fleet: Fleet;
  readonly entry: DaemonProcess;
  readonly daemons: readonly DaemonProcess[];
  readonly upstreams: readonly UpstreamProcess[];
}

async function serving(entry: DaemonProcess, count: number): Promise<void> {
  await eventually(`${count} upstreams serve`, async () => {
    const { control } = entry.ready.listening;
    const answer = await fetch(`http://${control}/explain?method=GET&path=/rentals`);
    const { upstreams } = (await answer.json()) as { upstreams: unknown[] };
    return upstreams.length === count;
  });
}

async function withMesh(play: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const [entry, ...daemons] = await startDaemons(fleet, ZONES);
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['rentals'], 'first')));
    await waitUntilInForce(0, [entry!, ...daemons]);
    const upstreams = await Promise.all(
      daemons.map((daemon) => fleet.startUpstream('rentals', daemon, WORK_MS)),
    );
    await serving(entry!, upstreams.length);
    await play({ fleet, entry: entry!, daemons, upstreams });
  } finally {
    await fleet.dispose();
  }
}

/** Starts a daemon that has ended anew, at the same addresses. */
async function restart(fleet: Fleet, { ready }: DaemonProcess, index: number): Promise<void> {
  const zone = ZONES[index]!;
  const name = `${zone}-${index}`;
  await fleet.startDaemon({ name, zone, extra: SHORT_PERIODS, addresses: ready.listening });
}

function loadOn(entry: DaemonProcess, method: string, query = ''): CallerLoad {
  return new CallerLoad({
    daemons: [entry.ready.listening.calls],
    method,
    path: `/rentals${query}`,
    callers: 8,
    body: method === 'POST' ? 'charge' : undefined,
  });
}

async function ledgers(upstreams: readonly UpstreamProcess[]): Promise<LedgerEntry[]> {
  return (await Promise.all(upstreams.map(({ ready }) => fetchLedger(ready.port)))).flat();
}

function outcomes(records: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome } of records) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}

/** What callers were told who got no answer. */
function refusals(records: readonly CallRecord[]): string[] {
  return records
    .filter(({ outcome }) => outcome !== 'answered')
    .map(({ outcome, body }) => `${outcome}: ${body}`);
}

async function enough(load: CallerLoad, count: number): Promise<void> {
  const target = load.records.length + count;
  try {
    await eventually(`${count} calls`, () => load.records.length >= target);
  } catch (error) {
    // Its callers would keep the process alive.
    void load.stop();
    throw error;
  }
}

scenario('daemons killed and restarted under charges: none runs twice, each label is true', () =>
  withMesh(async ({ fleet, entry, daemons, upstreams }) => {
    const load = loadOn(entry, 'POST');
    await enough(load, 500);
    for (const [index, daemon] of daemons.entries()) {
      await Fleet.end(daemon, 'SIGKILL');
      await enough(load, 300);
      await restart(fleet, daemon, index + 1);
      await serving(entry, upstreams.length);
      await enough(load, 300);
    }
    const records = await load.stop();
    assert.equal(findViolations(records, await ledgers(upstreams), false), []);
    const counts = outcomes(records);
    assert.ok((counts.unknown ?? 0) <= 3 * 8, JSON.stringify(counts));
    assert.is(counts.answered! + (counts.unknown ?? 0) + (counts['not-run'] ?? 0), records.length);
  }),
);

scenario('a daemon frozen under charges: silent attempts are fenced or called unknown', () =>
  withMesh(async ({ entry, daemons, upstreams }) => {
    const load = loadOn(entry, 'POST');
    await enough(load, 500);
    daemons[0]!.child.kill('SIGSTOP');
    await enough(load, 500);
    daemons[0]!.child.kill('SIGCONT');
    await enough(load, 500);
    const records = await load.stop();
    assert.equal(findViolations(records, await ledgers(upstreams), false), []);
  }),
);

scenario(
  'a frozen upstream holds up only the calls that it has; lookups go elsewhere when it dies',
  () =>
    withMesh(async ({ entry, upstreams }) => {
      const load = loadOn(entry, 'GET');
      await enough(load, 500);
      upstreams[0]!.child.kill('SIGSTOP');
      await enough(load, 500);
      await Fleet.end(upstreams[0]!, 'SIGKILL');
      await enough(load, 1_000);
      const records = await load.stop();
      assert.equal(refusals(records), []);
      for (const { id, body } of records) assert.ok(body.startsWith(id));
    }),
);

scenario('rolling restart under load: lookups never fail, charges never run twice', () =>
  withMesh(async ({ fleet, entry, daemons, upstreams }) => {
    const lookups = loadOn(entry, 'GET');
    // Longer than the time that the news of a stop is given, so that a stop finds some running.
    const charges = loadOn(entry, 'POST', '?work=1500');
    for (const [index, daemon] of daemons.entries()) {
      await enough(lookups, 200);
      assert.is(await Fleet.end(daemon), 0);
      await restart(fleet, daemon, index + 1);
      await serving(entry, upstreams.length);
    }
    const looked = await lookups.stop();
    const charged = await charges.stop();
    const ledger = await ledgers(upstreams);
    assert.equal(refusals(looked), []);
    assert.equal(refusals(charged), []);
    assert.equal(findViolations(looked, ledger, true), []);
    assert.equal(findViolations(charged, ledger, false), []);
  }),
);

scenario('an upstream that leaves gets no new work and loses no call', () =>
  withMesh(async ({ entry, upstreams }) => {
    const load = loadOn(entry, 'POST', '?work=30');
    await enough(load, 100);
    // The one in the callers' own zone, which is chosen first.
    const before = await fetchLedger(upstreams[0]!.ready.port);
    assert.is(await Fleet.end(upstreams[0]!), 0);
    await enough(load, 200);
    const records = await load.stop();
    assert.ok(before.length > 0);
    assert.equal(refusals(records), []);
  }),
);

scenario('overload at ten times the slots: refusals are not run, answers are whole', () =>
  withMesh(async ({ entry, upstreams }) => {
    const load = new CallerLoad({
      daemons: [entry.ready.listening.calls],
      method: 'POST',
      path: '/rentals?work=20',
      callers: 3 * 18 * 10,
      body: 'charge',
    });
    await enough(load, 4_000);
    const records = await load.stop();
    const counts = outcomes(records);
    assert.equal(findViolations(records, await ledgers(upstreams), false), []);
    assert.is(counts.answered! + counts['not-run']!, records.length, JSON.stringify(counts));
  }),
);

scenario('large answers come whole, and a broken one never looks whole', () =>
  withMesh(async ({ entry }) => {
    const { calls } = entry.ready.listening;
    const bytes = 3_000_000;
    const whole = await Promise.all(
      Array.from({ length: 12 }, async (_, index) => {
        const id = `plan-${index}`;
        const answer = await fetch(`http://${calls}/rentals?bytes=${bytes}`, {
          headers: { 'x-call-id': id },
        });
        return (await answer.text()) === UpstreamServer.body(id, bytes);
      }),
    );
    assert.equal(
      whole,
      Array.from({ length: 12 }, () => true),
    );
    let broken = 0;
    for (let index = 0; index < 20; index += 1) {
      try {
        const answer = await fetch(`http://${calls}/rentals?bytes=200000&break=1`, {
          headers: { 'x-call-id': 'b' },
        });
        await answer.text();
      } catch {
        broken += 1;
      }
    }
    assert.is(broken, 20);
  }),
);

scenario('a caller that leaves frees the slot of its call', () =>
  withMesh(async ({ entry, daemons }) => {
    const { calls } = entry.ready.listening;
    const left = new AbortController();
    const waiting = Array.from({ length: 30 }, () =>
      fetch(`http://${calls}/rentals?work=60000`, { signal: left.signal }).catch(() => undefined),
    );
    const running = async () => {
      const dumps = await Promise.all(
        daemons.map(async ({ ready }) =>
          (await fetch(`http://${ready.listening.control}/dump`)).json(),
        ),
      );
      return (dumps as { upstream: { running: number; waiting: number } }[])
        .map(({ upstream }) => upstream.running + upstream.waiting)
        .reduce((sum, count) => sum + count, 0);
    };
    await eventually('the calls run', async () => (await running()) === 30);
    left.abort();
    await Promise.all(waiting);
    await eventually('the slots are free', async () => (await running()) === 0);
  }),
);

/** Calls that a daemon has answered or refused. */
async function callsEnded({ ready }: DaemonProcess): Promise<number> {
  const answer = await fetch(`http://${ready.listening.control}/metrics`);
  const counts = (await answer.text()).matchAll(/^azurestream_calls_total\{.*\} (\d+)$/gm);
  return [...counts].reduce((sum, [, count]) => sum + Number(count), 0);
}

/** Sends a lookup on a connection of its own and leaves before anything can come back. */
async function leaveAtOnce(daemon: DaemonProcess, id: string): Promise<void> {
  const { hostname, port } = new URL(`http://${daemon.ready.listening.calls}`);
  const caller = connect(Number(port), hostname);
  await once(caller, 'connect');
  caller.end(`GET /rentals HTTP/1.1\r\nHost: mesh\r\nx-call-id: ${id}\r\n\r\n`);
  await once(caller, 'finish');
  caller.destroy();
  await once(caller, 'close');
}

scenario('calls whose callers left while their daemon was frozen reach no upstream', () =>
  withMesh(async ({ entry, upstreams }) => {
    const endedBefore = await callsEnded(entry);
    entry.child.kill('SIGSTOP');
    for (let number = 0; number < LEAVERS; number += 1) await leaveAtOnce(entry, `left-${number}`);
    // By then the daemon counts as late.
    await delay(FROZEN_MS);
    entry.child.kill('SIGCONT');
    await eventually(
      'the calls have ended',
      async () => (await callsEnded(entry)) - endedBefore === LEAVERS,
    );
    assert.equal(await ledgers(upstreams), []);
  }),
);

scenario(
  'a swap while an upstream leaves: routes follow services, calls are answered or not run',
  () =>
    withMesh(async ({ fleet, entry, daemons, upstreams }) => {
      const load = loadOn(entry, 'POST');
      await enough(load, 200);
      const folder = writeFolder(
        fleet,
        'folder',
        configurationFiles(['rentals', 'records'], 'second'),
      );
      const [published] = await Promise.all([publish(fleet, folder), Fleet.end(upstreams[0]!)]);
      assert.is(published.exitCode, 0, published.stderr);
      await waitUntilInForce(1, [entry, ...daemons]);
      const absent = await fetch(`http://${entry.ready.listening.calls}/records`);
      assert.snapshot(
        `${absent.status} ${absent.headers.get('x-azurestream-outcome')} ${await absent.text()}`,
        '503 not-run {"outcome":"not-run","reason":"route records is not in force: service records has no upstream that serves"}\n',
      );
      await fleet.startUpstream('records', daemons[0]!);
      await eventually('the route is in force', async () => {
        const answer = await fetch(`http://${entry.ready.listening.calls}/records`);
        return answer.status === 200;
      });
      await waitUntilAllAlive([entry, ...daemons]);
      await delay(100);
      const records = await load.stop();
      assert.equal(refusals(records), []);
    }),
);

test.run();
