/**
 * Convergence time and control traffic of a fleet: idle, under changes of the configuration, under
 * state changes ("flips") of upstreams, and in a restart storm. Each host process runs many daemons,
 * which exchange messages over real sockets.
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
import type { HostMessage, HostRequest } from './fleetHost';

const SIZE = Number(process.argv[2] ?? 48);
const LABEL = process.argv[3] ?? 'fleet';
const HOST_PROCESSES = Math.min(5, Math.max(2, Math.ceil(SIZE / 12)));
const ZONES = ['coq', 'rogers', 'kootenay', 'pine', 'hope'];
const IDLE_MS = 10_000;
const CHANGES = 20;
const CHANGE_INTERVAL_MS = 500;
const FLIPS = 40;
const FLIP_INTERVAL_MS = 250;
/**
 * Number of state changes of upstreams in quick succession, as when a release restarts many
 * upstreams at once.
 */
const STORM_FLIPS = 100;
const STORM_FLIP_INTERVAL_MS = 50;
const MS_PER_SECOND = 1_000;

type Stats = Extract<HostMessage, { kind: 'stats' }>;

/** Client of a child process that runs many daemons. */
class HostProcess {
  public readonly child: ChildProcess;

  private readonly pendingRequests = new Map<string, (reply: HostMessage) => void>();

  public constructor(onSwap: (version: number, at: number) => void) {
    this.child = fork('bench/fleetHost.ts', { execArgv: ['--import', 'tsx'] });
    this.child.on('message', (reply: HostMessage) => {
      if (reply.kind === 'swap') onSwap(reply.version, reply.at);
      else this.pendingRequests.get(reply.kind)?.(reply);
    });
  }

  public send(request: HostRequest): void {
    this.child.send(request);
  }

  public ask<Reply extends HostMessage>(request: HostRequest, kind: Reply['kind']): Promise<Reply> {
    return new Promise((resolve) => {
      this.pendingRequests.set(kind, resolve as (reply: HostMessage) => void);
      this.send(request);
    });
  }
}

/** Counters and gauges at one moment, summed over the daemons. */
interface Sample {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly cpuMs: number;
  /** Control traffic, sent and received, in bytes since the start. */
  readonly bytes: number;
  readonly residentBytes: number;
  /** Number of read requests to the log service; `appends` counts its append requests. */
  readonly reads: number;
  readonly appends: number;
  /** Number of members that each daemon knows; one entry per daemon. */
  readonly members: readonly number[];
}

/** The fleet under test: the log service, and the host processes that run the daemons. */
class HostedFleet {
  public readonly log = new LogServer();

  /** Times at which daemons put a version into force, in Unix milliseconds, by version. */
  public readonly swaps = new Map<number, number[]>();

  public hosts: HostProcess[] = [];

  private seeds: string[] = [];

  private logAddress = '';

  public async start(): Promise<void> {
    this.logAddress = `127.0.0.1:${await this.log.listen()}`;
    for (let index = 0; index < HOST_PROCESSES; index += 1) {
      const host = await this.startHost(index);
      this.hosts.push(host);
    }
  }

  /** Starts a host process with its share of the daemons. */
  public async startHost(index: number): Promise<HostProcess> {
    const host = new HostProcess((version, at) => {
      const times = this.swaps.get(version) ?? [];
      times.push(at);
      this.swaps.set(version, times);
    });
    const share = Math.floor(SIZE / HOST_PROCESSES) + (index < SIZE % HOST_PROCESSES ? 1 : 0);
    const settings = Array.from({ length: share }, (_, number) => this.settings(index, number));
    const { peers } = await host.ask<Extract<HostMessage, { kind: 'started' }>>(
      { kind: 'start', settings },
      'started',
    );
    if (this.seeds.length < 3) this.seeds.push(...peers.slice(0, 2));
    return host;
  }

  public async sample(hosts: readonly HostProcess[] = this.hosts): Promise<Sample> {
    const replies = await Promise.all(
      hosts.map((host) => host.ask<Stats>({ kind: 'stats' }, 'stats')),
    );
    const sum = (pick: (stats: Stats) => number) =>
      replies.reduce((total, stats) => total + pick(stats), 0);
    return {
      at: performance.now(),
      cpuMs: sum(({ cpuMs }) => cpuMs),
      bytes: sum(({ bytes }) => bytes),
      residentBytes: sum(({ residentBytes }) => residentBytes),
      reads: this.log.counts.reads,
      appends: this.log.counts.appends,
      members: replies.flatMap(({ members }) => members),
    };
  }

