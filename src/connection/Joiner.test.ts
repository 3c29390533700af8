import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { Address, DaemonId } from '../common/Types';
import Joiner from './Joiner';
import type { Contact, ContactStore, Membership } from './Types';

const SELF = { id: 'self' as DaemonId, address: '10.0.0.1:7000' as Address, zone: 'a' };
const UNRESPONSIVE_COUNT = 3;

function contact(number: number): Contact {
  return { id: `daemon-${number}` as DaemonId, address: `10.0.0.${number}:7000` as Address };
}

test('unresponsive contacts do not delay joining through a responsive one', async () => {
  const contacts = Array.from({ length: UNRESPONSIVE_COUNT + 1 }, (_, number) =>
    contact(number + 2),
  );
  const known: Contact[] = [SELF];
  const members = {
    self: SELF,
    live: () => known,
    get: () => undefined,
    onChange: () => ({ dispose: () => undefined }),
  } as unknown as Membership;
  const store: ContactStore = {
    contacts: async () => contacts,
    announce: async () => undefined,
  };
  const end = new AbortController();
  const responsive = contacts.at(-1)!;
  let unresponsiveCount = 0;
  const introduced = new Promise<void>((resolve) => {
    const introducer = {
      introduce: ({ id }: Contact) => {
        if (id !== responsive.id) {
          unresponsiveCount += 1;
          return new Promise<boolean>(() => {});
        }
        known.push(responsive);
        resolve();
        return Promise.resolve(true);
      },
    };
    const options = { seeds: () => [], refreshMs: 10_000 };
    const logger = { log: () => undefined };
    const dependencies = [store, members, introducer, options] as const;
    const joiner = new Joiner(...dependencies, new ManualClock(), new SeededRandom(2), logger);
    void joiner.run(end.signal);
  });
  await introduced;
  end.abort();
  assert.is(known.length, 2);
  assert.ok(unresponsiveCount <= UNRESPONSIVE_COUNT);
});

test.run();
