/**
 * Runs a small mesh on separate processes, publishes an edit while calls flow, and shows what
 * happens. Ends by itself and leaves nothing running.
 *
 * @packageDocumentation
 */
import { cp, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import CallerLoad from '../stand-in/CallerLoad';
import Fleet, {
  eventually,
  statusOf,
  type DaemonReady,
  type FleetProcess,
} from '../stand-in/Fleet';

const WORK_MS = 5;

interface Scene {
  readonly folder: string;
  readonly zones: readonly string[];
  readonly services: readonly string[];
  readonly edit: { readonly file: string; readonly from: string; readonly to: string };
  readonly path: string;
}

const SCENES: readonly Scene[] = [
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

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function startDaemons(fleet: Fleet, scene: Scene): Promise<FleetProcess<DaemonReady>[]> {
  const daemons: FleetProcess<DaemonReady>[] = [];
  for (const [index, zone] of scene.zones.entries()) {
    const daemon = await fleet.startDaemon({ name: `${zone}-${index + 1}`, zone });
    await fleet.startUpstream(scene.services[index]!, daemon, WORK_MS);
    daemons.push(daemon);
    say(
      `  daemon ${zone}-${index + 1} beside an upstream of ${scene.services[index]}, calls at ${daemon.ready.listening.calls}`,
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
  const args = ['publish', folder, '--log', fleet.log, '--daemon', control, '--wait'];
  const result = await fleet.command(args, (line) => say(`  ${line}`));
  if (result.exitCode !== 0) throw new Error(`publish failed: ${result.stderr}`);
  say(`  ${result.stdout.trim()}`);
}

async function edit(folder: string, { file, from, to }: Scene['edit']): Promise<void> {
  const path = join(folder, file);
  const content = await readFile(path, 'utf8');
  await writeFile(path, content.replace(from, to));
  say(`  edits ${file}: ${from} becomes ${to}`);
}

async function play(scene: Scene): Promise<void> {
  const fleet = new Fleet();
  try {
    say(`${scene.folder}: starts the log stand-in and three daemons in two zones`);
    await fleet.startLog();
    const daemons = await startDaemons(fleet, scene);
    const folder = fleet.path('folder');
    await cp(join('examples', scene.folder), folder, { recursive: true });
    await eventually('every daemon knows every other', async () => {
      const answers = await Promise.all(
        daemons.map((daemon) => fetch(`http://${daemon.ready.listening.control}/members`)),
      );
      const lists = (await Promise.all(answers.map((answer) => answer.json()))) as unknown[][];
      return lists.every((list) => list.length === daemons.length);
    });
    say('  every daemon knows every other');
    await publish(fleet, folder, daemons[0]!);

    const calls = daemons.map((daemon) => daemon.ready.listening.calls);
    await eventually('the first call is answered', async () => {
      const answers = await Promise.all(
        calls.map((address) => fetch(`http://${address}${scene.path}`)),
      );
      return answers.every(({ status }) => status === 200);
    });
    say(`  callers ask every daemon for ${scene.path}`);
    const load = new CallerLoad({ daemons: calls, method: 'GET', path: scene.path, callers: 6 });
    await edit(folder, scene.edit);
    await publish(fleet, folder, daemons[0]!);
    const records = await load.stop();
    const failed = records.filter(
      ({ status, outcome }) => status !== 200 || outcome !== 'answered',
    );
    const statuses = await Promise.all(daemons.map(statusOf));
    for (const { id, version, digest } of statuses) {
      say(`  ${id}: version ${version}, digest ${digest?.slice(0, 12)}`);
    }
    say(`  ${records.length} calls while the edit was published, ${failed.length} failed`);
    if (failed.length > 0) throw new Error(`a call failed: ${JSON.stringify(failed[0])}`);

    say('  stops the daemons');
    const codes = await Promise.all(daemons.map((daemon) => Fleet.end(daemon)));
    if (codes.some((code) => code !== 0)) throw new Error(`exit codes ${codes.join(', ')}`);
    say('  every daemon drained and ended with 0');
  } finally {
    await fleet.dispose();
  }
}

async function main(): Promise<void> {
  for (const scene of SCENES) await play(scene);
  say('done');
}

await main();
