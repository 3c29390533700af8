import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import {
  operatorConfiguration,
  OPERATOR_HOST,
  SHORT_PERIODS,
  versionInForce,
  waitUntilAllAlive,
  waitUntilInForce,
  type DaemonProcess,
} from './support';

const ZONES = ['coq', 'coq', 'rogers', 'rogers', 'pine', 'pine'];
/** Zones whose first daemon reads the store; the daemons of the others learn from their peers. */
const READER_ZONES = 2;

/** Settings of a daemon that takes its configuration from the platform's store. */
const PLATFORM_SETTINGS = {
  ...SHORT_PERIODS,
  log: `kind = "platform"\nretention = "8s"\nstale = "30s"\nreaders_per_zone = 1\nreader_zones = ${READER_ZONES}`,
};

/** Runs a test with a platform store that holds a first configuration of ten routes. */
async function withStore(
  run: (store: PlatformStoreServer, fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = new Fleet();
  const store = new PlatformStoreServer();
  try {
    fleet.useLog(await store.listen());
    store.put(operatorConfiguration(1, 10));
    await run(store, fleet);
  } finally {
    await fleet.dispose();
    store.dispose();
  }
}

/** Returns the route that a daemon would choose for a path, as `explain` reports it. */
async function routeAt(daemon: DaemonProcess, path: string): Promise<string | undefined> {
  const query = new URLSearchParams({ method: 'GET', host: OPERATOR_HOST, path });
  const answer = await fetch(`http://${daemon.ready.listening.control}/explain?${query}`);
  return ((await answer.json()) as { route: { name: string } | null }).route?.name;
}

test('a configuration that the store accepted comes into force whatever its size, and so do those after it', async () => {
  await withStore(async (store, fleet) => {
    const daemons = await Promise.all(
      ZONES.map((zone, index) =>
        fleet.startDaemon({ name: `${zone}-${index}`, zone, extra: PLATFORM_SETTINGS }),
      ),
    );
    await waitUntilAllAlive(daemons);
    await waitUntilInForce(1, daemons);
    store.put(operatorConfiguration(3, 6_000));
    await waitUntilInForce(3, daemons);
    store.put(operatorConfiguration(4, 6_000, 1.5));
    await waitUntilInForce(4, daemons);
    assert.equal(
      await Promise.all(daemons.map((daemon) => routeAt(daemon, '/route-5999/x'))),
      daemons.map(() => 'r-5999'),
    );
  });
});

test('a daemon whose link is slow reads a configuration to its end', async () => {
  await withStore(async (store, fleet) => {
    store.put(operatorConfiguration(3, 2_000));
    // A read of the whole configuration takes several times as long as the response time-out.
    store.bytesPerSecond = 150_000;
    const daemon = await fleet.startDaemon({ name: 'slow', zone: 'coq', extra: PLATFORM_SETTINGS });
    await eventually('the version is in force', async () => (await versionInForce(daemon)) === 3);
  });
});

test.run();
