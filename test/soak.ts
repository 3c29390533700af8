/**
 * Soak of a mesh of real processes: daemons are stopped, killed, paused and signalled in series, the log goes out
 * and the configuration changes meanwhile, while callers keep using their connections.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import SeededRandom from '../src/common/SeededRandom';
import drawFaults, { type Fault, type SoakOptions } from '../stand-in/drawFaults';
import Fleet, { eventually, type FleetProcess } from '../stand-in/Fleet';
import LoadGenerator from '../stand-in/LoadGenerator';
import {
  configurationFiles,
  fetchLedger,
  findViolations,
  publish,
  SHORT_PERIODS,
  startDaemons,
  VersionMonitor,
  waitUntilAllAlive,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const SERVICE = 'stock';
const WORK_MS = 20;
const CALLERS = 8;
/** Pause of a caller between two calls, in milliseconds. */
const PAUSE_MS = 10;
/** Signals that change nothing while a daemon stops, and reload its settings before. */
const SERIES: readonly NodeJS.Signals[] = ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM'];
const SERIES_GAP_MS = 30;

/** A mesh with an upstream beside each daemon but the last. */
class SoakMesh {
  private readonly fleet = new Fleet();

  private daemons: DaemonProcess[] = [];

  private upstreams: FleetProcess<{ port: number }>[] = [];

  /** Ends with the last action on each daemon, as one that ends is started again before the next. */
  private readonly queues: Promise<void>[] = [];

  /** Daemons between the end of a process and the start of the next, which answers at its addresses. */
  private readonly restarting = new Set<DaemonProcess>();

  private publications = 0;

  public constructor(private readonly zones: readonly string[]) {}

  public async start(): Promise<void> {
    await this.fleet.startLog();
    this.daemons = await startDaemons(this.fleet, this.zones);
    this.queues.push(...this.daemons.map(() => Promise.resolve()));
    await this.publish();
    this.upstreams = await Promise.all(
      this.daemons.slice(0, -1).map((daemon) => this.fleet.startUpstream(SERVICE, daemon, WORK_MS)),
    );
    await this.waitUntilServed();
  }

  /** Runs the faults at their times, each without waiting for those before it on other daemons. */
  public async run(faults: readonly Fault[], lengthMs: number): Promise<void> {
    const startedAt = performance.now();
    const running: Promise<unknown>[] = [];
    for (const fault of faults) {
      await delay(Math.max(0, startedAt + fault.atMs - performance.now()));
      running.push(this.apply(fault));
    }
    await delay(Math.max(0, startedAt + lengthMs - performance.now()));
    await Promise.all([...running, ...this.queues]);
    await this.fleet.setLogFaults({ out: false });
  }

  public monitorVersions(): VersionMonitor {
    return new VersionMonitor(() => this.daemons.filter((daemon) => !this.restarting.has(daemon)));
  }

  public startLoad(method: 'GET' | 'POST'): LoadGenerator {
    return new LoadGenerator({
      daemons: this.daemons.map(({ ready }) => ready.listening.calls),
      method,
      path: `/${SERVICE}`,
      callers: CALLERS,
      body: method === 'POST' ? 'charge' : undefined,
      pauseMs: PAUSE_MS,
    });
  }

  /**
   * Waits until every daemon knows all others and serves calls, also the last, which restarts while the log is
   * out, and has a configuration that is published after that.
   */
  public async recover(): Promise<void> {
    await waitUntilAllAlive(this.daemons);
    await this.fleet.setLogFaults({ out: true });
    await this.restart(this.daemons.length - 1, 'SIGTERM', 0);
    await this.waitUntilServed();
    await this.fleet.setLogFaults({ out: false });
    await waitUntilAllAlive(this.daemons);
    let version: number | undefined;
    await eventually('a version is published', async () => {
      version = await this.publish();
      return version !== undefined;
    });
    await waitUntilInForce(version!, this.daemons);
    await this.waitUntilServed();
  }

  public async ledger() {
    return (await Promise.all(this.upstreams.map(({ ready }) => fetchLedger(ready.port)))).flat();
  }

  public dispose(): Promise<void> {
    return this.fleet.dispose();
  }

