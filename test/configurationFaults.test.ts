import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually, statusOf } from '../stand-in/Fleet';
import {
  configurationFiles,
  publish,
  scenario,
  SHORT_PERIODS,
  startDaemons,
  versionInForce,
  VersionMonitor,
  waitUntilAllAlive,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const ZONES = ['coq', 'coq', 'rogers', 'rogers'];

/** Writes a folder with a marker of its own and publishes it. */
async function edit(fleet: Fleet, folder: string, marker: string, ...further: string[]) {
  const path = writeFolder(fleet, folder, configurationFiles(['stock'], marker));
  const result = await publish(fleet, path, ...further);
  return {
    ...result,
    value: JSON.parse(result.stdout || '{}') as { version?: number; error?: string[] },
  };
}

class Mesh {
  public constructor(
    public readonly fleet: Fleet,
    public daemons: DaemonProcess[],
  ) {}

  /** Takes note of the daemons that run now. */
  public replace(daemons: DaemonProcess[]): void {
    this.daemons = daemons;
  }
}

/** Runs a scenario on a mesh with one published version, and checks that nothing stepped back. */
async function withMesh(play: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  let watch: VersionMonitor | undefined;
  try {
    await fleet.startLog();
    const mesh = new Mesh(fleet, await startDaemons(fleet, ZONES));
    await edit(fleet, 'folder', 'first');
    await waitUntilInForce(0, mesh.daemons);
    watch = new VersionMonitor(() => mesh.daemons);
    await play(mesh);
    assert.equal(await watch.stop(), []);
  } finally {
    await watch?.stop();
    await fleet.dispose();
  }
}

/** Publications in the log that set the marker. */
async function publicationsWith(fleet: Fleet, marker: string): Promise<number> {
  const answer = await fetch(`http://${fleet.log}/streams/configuration?from=0`);
  const { records } = (await answer.json()) as { records: { data: string }[] };
  return records.filter(
    ({ data }) => data.startsWith('{"kind":"publication"') && data.includes(`# ${marker}`),
  ).length;
}

async function expireAll(fleet: Fleet): Promise<void> {
  const body = JSON.stringify({ stream: 'configuration', before: Number.MAX_SAFE_INTEGER });
  await fetch(`http://${fleet.log}/expire`, { method: 'PUT', body });
}

async function digests(daemons: readonly DaemonProcess[]): Promise<number> {
  const all = await Promise.all(daemons.map(async (daemon) => (await statusOf(daemon)).digest));
  return new Set(all).size;
}

scenario('of operators who race exactly one wins, and the others are told which files differ', () =>
  withMesh(async ({ fleet, daemons }) => {
    const paths = ['a', 'b', 'c', 'd'].map((name) => {
      const path = writeFolder(fleet, name, configurationFiles(['stock'], 'first'));
      writeFileSync(join(path, '.azurestream-base'), '0\n');
      writeFileSync(join(path, name < 'c' ? '30-marker.toml' : `4${name}.toml`), `# by ${name}\n`);
      return path;
    });
    const results = await Promise.all(paths.map((path) => publish(fleet, path)));
    const winners = results.filter(({ exitCode }) => exitCode === 0);
    assert.is(winners.length, 1);
    for (const { exitCode, stdout } of results) {
      if (exitCode === 0) continue;
      assert.is(exitCode, 1);
      assert.match(stdout, /these files differ from it: .*\.toml/);
    }
    await waitUntilInForce(1, daemons);
    await eventually('one digest everywhere', async () => (await digests(daemons)) === 1);
  }),
);

scenario(
  'a lost answer, an append that lands late and a bad folder past the checker change nothing twice',
  () =>
    withMesh(async ({ fleet, daemons }) => {
      await fleet.setLogFaults({ loseAnswers: 1, only: '"publication"' });
      const lost = await edit(fleet, 'folder', 'second');
      assert.is(lost.exitCode, 0);
      assert.ok(lost.value.version! > 0);
      assert.is(await publicationsWith(fleet, 'second'), 1);

      await fleet.setLogFaults({ lateAppends: 1, lateMs: 4_500 });
      const late = await edit(fleet, 'folder', 'third');
      assert.is(late.exitCode, 0);
      const next = await edit(fleet, 'folder', 'fourth');
      assert.is(next.exitCode, 0);
      assert.ok(next.value.version! > late.value.version!);
      await delay(2_500);

      const bad = {
        kind: 'publication',
        schema: 1,
        id: 'bad',
        base: next.value.version,
        changes: [{ name: '99.toml', content: '[route.x]\nservice = "nowhere"\npath = "/x"\n' }],
        digest: '0'.repeat(64),
      };
      for (const record of [
        JSON.stringify(bad),
        'no record at all',
        '{"kind":"publication","schema":1}',
      ]) {
        await fetch(`http://${fleet.log}/streams/configuration`, { method: 'POST', body: record });
      }
      const last = await edit(fleet, 'folder', 'fifth');
      assert.is(last.exitCode, 0);
      await waitUntilInForce(last.value.version!, daemons);
      assert.is(await digests(daemons), 1);
    }),
);

scenario('killed readers and a killed zone lose nothing that was accepted', () =>
  withMesh(async (mesh) => {
    const { fleet } = mesh;
    const publishing = edit(fleet, 'folder', 'second');
    await Fleet.end(mesh.daemons[0]!, 'SIGKILL');
    await waitUntilInForce((await publishing).value.version!, mesh.daemons.slice(1));
    const during = edit(fleet, 'folder', 'third');
    await Promise.all([
      Fleet.end(mesh.daemons[2]!, 'SIGKILL'),
      Fleet.end(mesh.daemons[3]!, 'SIGKILL'),
    ]);
    const { exitCode, value } = await during;
    assert.is(exitCode, 0);
    await waitUntilInForce(value.version!, [mesh.daemons[1]!]);
    const again = await Promise.all(
      [0, 2, 3].map((index) =>
        fleet.startDaemon({
          name: `${ZONES[index]}-${index}`,
          zone: ZONES[index]!,
          extra: SHORT_PERIODS,
        }),
      ),
    );
    mesh.replace([mesh.daemons[1]!, ...again]);
    await waitUntilInForce(value.version!, mesh.daemons);
    await waitUntilAllAlive(mesh.daemons);
  }),
);

scenario(
  'a daemon frozen past every lease catches up and its late checkpoint reverts nothing',
  () =>
    withMesh(async ({ fleet, daemons }) => {
      const [frozen, ...others] = daemons;
      frozen!.child.kill('SIGSTOP');
      await eventually('others notice', async () => {
        const answer = await fetch(`http://${others[0]!.ready.listening.control}/members`);
        const members = (await answer.json()) as { id: string; health: string }[];
        return members.every(({ id, health }) => id !== 'coq-0' || health !== 'alive');
      });
      await edit(fleet, 'folder', 'second');
      const last = await edit(fleet, 'folder', 'third');
      await waitUntilInForce(last.value.version!, others);
      frozen!.child.kill('SIGCONT');
      await waitUntilInForce(last.value.version!, daemons);
      await waitUntilAllAlive(daemons);
      assert.is(await digests(daemons), 1);
    }),
);

scenario(
  'an outage longer than retention: daemons keep what they have, new ones ask peers, publishing goes on',
  () =>
    withMesh(async (mesh) => {
      const { fleet, daemons } = mesh;
      const before = await edit(fleet, 'folder', 'second');
      await waitUntilInForce(before.value.version!, daemons);
      await fleet.setLogFaults({ out: true });
      const refused = await edit(fleet, 'folder', 'third');
      assert.is(refused.exitCode, 3);
      await expireAll(fleet);
      await Fleet.end(daemons[1]!, 'SIGKILL');
      const { peers } = daemons[0]!.ready.listening;
      const joined = await fleet.startDaemon({
        name: 'coq-9',
        zone: 'coq',
        extra: SHORT_PERIODS,
        seeds: [peers],
      });
      await waitUntilInForce(before.value.version!, [joined]);
      await eventually('knowledge is called old', async () => {
        const { problems } = await statusOf(joined);
        return problems.some((problem) => problem.includes("can't confirm"));
      });
      await fleet.setLogFaults({ out: false });
      mesh.replace([daemons[0]!, daemons[2]!, daemons[3]!, joined]);
      const { control } = joined.ready.listening;
      const after = await edit(fleet, 'folder', 'fourth', '--daemon', control);
      assert.is(after.exitCode, 0, after.stderr);
      await waitUntilInForce(after.value.version!, mesh.daemons);
    }),
);

scenario('a herd restart with the log out refuses calls as not run until the log is back', () =>
  withMesh(async (mesh) => {
    const { fleet } = mesh;
    const before = await edit(fleet, 'folder', 'second');
    await waitUntilInForce(before.value.version!, mesh.daemons);
    await Promise.all(mesh.daemons.map((daemon) => Fleet.end(daemon, 'SIGKILL')));
    await fleet.setLogFaults({ out: true });
    mesh.replace(
      await Promise.all(
        ZONES.map((zone, index) =>
          fleet.startDaemon({ name: `${zone}-${index}`, zone, extra: SHORT_PERIODS }),
        ),
      ),
    );
    const answer = await fetch(`http://${mesh.daemons[0]!.ready.listening.calls}/stock`);
    assert.snapshot(
      `${answer.status} ${answer.headers.get('x-azurestream-outcome')} ${await answer.text()}`,
      '503 not-run {"outcome":"not-run","reason":"no configuration is in force here yet"}\n',
    );
    await fleet.setLogFaults({ out: false, slowMs: 300 });
    await waitUntilInForce(before.value.version!, mesh.daemons);
    await waitUntilAllAlive(mesh.daemons);
    await fleet.setLogFaults({ slowMs: 0 });
    assert.is(
      Math.max(...(await Promise.all(mesh.daemons.map(versionInForce)))) >= before.value.version!,
      true,
    );
  }),
);

scenario(
  'checkpoints outlive retention, so that a fleet that restarts whole finds its configuration',
  () =>
    withMesh(async (mesh) => {
      const { fleet } = mesh;
      const before = await edit(fleet, 'folder', 'second');
      await waitUntilInForce(before.value.version!, mesh.daemons);
      await eventually('a checkpoint of it stands in the log', async () => {
        const answer = await fetch(
          `http://${fleet.log}/streams/configuration?from=${before.value.version! + 1}`,
        );
        const { records } = (await answer.json()) as { records: { data: string }[] };
        return records.some(({ data }) => data.startsWith('{"kind":"checkpoint"'));
      });
      await eventually('the joins of all stand in the log', async () => {
        const answer = await fetch(`http://${fleet.log}/streams/joins?from=0`);
        const { records } = (await answer.json()) as { records: { data: string }[] };
        const joined = new Set(records.map(({ data }) => (JSON.parse(data) as { id: string }).id));
        return joined.size === mesh.daemons.length;
      });
      const body = JSON.stringify({ stream: 'configuration', before: before.value.version! + 1 });
      await fetch(`http://${fleet.log}/expire`, { method: 'PUT', body });
      await Promise.all(mesh.daemons.map((daemon) => Fleet.end(daemon, 'SIGKILL')));
      mesh.replace(await startDaemons(fleet, ZONES));
      await waitUntilInForce(before.value.version!, mesh.daemons);
      const after = await edit(fleet, 'folder', 'third');
      assert.is(after.exitCode, 0, after.stderr);
      await waitUntilInForce(after.value.version!, mesh.daemons);
    }),
);

test.run();
