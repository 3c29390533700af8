import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually, fetchStatus } from '../stand-in/Fleet';
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

/** Publishes a folder that contains a marker text, which sets it apart from other publications. */
async function publishMarker(fleet: Fleet, folder: string, marker: string, ...further: string[]) {
  const path = writeFolder(fleet, folder, configurationFiles(['stock'], marker));
  const result = await publish(fleet, path, ...further);
  return {
    ...result,
    value: JSON.parse(result.stdout || '{}') as { version?: number; error?: string[] },
  };
}

/** A mesh of four daemons, of which the test replaces those that it ends or starts. */
class Mesh {
  public constructor(
    public readonly fleet: Fleet,
    public daemons: DaemonProcess[],
  ) {}

  /** Sets the daemons that run now; the version monitor polls them from then on. */
  public setDaemons(daemons: DaemonProcess[]): void {
    this.daemons = daemons;
  }
}

/** Runs a test on a mesh with one published version; fails if a daemon returned to an older one. */
async function withMesh(run: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  let monitor: VersionMonitor | undefined;
  try {
    await fleet.startLog();
    const mesh = new Mesh(fleet, await startDaemons(fleet, ZONES));
    await publishMarker(fleet, 'folder', 'first');
    await waitUntilInForce(0, mesh.daemons);
    monitor = new VersionMonitor(() => mesh.daemons);
    await run(mesh);
    assert.equal(await monitor.stop(), []);
  } finally {
    await monitor?.stop();
    await fleet.dispose();
  }
}

/** Returns the number of publications in the log that write the given marker text to a file. */
async function countPublications(fleet: Fleet, marker: string): Promise<number> {
  const answer = await fetch(`http://${fleet.logAddress}/streams/configuration?from=0`);
  const { records } = (await answer.json()) as { records: { data: string }[] };
  return records.filter(
    ({ data }) => data.startsWith('{"kind":"publication"') && data.includes(`# ${marker}`),
  ).length;
}

/** Expires all records of the stream `configuration`, as the log's retention does with old ones. */
async function expireConfiguration(fleet: Fleet): Promise<void> {
  const body = JSON.stringify({ stream: 'configuration', before: Number.MAX_SAFE_INTEGER });
  await fetch(`http://${fleet.logAddress}/expire`, { method: 'PUT', body });
}

/** Number of different configurations in force, by their digests; 1 where all daemons agree. */
async function countDistinctDigests(daemons: readonly DaemonProcess[]): Promise<number> {
  const all = await Promise.all(daemons.map(async (daemon) => (await fetchStatus(daemon)).digest));
  return new Set(all).size;
}

