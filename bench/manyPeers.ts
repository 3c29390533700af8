/**
 * Processor time of a fleet in which each daemon is a process with an upstream beside it: at the
 * start, idle, under calls from every daemon to all upstreams, and under changes of the configuration
 * and of the members.
 * Usage: `manyPeers.ts [DAEMONS] [CALLS_PER_SECOND] [SECONDS] [PROFILE_FOLDER] [STARTED_AT_ONCE]`.
 * SECONDS is the length of a phase; with 0 the run ends after the upstreams were announced. With
 * PROFILE_FOLDER, four daemons write a CPU profile to it, and `phases.json` there has the start and
 * end of each phase (monotonic microseconds).
 *
 * @packageDocumentation
 */
import { cpSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { DaemonDump } from '../src/process/Types';
import Fleet, { eventually, type DaemonReady, type FleetProcess } from '../stand-in/Fleet';
import UpstreamServer from '../stand-in/UpstreamServer';

const SIZE = Number(process.argv[2] ?? 88);
const RATE = Number(process.argv[3] ?? 300);
const SECONDS = Number(process.argv[4] ?? 10);
const PROFILE_DIR = process.argv[5];
const STARTED_AT_ONCE = Number(process.argv[6] ?? 8);
const PROFILED_DAEMONS = 4;
const ZONES = ['coq', 'rogers', 'kootenay', 'pine'];
/** Services assigned to the upstreams in rotation; about half of the upstreams serve `records`. */
const SERVICES = ['stock', 'records', 'booking', 'records'];
const PATHS = ['/stock/x', '/reservations/x', '/records/x', '/stock/x'];
/**
 * Time that an upstream works on a call. Longer than the setting `calls.quiet`, so that the
 * channels between daemons fall silent while their calls are in flight.
 */
const WORK_MS = 700;
const SEED_DAEMONS = 3;
const CHANGES = 8;
const FLIPS = 8;
const CHANGE_INTERVAL_MS = 500;
const MS_PER_TICK = 10;
const NS_PER_US = 1_000n;

interface Phase {
  readonly name: string;
  readonly fromUs: number;
  readonly untilUs: number;
  /** Processor time that all daemons together used during the phase, in milliseconds. */
  readonly cpuMs: number;
}

/** Processor time of the daemons since their start, in milliseconds. */
function readCpuMs(daemons: readonly FleetProcess<unknown>[]): number {
  return daemons.reduce((sum, { child }) => {
    const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
    return sum + (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
  }, 0);
}

/** Monotonic time in microseconds, as in a CPU profile. */
function nowUs(): number {
  return Number(process.hrtime.bigint() / NS_PER_US);
}

/** The fleet under test and what was measured of it. */
class Bench {
  public readonly phases: Phase[] = [];

  public readonly daemons: FleetProcess<DaemonReady>[] = [];

  public readonly upstreams: UpstreamServer[] = [];

  public readonly statuses = new Map<number, number>();

  private readonly agent = new Agent({ connections: 8, pipelining: 1 });

  public constructor(private readonly fleet: Fleet) {}

  public async measurePhase(name: string, run: () => Promise<void>): Promise<void> {
    const fromUs = nowUs();
    const cpuMsBefore = readCpuMs(this.daemons);
    await run();
    this.phases.push({
      name,
      fromUs,
      untilUs: nowUs(),
      cpuMs: readCpuMs(this.daemons) - cpuMsBefore,
    });
  }

  public async startAll(): Promise<void> {
    const seeds: string[] = [];
    while (this.daemons.length < SIZE) {
      const first = this.daemons.length;
      // The first daemons have no seeds; they are the seeds of all others.
      const batchSize = seeds.length === 0 ? SEED_DAEMONS : STARTED_AT_ONCE;
      const batch = Array.from({ length: Math.min(batchSize, SIZE - first) }, (_, index) =>
        this.fleet.startDaemon({
          name: `d${first + index}`,
          zone: ZONES[(first + index) % ZONES.length]!,
          seeds,
          nodeArguments: Bench.nodeArguments(first + index),
          extra: {
            peers: 'heartbeat = "1s"\nsuspicion = "3s"',
            calls: 'connect = "400ms"\nquiet = "400ms"\nsilence = "5s"',
          },
        }),
      );
      const started = await Promise.all(batch);
      this.daemons.push(...started);
      if (seeds.length === 0) {
        seeds.push(...started.slice(0, SEED_DAEMONS).map(({ ready }) => ready.listening.peers));
      }
    }
  }

  /** Starts the upstream of each daemon; the first announcement registers it. */
  public async startUpstreams(): Promise<void> {
    await Promise.all(this.daemons.map((_, index) => this.startUpstream(index)));
  }

  public async startUpstream(index: number): Promise<void> {
    const upstream = new UpstreamServer({
      service: SERVICES[index % SERVICES.length]!,
      daemon: this.daemons[index]!.ready.listening.control,
      workMs: WORK_MS,
    });
    this.upstreams[index] = upstream;
    await upstream.start();
  }

  public async untilAllKnown(): Promise<void> {
    await eventually('every daemon knows every other', async () => {
      // Asks one daemon after the other, since the requests cost processor time of the daemons.
      for (const { ready } of this.daemons) {
        const { body } = await request(`http://${ready.listening.control}/members`);
        if (((await body.json()) as unknown[]).length < SIZE) return false;
      }
      return true;
    });
  }

  /** Gossip counters and control traffic since the start, summed over the daemons. */
  public async gossipTotals(): Promise<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const { ready } of this.daemons) {
      const { body } = await request(`http://${ready.listening.control}/dump`);
      const { gossip, controlBytes } = (await body.json()) as DaemonDump;
      const counts = { ...gossip, kilobytesSent: controlBytes.sent / 1_000 };
      for (const [name, count] of Object.entries(counts)) sums[name] = (sums[name] ?? 0) + count;
    }
    return sums;
  }

  /** Open loop: calls at a fixed rate, spread over the daemons, whether or not earlier ones ended. */
  public async call(seconds: number): Promise<void> {
    const inFlight = new Set<Promise<void>>();
    const startedAt = performance.now();
    for (let number = 0; number < RATE * seconds; number += 1) {
      const waitMs = startedAt + (number * 1_000) / RATE - performance.now();
      if (waitMs > 1) await delay(waitMs);
      const daemon = this.daemons[(number * 7) % SIZE]!;
      const url = `http://${daemon.ready.listening.calls}${PATHS[number % PATHS.length]}?bytes=1500`;
      const call = this.sendCall(url).finally(() => inFlight.delete(call));
      inFlight.add(call);
    }
    await Promise.all(inFlight);
  }

  public async dispose(): Promise<void> {
    await this.agent.destroy();
    for (const upstream of this.upstreams) upstream.dispose();
    await Promise.all(this.daemons.map((daemon) => Fleet.stopProcess(daemon)));
  }

  private async sendCall(url: string): Promise<void> {
    const { statusCode, body } = await request(url, { dispatcher: this.agent });
    await body.dump();
    this.statuses.set(statusCode, (this.statuses.get(statusCode) ?? 0) + 1);
  }

  private static nodeArguments(index: number): string[] {
    if (!PROFILE_DIR || index < SIZE - PROFILED_DAEMONS) return ['--max-semi-space-size=16'];
    return ['--max-semi-space-size=16', '--cpu-prof', `--cpu-prof-dir=${PROFILE_DIR}`];
  }
}

