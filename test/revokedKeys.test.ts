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

// Guards against a daemon that is cut off and goes on accepting a key that was removed.
scenario(
  'a daemon that is cut off refuses keys after the bound and serves public routes',
  async () => {
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
      const [cutOff, other] = daemons as [DaemonProcess, DaemonProcess];
      await waitUntilInForce(1, daemons);
      await waitUntilAllAlive(daemons);
      for (const daemon of daemons) {
        await eventually(
          'the key is accepted',
          async () => (await callOutcome(daemon, 0, KEY)) === 'accepted',
        );
        assert.is(await callOutcome(daemon, 0, 'another'), '401');
        assert.is(await callOutcome(daemon, 0), '401');
      }

      storePaths[0]!.cut();
      for (const path of peerPaths) path.cut();
      store.put(configuration(2, []));
      const acknowledgedAt = Date.now();
      const outcomes: string[] = [];
      let acceptedAfterMs = 0;
      while (Date.now() < acknowledgedAt + BOUND_MS + 1_000) {
        const sentAfterMs = Date.now() - acknowledgedAt;
        const outcome = await callOutcome(cutOff, 0, KEY);
        if (outcome === 'accepted') acceptedAfterMs = sentAfterMs;
        if (outcome !== outcomes.at(-1)) outcomes.push(outcome);
        await delay(20);
      }
      assert.equal(outcomes, ['accepted', 'not confirmed']);
      assert.ok(acceptedAfterMs <= BOUND_MS, `${acceptedAfterMs}`);
      assert.is(await callOutcome(cutOff, 0, 'another'), 'not confirmed');
      assert.is(await callOutcome(cutOff, 1), 'accepted');
      assert.is(await callOutcome(other, 0, KEY), '401');
      const answer = await fetch(`http://${cutOff.ready.listening.control}/dump`);
      const dump = await answer.text();
      assert.match(dump, 'refuses keys');
      assert.not.match(dump, KEY);
    } finally {
      await fleet.dispose();
      for (const path of [...storePaths, ...peerPaths]) path.dispose();
      store.dispose();
    }
  },
);

test.run();