scenario(
  'concurrent publications: one is accepted, the others fail and list the files that differ',
  () =>
    withMesh(async ({ fleet, daemons }) => {
      const paths = ['a', 'b', 'c', 'd'].map((name) => {
        const path = writeFolder(fleet, name, configurationFiles(['stock'], 'first'));
        writeFileSync(join(path, '.azurestream-base'), '0\n');
        writeFileSync(
          join(path, name < 'c' ? '30-marker.toml' : `4${name}.toml`),
          `# by ${name}\n`,
        );
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
      await eventually(
        'all daemons have the same digest',
        async () => (await countDistinctDigests(daemons)) === 1,
      );
    }),
);

scenario(
  'lost log responses, delayed appends and invalid records neither repeat nor block publications',
  () =>
    withMesh(async ({ fleet, daemons }) => {
      await fleet.setLogFaults({ loseAnswers: 1, only: '"publication"' });
      const lost = await publishMarker(fleet, 'folder', 'second');
      assert.is(lost.exitCode, 0);
      assert.ok(lost.value.version! > 0);
      assert.is(await countPublications(fleet, 'second'), 1);

      await fleet.setLogFaults({ lateAppends: 1, lateMs: 4_500 });
      const late = await publishMarker(fleet, 'folder', 'third');
      assert.is(late.exitCode, 0);
      const next = await publishMarker(fleet, 'folder', 'fourth');
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
        await fetch(`http://${fleet.logAddress}/streams/configuration`, {
          method: 'POST',
          body: record,
        });
      }
      const last = await publishMarker(fleet, 'folder', 'fifth');
      assert.is(last.exitCode, 0);
      await waitUntilInForce(last.value.version!, daemons);
      assert.is(await countDistinctDigests(daemons), 1);
    }),
);

scenario('a killed log reader and a killed zone lose no accepted version', () =>
  withMesh(async (mesh) => {
    const { fleet } = mesh;
    const second = publishMarker(fleet, 'folder', 'second');
    await Fleet.stopProcess(mesh.daemons[0]!, 'SIGKILL');
    await waitUntilInForce((await second).value.version!, mesh.daemons.slice(1));
    const third = publishMarker(fleet, 'folder', 'third');
    await Promise.all([
      Fleet.stopProcess(mesh.daemons[2]!, 'SIGKILL'),
      Fleet.stopProcess(mesh.daemons[3]!, 'SIGKILL'),
    ]);
    const { exitCode, value } = await third;
    assert.is(exitCode, 0);
    await waitUntilInForce(value.version!, [mesh.daemons[1]!]);
    const restarted = await Promise.all(
      [0, 2, 3].map((index) =>
        fleet.startDaemon({
          name: `${ZONES[index]}-${index}`,
          zone: ZONES[index]!,
          extra: SHORT_PERIODS,
        }),
      ),
    );
    mesh.setDaemons([mesh.daemons[1]!, ...restarted]);
    await waitUntilInForce(value.version!, mesh.daemons);
    await waitUntilAllAlive(mesh.daemons);
  }),
);

scenario(
  'a daemon frozen until peers suspect it catches up, and its late checkpoint reverts no version',
  () =>
    withMesh(async ({ fleet, daemons }) => {
      const [frozen, ...others] = daemons;
      frozen!.child.kill('SIGSTOP');
      await eventually('a peer no longer lists the frozen daemon as alive', async () => {
        const answer = await fetch(`http://${others[0]!.ready.listening.control}/members`);
        const members = (await answer.json()) as { id: string; health: string }[];
        return members.every(({ id, health }) => id !== 'coq-0' || health !== 'alive');
      });
      await publishMarker(fleet, 'folder', 'second');
      const last = await publishMarker(fleet, 'folder', 'third');
      await waitUntilInForce(last.value.version!, others);
      frozen!.child.kill('SIGCONT');
      await waitUntilInForce(last.value.version!, daemons);
      await waitUntilAllAlive(daemons);
      assert.is(await countDistinctDigests(daemons), 1);
    }),
);

scenario(
  'a log outage beyond retention: daemons keep their version, new ones get it from peers',
  () =>
    withMesh(async (mesh) => {
      const { fleet, daemons } = mesh;
      const before = await publishMarker(fleet, 'folder', 'second');
      await waitUntilInForce(before.value.version!, daemons);
      await fleet.setLogFaults({ out: true });
      const refused = await publishMarker(fleet, 'folder', 'third');
      assert.is(refused.exitCode, 3);
      await expireConfiguration(fleet);
      await Fleet.stopProcess(daemons[1]!, 'SIGKILL');
      const { peers } = daemons[0]!.ready.listening;
      const joined = await fleet.startDaemon({
        name: 'coq-9',
        zone: 'coq',
        extra: SHORT_PERIODS,
        seeds: [peers],
      });
      await waitUntilInForce(before.value.version!, [joined]);
      await eventually('the new daemon reports that its configuration may be stale', async () => {
        const { problems } = await fetchStatus(joined);
        return problems.some((problem) => problem.includes("can't confirm"));
      });
      await fleet.setLogFaults({ out: false });
      mesh.setDaemons([daemons[0]!, daemons[2]!, daemons[3]!, joined]);
      const { control } = joined.ready.listening;
      const after = await publishMarker(fleet, 'folder', 'fourth', '--daemon', control);
      assert.is(after.exitCode, 0, after.stderr);
      await waitUntilInForce(after.value.version!, mesh.daemons);
    }),
);

scenario(
  'daemons that all restart during a log outage refuse calls as not run until the log is back',
  () =>
    withMesh(async (mesh) => {
      const { fleet } = mesh;
      const before = await publishMarker(fleet, 'folder', 'second');
      await waitUntilInForce(before.value.version!, mesh.daemons);
      await Promise.all(mesh.daemons.map((daemon) => Fleet.stopProcess(daemon, 'SIGKILL')));
      await fleet.setLogFaults({ out: true });
      mesh.setDaemons(
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
  'daemons that all restart recover from a checkpoint after the publications have expired',
  () =>
    withMesh(async (mesh) => {
      const { fleet } = mesh;
      const before = await publishMarker(fleet, 'folder', 'second');
      await waitUntilInForce(before.value.version!, mesh.daemons);
      await eventually('the log holds a checkpoint of the version', async () => {
        const answer = await fetch(
          `http://${fleet.logAddress}/streams/configuration?from=${before.value.version! + 1}`,
        );
        const { records } = (await answer.json()) as { records: { data: string }[] };
        return records.some(({ data }) => data.startsWith('{"kind":"checkpoint"'));
      });
      await eventually('the log holds a join of every daemon', async () => {
        const answer = await fetch(`http://${fleet.logAddress}/streams/joins?from=0`);
        const { records } = (await answer.json()) as { records: { data: string }[] };
        const joined = new Set(records.map(({ data }) => (JSON.parse(data) as { id: string }).id));
        return joined.size === mesh.daemons.length;
      });
      const body = JSON.stringify({ stream: 'configuration', before: before.value.version! + 1 });
      await fetch(`http://${fleet.logAddress}/expire`, { method: 'PUT', body });
      await Promise.all(mesh.daemons.map((daemon) => Fleet.stopProcess(daemon, 'SIGKILL')));
      mesh.setDaemons(await startDaemons(fleet, ZONES));
      await waitUntilInForce(before.value.version!, mesh.daemons);
      const after = await publishMarker(fleet, 'folder', 'third');
      assert.is(after.exitCode, 0, after.stderr);
      await waitUntilInForce(after.value.version!, mesh.daemons);
    }),
);

test.run();