  /** Changes the state of upstreams one after the other, serving and warming up in turn. */
  public async flip(count: number, intervalMs: number): Promise<void> {
    for (let flip = 0; flip < count; flip += 1) {
      const index = Math.floor(flip / 2);
      const state = flip % 2 === 0 ? 'serving' : 'warming';
      this.hosts[index % HOST_PROCESSES]!.send({ kind: 'flip', index, state });
      await delay(intervalMs);
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
    const anyPort = '"127.0.0.1:0"';
    return [
      `[daemon]\nname = "d${host}-${number}"\nzone = "${zone}"\ncalls = ${anyPort}\npeers = ${anyPort}\ncontrol = ${anyPort}`,
      `[log]\naddress = "${this.logAddress}"`,
      `[peers]\nseeds = ${JSON.stringify(this.seeds)}`,
    ].join('\n');
  }
}

/** Rates between two samples: traffic and processor time per daemon, log requests of the fleet. */
function rates(before: Sample, after: Sample) {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  return {
    bytesPerSecond: Math.round((after.bytes - before.bytes) / seconds / SIZE),
    cpuPercent: Number(((after.cpuMs - before.cpuMs) / seconds / SIZE / 10).toFixed(3)),
    logReadsPerSecond: Number(((after.reads - before.reads) / seconds).toFixed(2)),
    logAppendsPerSecond: Number(((after.appends - before.appends) / seconds).toFixed(2)),
  };
}

/** Traffic and processor time of one daemon per event, less those of an idle fleet. */
function costPerEvent(
  before: Sample,
  after: Sample,
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
  const fleet = new HostedFleet();
  try {
    await fleet.start();
    const { publisher, log } = fleet.publisher();
    await publisher.readHead();
    const folder = exampleFolder();
    await publisher.publish(folder, undefined);
    await eventually('every daemon knows every other', async () =>
      (await fleet.sample()).members.every((count) => count === SIZE),
    );
    await eventually(
      'the first version is in force everywhere',
      () => (fleet.swaps.get(0)?.length ?? 0) === SIZE,
    );
    await delay(5_000);

    const idleBefore = await fleet.sample();
    await delay(IDLE_MS);
    const idleAfter = await fleet.sample();
    const quiet = rates(idleBefore, idleAfter);

    const histogram = buildHistogram();
    const changesBefore = await fleet.sample();
    for (let change = 0; change < CHANGES; change += 1) {
      const head = publisher.head!;
      const name = '40-change.toml' as FileName;
      const next = applyChanges(head.folder, [{ name, content: `# change ${change}\n` }]);
      const sentAt = Date.now();
      const verdict = await publisher.publish(next, head);
      if (verdict.kind !== 'accepted') throw new Error('the log refused a version');
      const { version } = verdict.head;
      await eventually(`version ${version}`, () => (fleet.swaps.get(version)?.length ?? 0) >= SIZE);
      for (const at of fleet.swaps.get(version)!) histogram.recordValue(Math.max(0, at - sentAt));
      await delay(CHANGE_INTERVAL_MS);
    }
    const changesAfter = await fleet.sample();
    const changesSeconds = (changesAfter.at - changesBefore.at) / MS_PER_SECOND;
    const bytesPerChange =
      ((changesAfter.bytes - changesBefore.bytes) / SIZE - quiet.bytesPerSecond * changesSeconds) /
      CHANGES;
    const cpuMsPerChange =
      ((changesAfter.cpuMs - changesBefore.cpuMs) / SIZE - quiet.cpuPercent * 10 * changesSeconds) /
      CHANGES;

    const churnBefore = await fleet.sample();
    await fleet.flip(FLIPS, FLIP_INTERVAL_MS);
    const churn = costPerEvent(churnBefore, await fleet.sample(), quiet, FLIPS);
    const flipStormBefore = await fleet.sample();
    await fleet.flip(STORM_FLIPS, STORM_FLIP_INTERVAL_MS);
    const flipStorm = costPerEvent(flipStormBefore, await fleet.sample(), quiet, STORM_FLIPS);

    const [victim, ...survivors] = fleet.hosts;
    const { version } = publisher.head!;
    victim!.child.kill('SIGKILL');
    await delay(1_000);
    const restartBefore = await fleet.sample(survivors);
    const swapsBefore = fleet.swaps.get(version)!.length;
    const restartedAt = performance.now();
    const restarted = await fleet.startHost(0);
    const share = Math.floor(SIZE / HOST_PROCESSES) + (SIZE % HOST_PROCESSES > 0 ? 1 : 0);
    await eventually(
      'the restarted daemons have the version in force',
      () => fleet.swaps.get(version)!.length >= swapsBefore + share,
    );
    const restartMs = Math.round(performance.now() - restartedAt);
    fleet.hosts = [restarted, ...survivors];
    await delay(3_000);
    const restartAfter = await fleet.sample(survivors);
    const storm = {
      restarted: share,
      inForceAgainMs: restartMs,
      logReads: restartAfter.reads - restartBefore.reads,
      logAppends: restartAfter.appends - restartBefore.appends,
      survivorBytes: Math.round((restartAfter.bytes - restartBefore.bytes) / (SIZE - share)),
    };

    log.dispose();
    const result = {
      daemons: SIZE,
      hosts: HOST_PROCESSES,
      quiet,
      convergenceMs: {
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        worst: histogram.maxValue,
      },
      bytesPerChange: Math.round(bytesPerChange),
      cpuMsPerChange: Number(cpuMsPerChange.toFixed(2)),
      bytesPerFlip: churn.bytes,
      cpuMsPerFlip: churn.cpuMs,
      flipStorm,
      storm,
      residentMbPerDaemonShared: Number((idleAfter.residentBytes / SIZE / 2 ** 20).toFixed(1)),
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
