/**
 * Helpers for tests that run a mesh of real processes: configuration folders, starting of daemons,
 * waits on their state, and checks that reported outcomes are true.
 *
 * @packageDocumentation
 */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import type { LedgerEntry } from '../stand-in/UpstreamServer';
import Fleet, {
  eventually,
  fetchStatus,
  type CommandOutput,
  type DaemonReady,
  type FleetProcess,
} from '../stand-in/Fleet';
import type { CallRecord } from '../stand-in/LoadGenerator';

/**
 * Registers a test, unless the environment variable AZURESTREAM_SCENARIO is set and the test's name
 * doesn't begin with its value. scripts/mutants.mjs selects a single test this way.
 *
 * @param name - Name of the test.
 * @param run - Body of the test.
 */
export function scenario(name: string, run: () => Promise<void>): void {
  if (name.startsWith(process.env.AZURESTREAM_SCENARIO ?? '')) test(name, run);
}

/** A running daemon and the addresses at which it listens. */
export type DaemonProcess = FleetProcess<DaemonReady>;

/**
 * Daemon settings, as TOML lines by section, with periods that are short enough for daemons to detect
 * and repair failures before a wait of a test times out.
 */
export const SHORT_PERIODS: Readonly<Record<string, string>> = {
  log: 'retention = "8s"\nstale = "3s"',
  peers: 'heartbeat = "300ms"\nsuspicion = "1500ms"\ntombstone = "30s"',
  daemon: 'leave = "200ms"\ndrain = "10s"',
  upstream: 'lease = "3s"',
};

/** Interval at which {@link pollUntil} repeats an action, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Host name of the routes in {@link operatorConfiguration}. */
export const OPERATOR_HOST = 'hulo84.example';

/**
 * Builds a configuration as an operator of the platform writes it: one service and its routes.
 *
 * @param version - Its version number.
 * @param routes - Number of routes; the path of the last is `/route-<routes - 1>/`.
 * @param timeoutSeconds - Time-out of the first route.
 * @returns JSON text, the value of the record in the store.
 */
export function operatorConfiguration(version: number, routes: number, timeoutSeconds = 2): string {
  return JSON.stringify({
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    listeners: [
      {
        host: OPERATOR_HOST,
        rules: Array.from({ length: routes }, (_, index) => ({
          name: `r-${index}`,
          kind: 'safe',
          target_latency_s: 0.4,
          priority: 1,
          match: { path_prefix: `/route-${index}/` },
          action: {
            service: 'stock',
            timeout_s: index === 0 ? timeoutSeconds : 2,
            max_attempts: 2,
          },
        })),
      },
    ],
    clusters: [{ name: 'stock', health_path: '/health', max_conns: 120 }],
  });
}

/**
 * @param address - Address of an upstream of the platform.
 * @param changes - Fields to replace.
 * @returns JSON text of a heartbeat with which the upstream announces itself.
 */
export function heartbeat(
  address: string,
  changes: Readonly<Record<string, unknown>> = {},
): string {
  return JSON.stringify({
    service: 'stock',
    address,
    zone: 'coq',
    slots: 4,
    state: 'ready',
    cold_left_s: 0,
    seq: 1,
    born: 1_000,
    ...changes,
  });
}

/** @returns A port that no process listens on. */
export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}

/**
 * Builds a configuration folder that declares each service with one route to it.
 *
 * @param services - Names of the services; the route of each has the path `/<name>`.
 * @param marker - Text of a comment in `30-marker.toml`, so that folders with the same services differ.
 * @returns Content of each file, by file name.
 */
export function configurationFiles(
  services: readonly string[],
  marker: string,
): Record<string, string> {
  const serviceTables = services.map(
    (service) => `[service.${service}]\nslots = 18\nconnections = 120\n`,
  );
  const routeTables = services.map(
    (service) =>
      `[route.${service}]\nservice = "${service}"\npath = "/${service}"\ntimeout = "2m"\n`,
  );
  return {
    '10-services.toml': serviceTables.join(''),
    '20-routes.toml': routeTables.join(''),
    '30-marker.toml': `# ${marker}\n`,
  };
}

