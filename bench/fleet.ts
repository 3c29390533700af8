/**
 * Convergence and control traffic by fleet size: quiet, under changes, under churn of upstreams and
 * in a restart storm. Many daemons share a process here; their frames cross real sockets.
 * Usage: `fleet.ts [DAEMONS] [LABEL]`; the raw result goes to `bench/results/`.
 *
 * @packageDocumentation
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { build as buildHistogram } from 'hdr-histogram-js';
import type { Address, FileName } from '../src/common/Types';
import HttpLog from '../src/connection/HttpLog';
import SocketMeter from '../src/connection/SocketMeter';
import { applyChanges } from '../src/version/folder';
import Publisher from '../src/command/Publisher';
import LogServer from '../stand-in/LogServer';
import { eventually } from '../stand-in/Fleet';
import type { HostReply, HostRequest } from './fleetHost';

const SIZE = Number(process.argv[2] ?? 48);
const LABEL = process.argv[3] ?? 'fleet';
const HOSTS = Math.min(5, Math.max(2, Math.ceil(SIZE / 12)));
const ZONES = ['coq', 'rogers', 'kootenay', 'pine', 'hope'];
const QUIET_MS = 10_000;
const CHANGES = 20;
const CHANGE_EVERY_MS = 500;
const FLIPS = 40;
const FLIP_EVERY_MS = 250;
/** Flips in quick succession, as when many upstreams are released at once. */
const STORM_FLIPS = 100;
const STORM_FLIP_EVERY_MS = 50;
const MS_PER_SECOND = 1_000;

type Stats = Extract<HostReply, { kind: 'stats' }>;

/** One process full of daemons. */
class Host {
  public readonly child: ChildProcess;

  private readonly waiting = new Map<string, (reply: HostReply) => void>();

  public constructor(onSwap: (version: number, at: number) => void) {
    this.child = fork('bench/fleetHost.ts', { execArgv: ['--import', 'tsx'] });
    this.child.on('message', (reply: HostReply) => {
      if (reply.kind === 'swap') onSwap(reply.version, reply.at);
      else this.waiting.get(reply.kind)?.(reply);
    });
  }

  public send(request: HostRequest): void {
    this.child.send(request);
  }

  public ask<Reply extends HostReply>(request: HostRequest, kind: Reply['kind']): Promise<Reply> {
    return new Promise((resolve) => {
      this.waiting.set(kind, resolve as (reply: HostReply) => void);
      this.send(request);
    });
  }
}

/** Sums over the fleet at one moment. */
interface Reading {
  readonly at: number;
  readonly cpuMs: number;
  readonly bytes: number;
  readonly residentBytes: number;
  readonly reads: number;
  readonly appends: number;
  readonly members: readonly number[];
}

class Fleet {
  public readonly log = new LogServer();

  public readonly swaps = new Map<number, number[]>();

  public hosts: Host[] = [];

  private seeds: string[] = [];

  private logAddress = '';

  public async start(): Promise<void> {
    this.logAddress = `127.0.0.1:${await this.log.listen()}`;
    for (let index = 0; index < HOSTS; index += 1) {
      const host = await this.startHost(index);
      this.hosts.push(host);
    }
  }

  public async startHost(index: number): Promise<Host> {
    const host = new Host((version, at) => {
      const times = this.swaps.get(version) ?? [];
      times.push(at);
      this.swaps.set(version, times);
    });
    const share = Math.floor(SIZE / HOSTS) + (index < SIZE % HOSTS ? 1 : 0);
    const settings = Array.from({ length: share }, (_, number) => this.settings(index, number));
    const { peers } = await host.ask<Extract<HostReply, { kind: 'started' }>>(
      { kind: 'start', settings },
      'started',
    );
    if (this.seeds.length < 3) this.seeds.push(...peers.slice(0, 2));
    return host;
  }

  public async read(hosts: readonly Host[] = this.hosts): Promise<Reading> {
    const all = await Promise.all(hosts.map((host) => host.ask<Stats>({ kind: 'stats' }, 'stats')));
    const sum = (pick: (stats: Stats) => number) =>
      all.reduce((total, stats) => total + pick(stats), 0);
    return {
      at: performance.now(),
      cpuMs: sum(({ cpuMs }) => cpuMs),
      bytes: sum(({ bytes }) => bytes),
      residentBytes: sum(({ residentBytes }) => residentBytes),
      reads: this.log.counts.reads,
      appends: this.log.counts.appends,
      members: all.flatMap(({ members }) => members),
    };
  }

  /** Lets upstreams change their state one after the other. */
  public async flip(count: number, everyMs: number): Promise<void> {
    for (let flip = 0; flip < count; flip += 1) {
      const index = Math.floor(flip / 2);
      const state = flip % 2 === 0 ? 'serving' : 'warming';
      this.hosts[index % HOSTS]!.send({ kind: 'flip', index, state });
      await delay(everyMs);
    }
  }

  public publisher(): { publisher: Publisher; log: HttpLog } {
    const log = new HttpLog(this.logAddress as Address, '', new SocketMeter());
    return { publisher: new Publisher(log, () => Promise.resolve(undefined)), log };
  }

  public dispose(): void {
    for (const { child } of this.hosts) child.kill();
    this.log.dispose();
  }

  private settings(host: number, number: number): string {
    const zone = ZONES[(host + number) % ZONES.length]!;
    const any = '"127.0.0.1:0"';
    return [
      `[daemon]\nname = "d${host}-${number}"\nzone = "${zone}"\ncalls = ${any}\npeers = ${any}\ncontrol = ${any}`,
      `[log]\naddress = "${this.logAddress}"`,
      `[peers]\nseeds = ${JSON.stringify(this.seeds)}`,
    ].join('\n');
  }
}

