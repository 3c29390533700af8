import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import TcpProxy from '../stand-in/TcpProxy';
import { REASON_HEADER } from '../src/request/callHeaders';
import {
  OPERATOR_HOST,
  operatorConfiguration,
  scenario,
  SHORT_PERIODS,
  waitUntilAllAlive,
  waitUntilInForce,
  type DaemonProcess,
} from './support';

const KEY = 'key-of-acme';
const BOUND_MS = 3_000;

/** A configuration with a private and a public route, and one organisation with some keys. */
function configuration(version: number, keys: readonly string[]): string {
  const document = JSON.parse(operatorConfiguration(version, 2)) as {
    listeners: { rules: { public?: boolean }[] }[];
  };
  document.listeners[0]!.rules[1]!.public = true;
  return JSON.stringify({ ...document, tenants: [{ name: 'acme', api_keys: keys }] });
}

/** Sends a call to a service without upstreams, so that an accepted call is refused only after its key was. */
async function callOutcome(daemon: DaemonProcess, route: number, key?: string): Promise<string> {
  const { calls } = daemon.ready.listening;
  const { statusCode, headers, body } = await request(`http://${calls}/route-${route}/`, {
    headers: { host: OPERATOR_HOST, ...(key && { 'api-key': key }) },
  });
  await body.dump();
  const reason = String(headers[REASON_HEADER]);
  if (statusCode === 503 && !headers['retry-after']) return '503 without Retry-After';
  if (reason.includes('has no upstream')) return 'accepted';
  return statusCode === 503 && reason.includes('key') ? 'not confirmed' : `${statusCode}`;
}

/** Two daemons whose ways to the store and to each other can be cut. */
interface Mesh {
  readonly store: PlatformStoreServer;
  readonly daemons: readonly [DaemonProcess, DaemonProcess];
  readonly storePaths: readonly TcpProxy[];
  readonly peerPaths: readonly TcpProxy[];
  /** Returns what all daemons have logged. */
  readonly logged: () => string;
}

/** Runs a test on daemons that accept the key. */
async function withMesh(run: (mesh: Mesh) => Promise<void>): Promise<void> {
  const fleet = new Fleet();
  const store = new PlatformStoreServer();
  const storePaths = [new TcpProxy(), new TcpProxy()];
  const peerPaths = [new TcpProxy(), new TcpProxy()];
  try {
    const storeAddress = `127.0.0.1:${await store.listen()}`;
    store.put(configuration(1, [KEY]));
    const daemons = await Promise.all(
      storePaths.map(async (path, index) => {
        const advertised = await peerPaths[index]!.listen();
        const [, port] = (await path.listen()).split(':');
        // The settings are written in the same turn, as the fleet holds one address of the store.
        fleet.useLog(Number(port));
        path.forwardTo(storeAddress);
        const daemon = await fleet.startDaemon({
          name: `coq-${index}`,
          zone: 'coq',
          extra: {
            ...SHORT_PERIODS,
            daemon: `${SHORT_PERIODS.daemon}\nadvertise = "${advertised}"`,
            log: 'kind = "platform"\nreader_zones = 1\nreaders_per_zone = 1',
            organisations: `revocation = "${BOUND_MS}ms"`,
          },
        });
        peerPaths[index]!.forwardTo(daemon.ready.listening.peers);
        return daemon;
      }),
    );
    await waitUntilInForce(1, daemons);
    await waitUntilAllAlive(daemons);
    for (const daemon of daemons) {
      await eventually(
        'the key is accepted',
        async () => (await callOutcome(daemon, 0, KEY)) === 'accepted',
      );
    }
    const chunks: Buffer[] = [];
    for (const { child } of daemons) {
      child.stdout!.on('data', (chunk: Buffer) => chunks.push(chunk));
    }
    const [first, second] = daemons as [DaemonProcess, DaemonProcess];
    const mesh = { store, daemons: [first, second] as const, storePaths, peerPaths };
    await run({ ...mesh, logged: () => Buffer.concat(chunks).toString() });
  } finally {
    await fleet.dispose();
    for (const path of [...storePaths, ...peerPaths]) path.dispose();
    store.dispose();
  }
}

/** Calls with the key for a time; returns the outcomes as they change, and when the last was accepted. */
async function callFor(ms: number, daemon: DaemonProcess) {
  const startedAt = Date.now();
  const outcomes: string[] = [];
  let acceptedAfterMs = 0;
  while (Date.now() < startedAt + ms) {
    const sentAfterMs = Date.now() - startedAt;
    const outcome = await callOutcome(daemon, 0, KEY);
    if (outcome === 'accepted') acceptedAfterMs = sentAfterMs;
    if (outcome !== outcomes.at(-1)) outcomes.push(outcome);
    await delay(20);
  }
  return { outcomes, acceptedAfterMs };
}

// Guards against a daemon that is cut off and goes on accepting a key that was removed.
scenario('a daemon that is cut off refuses keys after the bound and serves public routes', () =>
  withMesh(async ({ store, daemons: [cutOff, other], storePaths, peerPaths, logged }) => {
    assert.is(await callOutcome(cutOff, 0, 'another'), '401');
    assert.is(await callOutcome(cutOff, 0), '401');
    // Without the store, its proofs come from the other daemon.
    storePaths[0]!.cut();
    assert.equal((await callFor(BOUND_MS + 500, cutOff)).outcomes, ['accepted']);

    for (const path of peerPaths) path.cut();
    store.put(configuration(2, []));
    const { outcomes, acceptedAfterMs } = await callFor(BOUND_MS + 1_000, cutOff);
    assert.equal(outcomes, ['accepted', 'not confirmed']);
    assert.ok(acceptedAfterMs <= BOUND_MS, `${acceptedAfterMs}`);
    assert.is(await callOutcome(cutOff, 0, 'another'), 'not confirmed');
    assert.is(await callOutcome(cutOff, 1), 'accepted');
    assert.is(await callOutcome(other, 0, KEY), '401');
    const answer = await fetch(`http://${cutOff.ready.listening.control}/dump`);
    const dump = await answer.text();
    assert.match(dump, 'refuses keys');
    assert.match(logged(), 'Refuses keys');
    assert.not.match(`${dump}${logged()}`, KEY);
  }),
);

// Guards against a daemon that takes what it had read before a freeze for recent.
scenario('a daemon that was frozen beyond the bound never accepts a removed key', () =>
  withMesh(async ({ store, daemons: [frozen] }) => {
    frozen.child.kill('SIGSTOP');
    store.put(configuration(2, []));
    await delay(BOUND_MS);
    const calling = callFor(1_500, frozen);
    frozen.child.kill('SIGCONT');
    const { outcomes } = await calling;
    assert.not.ok(outcomes.includes('accepted'), `${outcomes}`);
    assert.is(outcomes.at(-1), '401');
  }),
);

test.run();
