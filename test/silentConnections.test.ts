import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TcpProxy from '../stand-in/TcpProxy';
import LoadGenerator from '../stand-in/LoadGenerator';
import Fleet, { eventually } from '../stand-in/Fleet';
import {
  configurationFiles,
  fetchLedger,
  findViolations,
  publish,
  scenario,
  startDaemons,
  waitUntilInForce,
  writeFolder,
  type DaemonProcess,
} from './support';

const ZONES = ['coq', 'coq', 'rogers'];
/** Time that an upstream works on a call. */
const WORK_MS = 3;

/**
 * A mesh whose daemons reach each other through proxies that can make open connections silent: the
 * connection stays open and drops all bytes. The first daemon has no upstream; callers use it.
 */
interface Mesh {
  readonly fleet: Fleet;
  readonly daemons: readonly DaemonProcess[];
  /** Ports that the upstreams listen on. */
  readonly ports: readonly number[];
  /** Makes all connections silent that are open between daemons now; returns their number. */
  readonly silence: () => number;
}

/**
 * Runs a test on a mesh with an upstream of the service `rentals` beside every daemon but the
 * first.
 */
async function withMesh(run: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  const cables = ZONES.map(() => new TcpProxy());
  try {
    await fleet.startLog();
    // A daemon's port is known only once it runs; its proxy refuses connections until then.
    const advertised = await Promise.all(cables.map((cable) => cable.listen()));
    const daemons = await startDaemons(fleet, ZONES, advertised, (index, { listening }) =>
      cables[index]!.forwardTo(listening.peers),
    );
    await publish(fleet, writeFolder(fleet, 'folder', configurationFiles(['rentals'], 'first')));
    await waitUntilInForce(0, daemons);
    const upstreams = await Promise.all(
      daemons.slice(1).map((daemon) => fleet.startUpstream('rentals', daemon, WORK_MS)),
    );
    const { control } = daemons[0]!.ready.listening;
    await eventually('all upstreams are listed as serving', async () => {
      const answer = await fetch(`http://${control}/explain?method=GET&path=/rentals`);
      return (
        ((await answer.json()) as { upstreams: unknown[] }).upstreams.length === upstreams.length
      );
    });
    const silence = () =>
      cables.reduce((count, cable) => count + cable.silenceOpenConnections(), 0);
    await run({ fleet, daemons, ports: upstreams.map(({ ready }) => ready.port), silence });
  } finally {
    for (const cable of cables) cable.dispose();
    await fleet.dispose();
  }
}

/** Sends calls through the first daemon and makes all connections silent four times meanwhile. */
async function callWhileSilencing({ daemons, ports, silence }: Mesh, method: string) {
  const load = new LoadGenerator({
    daemons: [daemons[0]!.ready.listening.calls],
    method,
    path: '/rentals',
    callers: 8,
    body: method === 'POST' ? 'charge' : undefined,
  });
  let silenced = 0;
  for (let round = 0; round < 4; round += 1) {
    const target = load.records.length + 300;
    await eventually('the callers complete further calls', () => load.records.length >= target);
    silenced += silence();
  }
  const target = load.records.length + 300;
  await eventually(
    'the callers complete further calls after the last silencing',
    () => load.records.length >= target,
  );
  const records = await load.stop();
  const ledger = (await Promise.all(ports.map(fetchLedger))).flat();
  return { records, ledger, silenced };
}

scenario(
  'connections that go silent without closing: POSTs run at most once, reported outcomes are true',
  () =>
    withMesh(async (mesh) => {
      const { records, ledger, silenced } = await callWhileSilencing(mesh, 'POST');
      assert.ok(silenced > 0);
      assert.equal(findViolations(records, ledger, false), []);
    }),
);

scenario('connections that go silent without closing: every GET is answered', () =>
  withMesh(async (mesh) => {
    const { records, silenced } = await callWhileSilencing(mesh, 'GET');
    assert.ok(silenced > 0);
    const failed = records.filter(({ outcome }) => outcome !== 'answered');
    assert.equal(failed, []);
  }),
);

scenario(
  'links that go silent without closing are replaced, and a new version comes into force',
  () =>
    withMesh(async ({ fleet, daemons, silence }) => {
      assert.ok(silence() > 0);
      const result = await publish(
        fleet,
        writeFolder(fleet, 'folder', configurationFiles(['rentals'], 'second')),
      );
      const { version } = JSON.parse(result.stdout) as { version: number };
      await waitUntilInForce(version, daemons);
      await eventually('every link is up again', async () => {
        const dumps = await Promise.all(
          daemons.map(async ({ ready }) =>
            (await fetch(`http://${ready.listening.control}/dump`)).json(),
          ),
        );
        return (dumps as { links: { up: boolean }[] }[]).every(
          ({ links }) => links.length > 0 && links.every(({ up }) => up),
        );
      });
    }),
);

test.run();