/**
 * Writes a configuration folder to the temporary folder of a fleet. Of the files of an earlier call
 * with the same name, only `30-marker.toml` is removed.
 *
 * @param fleet - Fleet whose temporary folder holds the configuration folder.
 * @param name - Name of the configuration folder.
 * @param files - Content of each file, by file name.
 * @returns Path of the configuration folder.
 */
export function writeFolder(
  fleet: Fleet,
  name: string,
  files: Readonly<Record<string, string>>,
): string {
  const path = fleet.tempPath(name);
  rmSync(join(path, '30-marker.toml'), { force: true });
  mkdirSync(path, { recursive: true });
  for (const [file, content] of Object.entries(files)) writeFileSync(join(path, file), content);
  return path;
}

/**
 * Waits until each daemon lists exactly as many live members as there are daemons.
 *
 * @param daemons - All daemons of the mesh that run.
 */
export async function waitUntilAllAlive(daemons: readonly DaemonProcess[]): Promise<void> {
  await eventually('every daemon lists all daemons as alive', async () => {
    const counts = await Promise.all(
      daemons.map(async (daemon) => {
        const answer = await fetch(`http://${daemon.ready.listening.control}/members`);
        const members = (await answer.json()) as { health: string }[];
        return members.filter(({ health }) => health === 'alive').length;
      }),
    );
    return counts.every((count) => count === daemons.length);
  });
}

/**
 * Starts daemons and waits until all of them list each other as alive.
 *
 * @param fleet - Fleet to which the processes belong.
 * @param zones - Availability zone of each daemon; a daemon is named `<zone>-<index>`.
 * @param advertised - Address by index that a daemon advertises to its peers, where that isn't the
 * address at which it listens.
 * @param onReady - Called for each daemon once it listens.
 * @returns The daemons, in the order of `zones`.
 */
export async function startDaemons(
  fleet: Fleet,
  zones: readonly string[],
  advertised: readonly string[] = [],
  onReady: (index: number, ready: DaemonReady) => void = () => undefined,
): Promise<DaemonProcess[]> {
  const daemons = await Promise.all(
    zones.map(async (zone, index) => {
      const advertise = advertised[index] ? `\nadvertise = "${advertised[index]}"` : '';
      const extra = { ...SHORT_PERIODS, daemon: `${SHORT_PERIODS.daemon}${advertise}` };
      const daemon = await fleet.startDaemon({ name: `${zone}-${index}`, zone, extra });
      onReady(index, daemon.ready);
      return daemon;
    }),
  );
  await waitUntilAllAlive(daemons);
  return daemons;
}

/**
 * Runs `azurestream publish` with JSON output on the log of a fleet.
 *
 * @param fleet - Fleet whose log receives the publication.
 * @param folder - Path of the configuration folder.
 * @param extraArguments - Further command line arguments.
 * @returns Exit code and output of the command, once it has ended.
 */
export function publish(
  fleet: Fleet,
  folder: string,
  ...extraArguments: string[]
): Promise<CommandOutput> {
  return fleet.runCommand([
    'publish',
    folder,
    '--log',
    fleet.logAddress,
    '--json',
    ...extraArguments,
  ]);
}

/**
 * @param daemon - Daemon to ask.
 * @returns Version of the configuration that is in force on the daemon, -1 if there is none.
 */
export async function versionInForce(daemon: DaemonProcess): Promise<number> {
  return (await fetchStatus(daemon)).version ?? -1;
}

/**
 * Waits until a version of the configuration, or a newer one, is in force on every daemon.
 *
 * @param version - Lowest version to accept.
 * @param daemons - Daemons to wait for.
 */