/** Per daemon and second, between two readings. */
function rates(before: Reading, after: Reading) {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  return {
    bytesPerSecond: Math.round((after.bytes - before.bytes) / seconds / SIZE),
    cpuPercent: Number(((after.cpuMs - before.cpuMs) / seconds / SIZE / 10).toFixed(3)),
    logReadsPerSecond: Number(((after.reads - before.reads) / seconds).toFixed(2)),
    logAppendsPerSecond: Number(((after.appends - before.appends) / seconds).toFixed(2)),
  };
}

/** What one event costs a daemon, beyond what passes anyway. */
function perEvent(
  before: Reading,
  after: Reading,
  quiet: ReturnType<typeof rates>,
  events: number,
) {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  const bytes = (after.bytes - before.bytes) / SIZE - quiet.bytesPerSecond * seconds;
  const cpuMs = (after.cpuMs - before.cpuMs) / SIZE - quiet.cpuPercent * 10 * seconds;
  return {
    bytes: Math.round(bytes / events),
    cpuMs: Number((cpuMs / events).toFixed(2)),
  };
}

function exampleFolder() {
  return ['10-defaults.toml', '20-services.toml', '30-routes.toml'].map((name) => ({
    name: name as FileName,
    content: readFileSync(`examples/association/${name}`, 'utf8'),
  }));
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  try {
    await fleet.start();
    const { publisher, log } = fleet.publisher();
    await publisher.readHead();
    const folder = exampleFolder();
    await publisher.publish(folder, undefined);
    await eventually('all know all', async () =>
      (await fleet.read()).members.every((count) => count === SIZE),
    );
    await eventually('in force', () => (fleet.swaps.get(0)?.length ?? 0) === SIZE);
    await delay(5_000);

    const quietBefore = await fleet.read();
    await delay(QUIET_MS);
    const quietAfter = await fleet.read();
    const quiet = rates(quietBefore, quietAfter);

    const histogram = buildHistogram();
    const changesBefore = await fleet.read();
    for (let change = 0; change < CHANGES; change += 1) {
      const head = publisher.head!;
      const name = '40-change.toml' as FileName;
      const next = applyChanges(head.folder, [{ name, content: `# change ${change}\n` }]);
      const at = Date.now();
      const verdict = await publisher.publish(next, head);
      if (verdict.kind !== 'accepted') throw new Error('refused');
      const { version } = verdict.head;
      await eventually(`version ${version}`, () => (fleet.swaps.get(version)?.length ?? 0) >= SIZE);
      for (const swap of fleet.swaps.get(version)!) histogram.recordValue(Math.max(0, swap - at));
      await delay(CHANGE_EVERY_MS);
    }
    const changesAfter = await fleet.read();
    const changesSeconds = (changesAfter.at - changesBefore.at) / MS_PER_SECOND;
    const perChange =
      ((changesAfter.bytes - changesBefore.bytes) / SIZE - quiet.bytesPerSecond * changesSeconds) /
      CHANGES;
    const cpuPerChange =
      ((changesAfter.cpuMs - changesBefore.cpuMs) / SIZE - quiet.cpuPercent * 10 * changesSeconds) /
      CHANGES;

    const churnBefore = await fleet.read();
    await fleet.flip(FLIPS, FLIP_EVERY_MS);
    const churn = perEvent(churnBefore, await fleet.read(), quiet, FLIPS);
    const flipStormBefore = await fleet.read();
    await fleet.flip(STORM_FLIPS, STORM_FLIP_EVERY_MS);
    const flipStorm = perEvent(flipStormBefore, await fleet.read(), quiet, STORM_FLIPS);

    const [victim, ...survivors] = fleet.hosts;
    const { version } = publisher.head!;
    victim!.child.kill('SIGKILL');
    await delay(1_000);
    const stormBefore = await fleet.read(survivors);
    const known = fleet.swaps.get(version)!.length;
    const stormBegan = performance.now();
    const restarted = await fleet.startHost(0);
    const share = Math.floor(SIZE / HOSTS) + (SIZE % HOSTS > 0 ? 1 : 0);
    await eventually('storm over', () => fleet.swaps.get(version)!.length >= known + share);
    const stormMs = Math.round(performance.now() - stormBegan);
    fleet.hosts = [restarted, ...survivors];
    await delay(3_000);
    const stormAfter = await fleet.read(survivors);
    const storm = {
      restarted: share,
      inForceAgainMs: stormMs,
      logReads: stormAfter.reads - stormBefore.reads,
      logAppends: stormAfter.appends - stormBefore.appends,
      survivorBytes: Math.round((stormAfter.bytes - stormBefore.bytes) / (SIZE - share)),
    };

    log.dispose();
    const result = {
      daemons: SIZE,
      hosts: HOSTS,
      quiet,
      convergenceMs: {
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        worst: histogram.maxValue,
      },
      bytesPerChange: Math.round(perChange),
      cpuMsPerChange: Number(cpuPerChange.toFixed(2)),
      bytesPerFlip: churn.bytes,
      cpuMsPerFlip: churn.cpuMs,
      flipStorm,
      storm,
      residentMbPerDaemonShared: Number((quietAfter.residentBytes / SIZE / 2 ** 20).toFixed(1)),
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
    mkdirSync('bench/results', { recursive: true });
    writeFileSync(
      `bench/results/${LABEL}-${SIZE}.json`,
      `${JSON.stringify(result, undefined, 1)}\n`,
    );
  } finally {
    fleet.dispose();
  }
}

await main();