function writeReport(bench: Bench): void {
  console.table(
    bench.phases.map(({ name, fromUs, untilUs, cpuMs: ms }) => ({
      phase: name,
      seconds: Number(((untilUs - fromUs) / 1e6).toFixed(1)),
      cpuMs: ms,
      perDaemonAndSecondMs: Number((ms / SIZE / ((untilUs - fromUs) / 1e6)).toFixed(2)),
    })),
  );
  process.stdout.write(`statuses ${JSON.stringify([...bench.statuses])}\n`);
  const result = { daemons: SIZE, rate: RATE, phases: bench.phases };
  mkdirSync('bench/results', { recursive: true });
  writeFileSync(`bench/results/manyPeers-${SIZE}.json`, `${JSON.stringify(result, null, 1)}\n`);
  if (PROFILE_DIR) writeFileSync(join(PROFILE_DIR, 'phases.json'), JSON.stringify(bench.phases));
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  const bench = new Bench(fleet);
  const folder = fleet.tempPath('folder');
  const publish = () => fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
  try {
    await fleet.startLog();
    cpSync('examples/association', folder, { recursive: true });
    await publish();
    await bench.measurePhase('start', async () => {
      await bench.startAll();
      await bench.untilAllKnown();
    });
    const counts = [await bench.gossipTotals()];
    await bench.measurePhase('announce', async () => {
      await bench.startUpstreams();
      await delay(5_000);
    });
    counts.push(await bench.gossipTotals());
    console.table(counts);
    if (SECONDS === 0) return;
    await bench.measurePhase('idle', () => delay(SECONDS * 1_000));
    await bench.measurePhase('first calls', () => bench.call(SECONDS));
    await bench.measurePhase('calls', () => bench.call(SECONDS));
    await bench.measurePhase('idle with channels', () => delay(SECONDS * 1_000));
    await bench.measurePhase('versions', async () => {
      for (let change = 0; change < CHANGES; change += 1) {
        writeFileSync(join(folder, '40-change.toml'), `# change ${change}\n`);
        await publish();
        await delay(CHANGE_INTERVAL_MS);
      }
    });
    await bench.measurePhase('members', async () => {
      for (let flip = 0; flip < FLIPS; flip += 1) {
        await bench.upstreams[flip]!.stop();
        await bench.startUpstream(flip);
        await delay(CHANGE_INTERVAL_MS);
      }
    });
  } finally {
    await bench.dispose();
    await fleet.dispose();
    writeReport(bench);
  }
}

await main();