export async function waitUntilInForce(
  version: number,
  daemons: readonly DaemonProcess[],
): Promise<void> {
  await eventually(`version ${version} in force on ${daemons.length} daemons`, async () => {
    const versions = await Promise.all(daemons.map(versionInForce));
    return versions.every((inForce) => inForce >= version);
  });
}

/**
 * Repeats an action until a promise settles, at least once.
 *
 * @param end - Ends the repetitions; its error is passed on.
 * @param action - What is repeated.
 */
export async function pollUntil(
  end: Promise<unknown>,
  action: () => Promise<unknown>,
): Promise<void> {
  let hasEnded = false;
  const ended = end.finally(() => {
    hasEnded = true;
  });
  do {
    await action();
    await delay(POLL_INTERVAL_MS);
  } while (!hasEnded);
  await ended;
}

/** @returns What a daemon dumps of its memory and of the upstream beside it. */
export async function fetchDump({ ready }: DaemonProcess) {
  const answer = await fetch(`http://${ready.listening.control}/dump`);
  return (await answer.json()) as {
    memory: { residentBytes: number };
    upstream: { running: number } | undefined;
  };
}

/** Polls the versions in force on daemons and records each return of a daemon to an older one. */
export class VersionMonitor {
  public readonly regressions: string[] = [];

  private stopped = false;

  private readonly running: Promise<void>;

  public constructor(daemons: () => readonly DaemonProcess[]) {
    this.running = this.poll(daemons);
  }

  /**
   * Stops polling.
   *
   * @returns The regressions seen, each as `<newer version> to <older version>`.
   */
  public async stop(): Promise<readonly string[]> {
    this.stopped = true;
    await this.running;
    return this.regressions;
  }

  private async poll(daemons: () => readonly DaemonProcess[]): Promise<void> {
    const highest = new Map<DaemonProcess, number>();
    while (!this.stopped) {
      await Promise.all(
        daemons().map(async (daemon) => {
          const version = await versionInForce(daemon).catch(() => undefined);
          // The port of a process that has ended may be taken by another daemon, which answers in its place.
          const hasEnded = daemon.child.exitCode !== null || daemon.child.signalCode !== null;
          if (version === undefined || hasEnded) return;
          const previous = highest.get(daemon) ?? -1;
          if (version < previous) this.regressions.push(`${previous} to ${version}`);
          highest.set(daemon, Math.max(previous, version));
        }),
      );
      await delay(20);
    }
  }
}

/**
 * @param port - Port of an upstream stand-in.
 * @returns The calls that the upstream began to run.
 */
export async function fetchLedger(port: number): Promise<LedgerEntry[]> {
  return (await (await fetch(`http://127.0.0.1:${port}/ledger`)).json()) as LedgerEntry[];
}

/**
 * Checks the outcomes that callers received against the calls that upstreams ran: a call reported as
 * not run never ran, an answered call ran and got its own response, and a call that isn't idempotent
 * ran at most once.
 *
 * @param records - Calls with the outcomes that their callers received.
 * @param ledger - Calls that all upstreams began to run.
 * @param idempotent - Whether a call may run more than once.
 * @returns One line for each violation.
 */
export function findViolations(
  records: readonly CallRecord[],
  ledger: readonly LedgerEntry[],
  idempotent: boolean,
): string[] {
  const runCounts = new Map<string, number>();
  for (const { id } of ledger) runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
  const violations: string[] = [];
  for (const { id, outcome, status, body } of records) {
    const runs = runCounts.get(id) ?? 0;
    if (!idempotent && runs > 1) violations.push(`${id} ran ${runs} times`);
    if (outcome === 'not-run' && runs > 0) violations.push(`${id} was reported as not run but ran`);
    if (outcome === 'answered' && (status !== 200 || !body.startsWith(id))) {
      violations.push(`${id} got a failed response or that of another call`);
    }
    if (outcome === 'answered' && runs === 0) violations.push(`${id} was answered but never ran`);
  }
  return violations;
}
