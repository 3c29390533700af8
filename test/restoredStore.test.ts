import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import {
  operatorConfiguration,
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

test.run();
