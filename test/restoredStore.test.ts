import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { request } from 'undici';
import { setTimeout as delay } from 'node:timers/promises';
import { REASON_HEADER } from '../src/request/callHeaders';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import {
  OPERATOR_HOST,
  operatorConfiguration,
  pollUntil,
  scenario,
  SHORT_PERIODS,
  VersionMonitor,
  waitUntilAllAlive,
  waitUntilInForce,
} from './support';

const CONTACTS_TOPIC = 'keyed.azurestream-contacts';

async function offsetOf(control: string): Promise<number> {
  const answer = await fetch(`http://${control}/folder`);
  return ((await answer.json()) as { through: number }).through;
}

// Guards against daemons that read on from offsets of before the restore, and so miss what is written
// there again, that go back to the older configuration in the copy, or whose contacts stay lost.
scenario(
  'a store that comes back from a copy, twice in a row, is read and written again',
  async () => {
    const fleet = new Fleet();
    const store = new PlatformStoreServer();
    try {
      fleet.useLog(await store.listen());
      store.put(operatorConfiguration(1, 1));
      const early = store.copy();
      const daemons = await Promise.all(
        ['coq', 'rogers', 'kootenay', 'pine', 'coq'].map((zone, index) =>
          fleet.startDaemon({
            name: `${zone}-${index}`,
            zone,
            extra: {
              ...SHORT_PERIODS,
              log: 'kind = "platform"\nreader_zones = 3\nreaders_per_zone = 1',
            },
          }),
        ),
      );
      await waitUntilAllAlive(daemons);
      for (const version of [2, 3, 4]) store.put(operatorConfiguration(version, 1));
      await waitUntilInForce(4, daemons);
      await eventually('a contact is stored', () => store.keys(CONTACTS_TOPIC).length > 0);
      const monitor = new VersionMonitor(() => daemons);
      // The offset of version 2 is given out again, in two eras.
      store.restore(early);
      store.restore(early);
      store.put(operatorConfiguration(5, 1));
      await waitUntilInForce(5, daemons);
      await eventually('a contact is stored again', () => store.keys(CONTACTS_TOPIC).length > 0);
      await eventually('all daemons know the era', async () => {
        const offsets = await Promise.all(
          daemons.map(({ ready }) => offsetOf(ready.listening.control)),
        );
        return offsets.every((offset) => offset === 2 * 2 ** 40 + 2);
      });
      assert.equal(await monitor.stop(), []);
    } finally {
      await fleet.dispose();
      store.dispose();
    }
  },
);

const BOUND_MS = 3_000;
const KEPT_KEY = 'key-that-is-kept';
const REMOVED_KEY = 'key-that-is-removed';

function configurationWithKeys(version: number, keys: readonly string[]): string {
  const document = JSON.parse(operatorConfiguration(version, 1)) as object;
  return JSON.stringify({ ...document, tenants: [{ name: 'acme', api_keys: keys }] });
}

/** Calls a service without upstreams; returns whether the key was accepted, or the status. */
async function callOutcome(calls: string, key: string): Promise<string> {
  const { statusCode, headers, body } = await request(`http://${calls}/route-0/`, {
    headers: { host: OPERATOR_HOST, 'api-key': key },
  });
  await body.dump();
  return String(headers[REASON_HEADER]).includes('has no upstream') ? 'accepted' : `${statusCode}`;
}

// Guards against a daemon that starts as the store comes back from a copy, and takes a removed key for valid.
scenario(
  'a key stays removed at a daemon that restarts with a store that lost the removal',
  async () => {
    const fleet = new Fleet();
    const store = new PlatformStoreServer();
    try {
      fleet.useLog(await store.listen());
      store.put(configurationWithKeys(1, [KEPT_KEY, REMOVED_KEY]));
      const options = ['coq', 'rogers', 'kootenay', 'pine'].map((zone) => ({
        name: `${zone}-1`,
        zone,
        extra: {
          ...SHORT_PERIODS,
          log: 'kind = "platform"\nreader_zones = 3\nreaders_per_zone = 1',
          organisations: `revocation = "${BOUND_MS}ms"`,
        },
      }));
      const daemons = await Promise.all(options.map((option) => fleet.startDaemon(option)));
      await waitUntilAllAlive(daemons);
      for (const { ready } of daemons) {
        await eventually(
          'the key is accepted',
          async () => (await callOutcome(ready.listening.calls, REMOVED_KEY)) === 'accepted',
        );
      }
      await eventually('a contact is stored', () => store.keys(CONTACTS_TOPIC).length > 0);
      const early = store.copy();
      store.put(configurationWithKeys(2, [KEPT_KEY]));
      const boundPassed = delay(BOUND_MS);
      await waitUntilInForce(2, daemons);
      // Until then, a peer may still state a proof from before the removal.
      await boundPassed;
      const outcomes = new Set<string>();
      for (const [index, daemon] of daemons.slice(0, 2).entries()) {
        store.isDown = true;
        await Fleet.stopProcess(daemon, 'SIGKILL');
        store.restore(early);
        store.isDown = false;
        const { listening } = daemon.ready;
        const { calls } = listening;
        const restarted = await fleet.startDaemon({ ...options[index]!, addresses: listening });
        // Until the operator writes again, only a proof from before the restore tells that the key is unknown,
        // and once it is as old as the bound, nobody has one.
        const isOver = Promise.all([delay(2 * BOUND_MS), waitUntilInForce(2, [restarted])]);
        await pollUntil(isOver, async () => outcomes.add(await callOutcome(calls, REMOVED_KEY)));
        store.put(configurationWithKeys(2, [KEPT_KEY]));
        await eventually(
          'the key that was kept is accepted',
          async () => (await callOutcome(calls, KEPT_KEY)) === 'accepted',
        );
        assert.is(await callOutcome(calls, REMOVED_KEY), '401');
      }
      assert.not.ok(outcomes.has('accepted'), [...outcomes].join());
    } finally {
      await fleet.dispose();
      store.dispose();
    }
  },
);

test.run();
