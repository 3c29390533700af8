import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface, type Interface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonStatus } from '../src/process/Types';
import type { LogFaults } from './LogServer';

/** Where the programs were built; scripts/mutants.mjs builds variants elsewhere. */
const PROGRAMS = process.env.AZURESTREAM_DIST ?? 'dist';
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
/** Start of the line that a process prints once it is ready. */
const READY_LINE = /^\{"(listening|port)"/;

/** A process of the fleet and the line it printed once it was ready. */
export interface FleetProcess<Ready> {
  readonly child: ChildProcess;
  readonly ready: Ready;
}

/** Where a daemon listens. */
export interface DaemonReady {
  readonly listening: { readonly calls: string; readonly peers: string; readonly control: string };
}

/** How to start a daemon. */
export interface DaemonOptions {
  readonly name: string;
  readonly zone: string;
  /** Further TOML lines, by section. */
  readonly extra?: Readonly<Record<string, string>>;
  readonly seeds?: readonly string[];
  /** Addresses of an earlier run, to take its place. */
  readonly addresses?: DaemonReady['listening'];
  /** Arguments of the runtime. */
  readonly nodeArguments?: readonly string[];
}

/** Result of a command. */
export interface CommandOutput {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Starts daemons and stand-ins as separate processes, and ends just those. */
export default class Fleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'azurestream-'));

  private readonly children = new Set<ChildProcess>();

  private logReady: { port: number } | undefined;

  /** Address of the log stand-in. */
  public get log(): string {
    return `127.0.0.1:${this.logReady!.port}`;
  }

  /**
   * @param name - Name of a file or folder.
   * @returns Its path in a temporary folder.
   */
  public path(name: string): string {
    return join(this.folder, name);
  }

  /** @param port - Port of an earlier run, or 0. */
  public async startLog(port = 0): Promise<FleetProcess<{ port: number }>> {
    const started = await this.start<{ port: number }>('stand-in-log', [String(port)]);
    this.logReady = started.ready;
    return started;
  }

  /** @param faults - Faults that the log should show from now on. */
  public async setLogFaults(faults: Partial<LogFaults>): Promise<void> {
    await fetch(`http://${this.log}/faults`, { method: 'PUT', body: JSON.stringify(faults) });
  }

  /** @param options - How. */
  public async startDaemon(options: DaemonOptions): Promise<FleetProcess<DaemonReady>> {
    const file = this.path(`${options.name}.toml`);
    writeFileSync(file, this.settings(options));
    return this.start<DaemonReady>(
      'azurestream',
      ['run', '--settings', file],
      options.nodeArguments,
    );
  }

  /**
   * @param service - Name of the service.
   * @param daemon - The daemon beside it.
   * @param workMs - Milliseconds that a call takes.
   */
  public startUpstream(
    service: string,
    daemon: FleetProcess<DaemonReady>,
    workMs = 0,
  ): Promise<FleetProcess<{ port: number }>> {
    return this.start('stand-in-upstream', [
      service,
      daemon.ready.listening.control,
      String(workMs),
    ]);
  }

  /**
   * Runs an operator's command to its end.
   *
   * @param args - Arguments.
   * @param onNote - Gets the lines of standard error as they come.
   */
  public async command(
    args: readonly string[],
    onNote?: (line: string) => void,
  ): Promise<CommandOutput> {
    const child = this.spawn('azurestream', args);
    let stdout = '';
    let stderr = '';
    child.stdout!.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    const notes = createInterface({ input: child.stderr! });
    notes.on('line', (line) => {
      stderr += `${line}\n`;
      onNote?.(line);
    });
    const [exitCode] = (await once(child, 'close')) as [number];
    return { exitCode, stdout, stderr };
  }

  /**
   * Ends a process and waits for it.
   *
   * @param process - Of this fleet.
   * @param signal - How.
   * @returns Its exit code; null where a signal ended it.
   */
  public static async end(
    { child }: FleetProcess<unknown>,
    signal: NodeJS.Signals = 'SIGTERM',
  ): Promise<number | null> {
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    return child.exitCode;
  }

  /** Ends every process that is left and removes the temporary folder. */
  public async dispose(): Promise<void> {
    for (const child of this.children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  private settings({ name, zone, extra = {}, seeds = [], addresses }: DaemonOptions): string {
    const loopback = '127.0.0.1:0';
    const own = addresses ?? { calls: loopback, peers: loopback, control: loopback };
    const sections: Record<string, string> = {
      daemon: `name = "${name}"\nzone = "${zone}"\ncalls = "${own.calls}"\npeers = "${own.peers}"\ncontrol = "${own.control}"`,
      log: `address = "${this.log}"`,
      peers: `seeds = ${JSON.stringify(seeds)}`,
    };
    for (const [section, lines] of Object.entries(extra)) {
      sections[section] = `${sections[section] ?? ''}\n${lines}`;
    }
    return Object.entries(sections)
      .map(([section, lines]) => `[${section}]\n${lines}\n`)
      .join('\n');
  }

  private spawn(
    program: string,
    args: readonly string[],
    nodeArguments: readonly string[] = [],
  ): ChildProcess {
    const words = [...nodeArguments, `${PROGRAMS}/${program}.cjs`, ...args];
    const child = spawn(process.execPath, words, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  private async start<Ready>(
    program: string,
    args: readonly string[],
    nodeArguments: readonly string[] = [],
  ): Promise<FleetProcess<Ready>> {
    const child = this.spawn(program, args, nodeArguments);
    let problems = '';
    child.stderr!.on('data', (chunk: Buffer) => {
      problems = `${problems}${chunk.toString()}`.slice(-4_000);
      if (process.env.DEBUG) process.stderr.write(chunk);
    });
    const lines = createInterface({ input: child.stdout! });
    const exited = once(child, 'exit').then(() => {
      throw new Error(`${program} ${args.join(' ')} ended: ${problems}`);
    });
    exited.catch(() => undefined);
    const ready = await Promise.race([Fleet.readyLine<Ready>(lines), exited]);
    return { child, ready };
  }

  /** The line that says where a process listens; log lines may come before it. */
  private static readyLine<Ready>(lines: Interface): Promise<Ready> {
    return new Promise((resolve) => {
      lines.on('line', (line) => {
        if (READY_LINE.test(line)) resolve(JSON.parse(line) as Ready);
      });
    });
  }
}

/**
 * @param daemon - A daemon.
 * @returns What it has in force.
 */
export async function statusOf(daemon: FleetProcess<DaemonReady>): Promise<DaemonStatus> {
  const response = await fetch(`http://${daemon.ready.listening.control}/status`);
  return (await response.json()) as DaemonStatus;
}

async function attempt(condition: () => Promise<boolean> | boolean): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}

/**
 * Waits for something that has to come; how long it took is no matter, but it must come.
 *
 * @param what - Name, for the error.
 * @param condition - Whether it has come.
 */
export async function eventually(
  what: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    if (await attempt(condition)) return;
    if (performance.now() > deadline) throw new Error(`never happened: ${what}`);
    await delay(POLL_MS);
  }
}
