import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface, type Interface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonStatus } from '../src/process/Types';
import type { LogFaults } from './LogServer';

/** Folder of the built programs; scripts/mutants.mjs sets another one. */
const PROGRAM_FOLDER = process.env.AZURESTREAM_DIST ?? 'dist';
const CONDITION_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
/** Matches the line that a process prints once it is ready; log lines do not match. */
const READY_LINE = /^\{"(listening|port)"/;

/** A process of the fleet and the JSON line that it printed once it was ready. */
export interface FleetProcess<Ready> {
  readonly child: ChildProcess;
  readonly ready: Ready;
}

/** Ready line of a daemon: the addresses that it listens on. */
export interface DaemonReady {
  readonly listening: { readonly calls: string; readonly peers: string; readonly control: string };
}

/** Settings and runtime arguments of a daemon to start. */
export interface DaemonOptions {
  readonly name: string;
  readonly zone: string;
  /** Further TOML lines of the settings file, by section. */
  readonly extra?: Readonly<Record<string, string>>;
  /** Peer addresses of the daemons that it contacts first. */
  readonly seeds?: readonly string[];
  /** Addresses of a daemon that ended, so that this one replaces it; free ports by default. */
  readonly addresses?: DaemonReady['listening'];
  /** Command-line arguments for Node.js. */
  readonly nodeArguments?: readonly string[];
}

/** Exit code and output of a command. */
export interface CommandOutput {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Starts daemons, stand-ins and commands as child processes, and ends them. */
export default class Fleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'azurestream-'));

  private readonly children = new Set<ChildProcess>();

  private logReadyLine: { port: number } | undefined;

  /** Address of the log stand-in; it must have been started. */
  public get logAddress(): string {
    return `127.0.0.1:${this.logReadyLine!.port}`;
  }

  /**
   * @param name - Name of a file or folder.
   * @returns Its path in the temporary folder of this fleet.
   */
  public tempPath(name: string): string {
    return join(this.folder, name);
  }

  /**
   * Starts the log stand-in.
   *
   * @param port - Port to listen on, such as that of an earlier run; 0 picks a free one.
   */
  public async startLog(port = 0): Promise<FleetProcess<{ port: number }>> {
    const started = await this.start<{ port: number }>('stand-in-log', [String(port)]);
    this.logReadyLine = started.ready;
    return started;
  }

  /** @param port - Port of a log or store that the daemons use instead of one of this fleet. */
  public useLog(port: number): void {
    this.logReadyLine = { port };
  }

  /**
   * Makes the log stand-in simulate faults.
   *
   * @param faults - Faults to change; the others stay as they are.
   */
  public async setLogFaults(faults: Partial<LogFaults>): Promise<void> {
    await fetch(`http://${this.logAddress}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
  }

  /**
   * Writes a settings file and starts a daemon with it.
   *
   * @param options - Settings and runtime arguments.
   * @returns The daemon, once it listens.
   */
  public async startDaemon(options: DaemonOptions): Promise<FleetProcess<DaemonReady>> {
    const file = this.tempPath(`${options.name}.toml`);
    writeFileSync(file, this.settingsFile(options));
    return this.start<DaemonReady>(
      'azurestream',
      ['run', '--settings', file],
      options.nodeArguments,
    );
  }

  /**
   * Starts an upstream stand-in.
   *
   * @param service - Name of its service.
   * @param daemon - The daemon that it registers with.
   * @param workMs - Time that a call takes, in milliseconds.
   * @returns The upstream, once it has registered.
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
   * Runs a command of azurestream until it exits.
   *
   * @param args - Command-line arguments, the name of the command first.
   * @param onErrorLine - Called with each line of standard error while the command runs.
   */
  public async runCommand(
    args: readonly string[],
    onErrorLine?: (line: string) => void,
  ): Promise<CommandOutput> {
    const child = this.spawn('azurestream', args);
    let stdout = '';
    let stderr = '';
    child.stdout!.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    const errorLines = createInterface({ input: child.stderr! });
    errorLines.on('line', (line) => {
      stderr += `${line}\n`;
      onErrorLine?.(line);
    });
    const [exitCode] = (await once(child, 'close')) as [number];
    return { exitCode, stdout, stderr };
  }

  /**
   * Sends a signal to a process and waits until it exits.
   *
   * @param process - Process of a fleet.
   * @param signal - Signal to send.
   * @returns Its exit code; null if a signal ended it.
   */
  public static async stopProcess(
    { child }: FleetProcess<unknown>,
    signal: NodeJS.Signals = 'SIGTERM',
  ): Promise<number | null> {
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    return child.exitCode;
  }

  /** Kills the processes that still run and removes the temporary folder. */
  public async dispose(): Promise<void> {
    for (const child of this.children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  private settingsFile({ name, zone, extra = {}, seeds = [], addresses }: DaemonOptions): string {
    const anyPort = '127.0.0.1:0';
    const listening = addresses ?? { calls: anyPort, peers: anyPort, control: anyPort };
    const sections: Record<string, string> = {
      daemon: `name = "${name}"\nzone = "${zone}"\ncalls = "${listening.calls}"\npeers = "${listening.peers}"\ncontrol = "${listening.control}"`,
      log: `address = "${this.logAddress}"`,
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
    const nodeCommand = [...nodeArguments, `${PROGRAM_FOLDER}/${program}.cjs`, ...args];
    const child = spawn(process.execPath, nodeCommand, {
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
    let stderrTail = '';
    child.stderr!.on('data', (chunk: Buffer) => {
      stderrTail = `${stderrTail}${chunk.toString()}`.slice(-4_000);
      if (process.env.DEBUG) process.stderr.write(chunk);
    });
    const lines = createInterface({ input: child.stdout! });
    const exited = once(child, 'exit').then(() => {
      throw new Error(`${program} ${args.join(' ')} exited before it was ready: ${stderrTail}`);
    });
    exited.catch(() => undefined);
    const ready = await Promise.race([Fleet.waitForReadyLine<Ready>(lines), exited]);
    return { child, ready };
  }

  /** Waits for the ready line of a process; log lines may precede it. */
  private static waitForReadyLine<Ready>(lines: Interface): Promise<Ready> {
    return new Promise((resolve) => {
      lines.on('line', (line) => {
        if (READY_LINE.test(line)) resolve(JSON.parse(line) as Ready);
      });
    });
  }
}

/**
 * @param daemon - A running daemon.
 * @returns Its status, with the version of the configuration that is in force.
 */
export async function fetchStatus(daemon: FleetProcess<DaemonReady>): Promise<DaemonStatus> {
  const response = await fetch(`http://${daemon.ready.listening.control}/status`);
  return (await response.json()) as DaemonStatus;
}

async function isMet(condition: () => Promise<boolean> | boolean): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}

/**
 * Polls until a condition holds, for up to 30 seconds: it must hold at some time, no matter when.
 *
 * @param what - Description of the condition, for the error.
 * @param condition - Whether it holds; where it throws, it is polled again.
 * @throws Error - The condition did not hold within 30 seconds.
 */
export async function eventually(
  what: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadline = performance.now() + CONDITION_TIMEOUT_MS;
  for (;;) {
    if (await isMet(condition)) return;
    if (performance.now() > deadline) throw new Error(`timed out waiting for: ${what}`);
    await delay(POLL_INTERVAL_MS);
  }
}
