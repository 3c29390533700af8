import { setMaxListeners } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { Address, DaemonId } from '../common/Types';
import Joiner from './Joiner';
import type { Contact, ContactStore, Membership } from './Types';

const SELF = { id: 'self' as DaemonId, address: '10.0.0.1:7000' as Address, zone: 'a' };
const UNRESPONSIVE_COUNT = 3;
const STARTED_AT_ONCE = 28;

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
    isDurable: false,
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

test('of daemons that all start at once with an empty store, few store their contacts', async () => {
  const stored = new Map<DaemonId, Contact>();
  let reads = 0;
  const store: ContactStore = {
    isDurable: true,
    contacts: async () => {
      reads += 1;
      return [...stored.values()];
    },
    announce: async (announced) => void stored.set(announced.id, announced),
  };
  const end = new AbortController();
  setMaxListeners(STARTED_AT_ONCE, end.signal);
  const joined = Array.from({ length: STARTED_AT_ONCE }, (_, number) => {
    const self = { ...contact(number), zone: 'a' };
    const known: Contact[] = [self];
    const members = {
      self,
      live: () => known,
      get: () => undefined,
      onChange: () => ({ dispose: () => undefined }),
    } as unknown as Membership;
    const introducer = {
      introduce: async (other: Contact) => {
        known.push(other);
        return true;
      },
    };
    const options = { seeds: () => [], refreshMs: 10_000 };
    const logger = { log: () => undefined };
    const dependencies = [store, members, introducer, options] as const;
    const joiner = new Joiner(
      ...dependencies,
      new ManualClock(),
      new SeededRandom(number + 1),
      logger,
    );
    void joiner.run(end.signal);
    return known;
  });
  while (joined.some((known) => known.length === 1)) {
    // The daemon that stored its contact first is alone until another one contacts it.
    const alone = joined.filter((known) => known.length === 1);
    if (alone.length === 1 && stored.has(alone[0]![0]!.id)) break;
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  end.abort();
  assert.ok(stored.size <= STARTED_AT_ONCE / 4, `${stored.size} contacts were stored`);
  assert.ok(reads <= 2 * STARTED_AT_ONCE + stored.size, `${reads} reads`);
});

test.run();
