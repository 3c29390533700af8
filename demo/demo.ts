/**
 * Runs a small mesh of separate processes for each example configuration, and publishes an edit of
 * the configuration while callers make calls. Prints each step, fails if a call fails, and stops all
 * processes at the end.
 *
 * @packageDocumentation
 */
import { cp, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import LoadGenerator from '../stand-in/LoadGenerator';
import Fleet, {
  eventually,
  fetchStatus,
  type DaemonReady,
  type FleetProcess,
} from '../stand-in/Fleet';

/** Time that a call takes in an upstream, in milliseconds. */
const WORK_MS = 5;

/** A run of the demo with one example configuration. */
interface Scenario {
  /** Name of a folder in `examples`. */
  readonly folder: string;
  /** Availability zones of the daemons, one entry per daemon. */
  readonly zones: readonly string[];
  /** Services of the upstreams: one entry per daemon, for the upstream beside it. */
  readonly services: readonly string[];
  /** Edit to publish: replaces the text `from` by `to` in one file of the folder. */
  readonly edit: { readonly file: string; readonly from: string; readonly to: string };
  /** Path and query of the calls. */
  readonly path: string;
}

const SCENARIOS: readonly Scenario[] = [
  {
    folder: 'association',
    zones: ['coq', 'coq', 'rogers'],
    services: ['stock', 'booking', 'records'],
    edit: { file: '30-routes.toml', from: 'timeout = "2s"', to: 'timeout = "3s"' },
    path: '/stock/chains?size=11R22.5',
  },
  {
    folder: 'parquetwerk',
    zones: ['ghent', 'ghent', 'antwerp'],
    services: ['catalogue', 'booking', 'survey'],
    edit: { file: '20-routes.toml', from: 'timeout = "3s"', to: 'timeout = "4s"' },
    path: '/catalogue/oak?width=180',
  },
];

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function startDaemons(
  fleet: Fleet,
  scenario: Scenario,
): Promise<FleetProcess<DaemonReady>[]> {
  const daemons: FleetProcess<DaemonReady>[] = [];
  for (const [index, zone] of scenario.zones.entries()) {
    const daemon = await fleet.startDaemon({ name: `${zone}-${index + 1}`, zone });
    await fleet.startUpstream(scenario.services[index]!, daemon, WORK_MS);
    daemons.push(daemon);
    print(
      `  daemon ${zone}-${index + 1} beside an upstream of ${scenario.services[index]}, calls at ${daemon.ready.listening.calls}`,
    );
  }
  return daemons;
}

async function publish(
  fleet: Fleet,
  folder: string,
  daemon: FleetProcess<DaemonReady>,
): Promise<void> {
  const { control } = daemon.ready.listening;
  const args = ['publish', folder, '--log', fleet.logAddress, '--daemon', control, '--wait'];
  const result = await fleet.runCommand(args, (line) => print(`  ${line}`));
  if (result.exitCode !== 0) throw new Error(`publish failed: ${result.stderr}`);
  print(`  ${result.stdout.trim()}`);
}

async function applyEdit(folder: string, { file, from, to }: Scenario['edit']): Promise<void> {
  const path = join(folder, file);
  const content = await readFile(path, 'utf8');
  await writeFile(path, content.replace(from, to));
  print(`  edits ${file}: ${from} becomes ${to}`);
}

async function runScenario(scenario: Scenario): Promise<void> {
  const fleet = new Fleet();
  try {
    print(`${scenario.folder}: starts the log stand-in and three daemons in two zones`);
    await fleet.startLog();
    const daemons = await startDaemons(fleet, scenario);
    const folder = fleet.tempPath('folder');
    await cp(join('examples', scenario.folder), folder, { recursive: true });
    await eventually('every daemon knows every other', async () => {
      const responses = await Promise.all(
        daemons.map((daemon) => fetch(`http://${daemon.ready.listening.control}/members`)),
      );
      const members = (await Promise.all(
        responses.map((response) => response.json()),
      )) as unknown[][];
      return members.every((list) => list.length === daemons.length);
    });
    print('  every daemon knows every other');
    await publish(fleet, folder, daemons[0]!);

    const calls = daemons.map((daemon) => daemon.ready.listening.calls);
    await eventually('the first call is answered', async () => {
      const responses = await Promise.all(
        calls.map((address) => fetch(`http://${address}${scenario.path}`)),
      );
      return responses.every(({ status }) => status === 200);
    });
    print(`  callers call every daemon at ${scenario.path}`);
    const load = new LoadGenerator({
      daemons: calls,
      method: 'GET',
      path: scenario.path,
      callers: 6,
    });
    await applyEdit(folder, scenario.edit);
    await publish(fleet, folder, daemons[0]!);
    const records = await load.stop();
    const failed = records.filter(
      ({ status, outcome }) => status !== 200 || outcome !== 'answered',
    );
    const statuses = await Promise.all(daemons.map(fetchStatus));
    for (const { id, version, digest } of statuses) {
      print(`  ${id}: version ${version}, digest ${digest?.slice(0, 12)}`);
    }
    print(`  ${records.length} calls while the edit was published, ${failed.length} failed`);
    if (failed.length > 0) throw new Error(`a call failed: ${JSON.stringify(failed[0])}`);

    print('  stops the daemons');
    const codes = await Promise.all(daemons.map((daemon) => Fleet.stopProcess(daemon)));
    if (codes.some((code) => code !== 0)) throw new Error(`exit codes ${codes.join(', ')}`);
    print('  every daemon drained and ended with 0');
  } finally {
    await fleet.dispose();
  }
}

async function main(): Promise<void> {
  for (const scenario of SCENARIOS) await runScenario(scenario);
  print('done');
}

await main();
