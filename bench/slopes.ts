/**
 * Memory of a daemon by the number of known members and of open calls, each in a new process; and
 * processor time of merging a configuration folder by its number of routes.
 * Usage: `slopes.ts`; the raw result goes to `bench/results/`.
 *
 * @packageDocumentation
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type {
  Address,
  DaemonId,
  FileName,
  Incarnation,
  Offset,
  ServiceName,
  ZoneName,
} from '../src/common/Types';
import PeerClient from '../src/connection/PeerClient';
import SocketMeter from '../src/connection/SocketMeter';
import type { MemberRecord } from '../src/connection/Types';
import type { DaemonDump } from '../src/process/Types';
import mergeFolder from '../src/version/mergeFolder';
import type { Folder } from '../src/version/Types';
import Fleet, { eventually, type DaemonReady, type FleetProcess } from '../stand-in/Fleet';

const MIB = 2 ** 20;
/** Pause for a daemon to settle before its memory is read, in milliseconds. */
const SETTLE_MS = 3_000;
/** Number of simulated members that one heartbeat message reports to the daemon. */
const BATCH_MEMBERS = 250;

type Daemon = FleetProcess<DaemonReady>;

async function readDump(daemon: Daemon): Promise<DaemonDump> {
  return (await (
    await fetch(`http://${daemon.ready.listening.control}/dump`)
  ).json()) as DaemonDump;
}

async function residentMib(daemon: Daemon): Promise<number> {
  await delay(SETTLE_MS);
  const { memory } = await readDump(daemon);
  return Number((memory.residentBytes / MIB).toFixed(1));
}

function fakeMember(number: number): MemberRecord {
  return {
    id: `fake-${number}` as DaemonId,
    incarnation: 1 as Incarnation,
    sequence: 0,
    zone: `zone-${number % 5}` as ZoneName,
    address: '127.0.0.1:1' as Address,
    control: '127.0.0.1:1' as Address,
    service: `service-${number % 42}` as ServiceName,
    state: 'serving',
    healthHint: true,
    slots: null,
    readsLog: true,
    health: 'alive',
  };
}

async function withDaemon<Result>(
  use: (fleet: Fleet, daemon: Daemon) => Promise<Result>,
): Promise<Result> {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    return await use(fleet, await fleet.startDaemon({ name: 'one', zone: 'coq' }));
  } finally {
    await fleet.dispose();
  }
}

function measureMembers(count: number) {
  return withDaemon(async (_fleet, daemon) => {
    const asker = new PeerClient(new SocketMeter());
    const beat = {
      from: 'fake-0' as DaemonId,
      incarnation: 1 as Incarnation,
      version: null,
      through: 0 as Offset,
      ageMs: null,
      members: '',
    };
    for (let first = 0; first < count; first += BATCH_MEMBERS) {
      const records = Array.from({ length: Math.min(BATCH_MEMBERS, count - first) }, (_, index) =>
        fakeMember(first + index),
      );
      await asker.request(daemon.ready.listening.peers as Address, (client, signal) =>
        client.beat.mutate({ records, beat }, { signal }),
      );
    }
    return { members: count, residentMib: await residentMib(daemon) };
  });
}

function measureCalls(count: number) {
  return withDaemon(async (fleet, daemon) => {
    const folder = fleet.tempPath('folder');
    const { mkdir, writeFile } = await import('node:fs/promises');
    await mkdir(folder);
    await writeFile(
      `${folder}/10.toml`,
      '[service.stock]\nslots = 2000\nconnections = 2000\n[route.stock]\nservice = "stock"\npath = "/stock"\ntimeout = "1m"\n',
    );
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    await fleet.startUpstream('stock', daemon);
    const { calls } = daemon.ready.listening;
    await eventually(
      'the upstream serves',
      async () => (await fetch(`http://${calls}/stock`)).status === 200,
    );
    const agent = new Agent({ connections: 2_000 });
    const abort = new AbortController();
    const calling = Array.from({ length: count }, () =>
      request(`http://${calls}/stock?work=60000`, {
        method: 'POST',
        dispatcher: agent,
        signal: abort.signal,
      }).catch(() => undefined),
    );
    await eventually(
      'all calls are open',
      async () => (await readDump(daemon)).calls.open >= count,
    );
    const result = { openCalls: count, residentMib: await residentMib(daemon) };
    abort.abort();
    await Promise.all(calling);
    await agent.destroy();
    return result;
  });
}

/** Time to merge and validate a folder: the largest part of putting a version into force. */
function measureFolder(routes: number) {
  const tables = Array.from(
    { length: routes },
    (_, index) => `[route.r${index}]\nservice = "stock"\npath = "/r${index}"\ntimeout = "2s"\n`,
  );
  const files = Array.from({ length: 10 }, (_, index) => ({
    name: `${index}0.toml` as FileName,
    content: tables.slice((index * routes) / 10, ((index + 1) * routes) / 10).join(''),
  }));
  const folder: Folder = [{ name: '00.toml' as FileName, content: '[service.stock]\n' }, ...files];
  const bytes = folder.reduce((sum, { content }) => sum + content.length, 0);
  const cpuMs = Array.from({ length: 9 }, () => {
    const usageBefore = process.cpuUsage();
    mergeFolder(folder);
    return process.cpuUsage(usageBefore).user / 1_000;
  }).sort((a, b) => a - b);
  return { routes, bytes, mergeCpuMsMedian: cpuMs[4], least: cpuMs[0], most: cpuMs[8] };
}

async function main(): Promise<void> {
  const members = [];
  for (const count of [0, 500, 1_000, 1_500]) members.push(await measureMembers(count));
  const calls = [];
  for (const count of [0, 250, 500, 1_000]) calls.push(await measureCalls(count));
  const folders = [10, 100, 1_000, 4_000].map(measureFolder);
  console.table(members);
  console.table(calls);
  console.table(folders);
  mkdirSync('bench/results', { recursive: true });
  writeFileSync(
    'bench/results/slopes.json',
    `${JSON.stringify({ members, calls, folders }, undefined, 1)}\n`,
  );
}

await main();