  private async apply({ kind, forMs, daemon }: Fault): Promise<void> {
    const { child } = this.daemons[daemon]!;
    if (kind === 'stop' || kind === 'kill') {
      const signal = kind === 'stop' ? 'SIGTERM' : 'SIGKILL';
      this.queues[daemon] = this.queues[daemon]!.then(() => this.restart(daemon, signal, forMs));
    } else if (kind === 'pause') {
      child.kill('SIGSTOP');
      await delay(forMs);
      child.kill('SIGCONT');
    } else if (kind === 'signals') {
      for (const signal of SERIES) {
        child.kill(signal);
        await delay(SERIES_GAP_MS);
      }
      this.queues[daemon] = this.queues[daemon]!.then(() => this.restart(daemon, 'SIGTERM', forMs));
    } else if (kind === 'log out') {
      await this.fleet.setLogFaults({ out: true });
      await delay(forMs);
      await this.fleet.setLogFaults({ out: false });
    } else await this.publish();
  }

  private async restart(index: number, signal: NodeJS.Signals, awayMs: number): Promise<void> {
    const ended = this.daemons[index]!;
    this.restarting.add(ended);
    await Fleet.stopProcess(ended, signal);
    await delay(awayMs);
    const zone = this.zones[index]!;
    this.daemons[index] = await this.fleet.startDaemon({
      name: `${zone}-${index}`,
      zone,
      extra: SHORT_PERIODS,
      addresses: ended.ready.listening,
    });
  }

  /** Publishes a further version; returns its number, or `undefined` if the log didn't confirm it. */
  private async publish(): Promise<number | undefined> {
    this.publications += 1;
    const marker = `version ${this.publications}`;
    const folder = writeFolder(this.fleet, 'folder', configurationFiles([SERVICE], marker));
    const { exitCode, stdout } = await publish(this.fleet, folder);
    return exitCode === 0 ? (JSON.parse(stdout) as { version: number }).version : undefined;
  }

  private async waitUntilServed(): Promise<void> {
    await eventually('a call to each daemon is answered', async () => {
      const urls = this.daemons.map(({ ready }) => `http://${ready.listening.calls}/${SERVICE}`);
      const statuses = await Promise.all(urls.map(async (url) => (await fetch(url)).status));
      return statuses.every((status) => status === 200);
    });
  }
}

/** What a soak found. */
export interface SoakReport {
  /** One line for each broken promise; empty if all were kept. */
  readonly violations: readonly string[];
  readonly calls: number;
  readonly answered: number;
}

/**
 * Runs a soak, and checks what callers were told against what the upstreams ran.
 *
 * @param seed - Seed of the faults.
 * @param zones - Availability zone of each daemon.
 * @param options - Length and number of faults.
 * @throws Error - The mesh didn't recover once the faults had ended.
 */
export default async function soak(
  seed: number,
  zones: readonly string[],
  options: Omit<SoakOptions, 'daemons'>,
): Promise<SoakReport> {
  const mesh = new SoakMesh(zones);
  const loads: LoadGenerator[] = [];
  let monitor: VersionMonitor | undefined;
  try {
    await mesh.start();
    loads.push(mesh.startLoad('GET'), mesh.startLoad('POST'));
    monitor = mesh.monitorVersions();
    const faults = drawFaults(new SeededRandom(seed), { ...options, daemons: zones.length });
    await mesh.run(faults, options.lengthMs);
    await mesh.recover();
    const [gets, posts] = await Promise.all(loads.splice(0).map((load) => load.stop()));
    const regressions = (await monitor.stop()).map((line) => `a daemon went from version ${line}`);
    const ledger = await mesh.ledger();
    const records = [...gets!, ...posts!];
    return {
      violations: [
        ...findViolations(gets!, ledger, true),
        ...findViolations(posts!, ledger, false),
        ...regressions,
      ],
      calls: records.length,
      answered: records.filter(({ outcome }) => outcome === 'answered').length,
    };
  } finally {
    await mesh.dispose();
    await Promise.all([monitor?.stop(), ...loads.map((load) => load.stop())]);
  }
}
