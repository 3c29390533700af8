import { createInterface } from 'node:readline';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import TcpProxy from '../stand-in/TcpProxy';
import {
  operatorConfiguration,
  scenario,
  SHORT_PERIODS,
  waitUntilAllAlive,
  waitUntilInForce,
  type DaemonProcess,
} from './support';

/** A line that a daemon logged. */
interface LogLine {
  readonly time: string;
  readonly message: string;
  readonly version?: number;
  readonly peer?: string;
}

interface Member {
  readonly name: string;
  readonly daemon: DaemonProcess;
  readonly lines: readonly LogLine[];
  /** Its way to the store. */
  readonly path: TcpProxy;
}

/** Runs a test on daemons, one for each zone given, each of which reaches the store by a way of its own. */
async function withMembers(
  zones: readonly string[],
  run: (store: PlatformStoreServer, members: readonly Member[]) => Promise<void>,
): Promise<void> {
  const fleet = new Fleet();
  const store = new PlatformStoreServer();
  const paths = zones.map(() => new TcpProxy());
  try {
    const storeAddress = `127.0.0.1:${await store.listen()}`;
    store.put(operatorConfiguration(1, 1));
    const members = await Promise.all(
      paths.map(async (path, index) => {
        const [, port] = (await path.listen()).split(':');
        path.forwardTo(storeAddress);
        fleet.useLog(Number(port));
        const name = `${zones[index]}-${index}`;
        const daemon = await fleet.startDaemon({
          name,
          zone: zones[index]!,
          extra: {
            ...SHORT_PERIODS,
            log: 'kind = "platform"\nreader_zones = 3\nreaders_per_zone = 1',
          },
        });
        const lines: LogLine[] = [];
        createInterface({ input: daemon.child.stdout! }).on('line', (line) => {
          lines.push(JSON.parse(line) as LogLine);
        });
        return { name, daemon, lines, path };
      }),
    );
    const daemons = members.map(({ daemon }) => daemon);
    await waitUntilInForce(1, daemons);
    await waitUntilAllAlive(daemons);
    await run(store, members);
  } finally {
    await fleet.dispose();
    for (const path of paths) path.dispose();
    store.dispose();
  }
}

async function readsStore({ daemon }: Member): Promise<boolean> {
  const answer = await fetch(`http://${daemon.ready.listening.control}/dump`);
  return ((await answer.json()) as { log: { reading: boolean } }).log.reading;
}

/** Waits until exactly so many daemons read the store, and returns these and the others. */
async function splitReaders(
  members: readonly Member[],
  count: number,
): Promise<{ readers: Member[]; others: Member[] }> {
  let reading: boolean[] = [];
  await eventually(`${count} daemons read the store`, async () => {
    reading = await Promise.all(members.map(readsStore));
    return reading.filter(Boolean).length === count;
  });
  return {
    readers: members.filter((_, index) => reading[index]),
    others: members.filter((_, index) => !reading[index]),
  };
}

function lineOf(
  { lines }: Member,
  message: string,
  peers?: readonly string[],
): LogLine | undefined {
  return lines.find((line) => line.message === message && (peers?.includes(line.peer!) ?? true));
}

function timeInForce({ lines }: Member, version: number): string {
  const line = lines.find(
    (candidate) =>
      candidate.message === 'A version came into force.' && candidate.version === version,
  );
  return line!.time;
}

// Guards against a version that isn't in force in time, as those who read the store are lost.
scenario('a version comes into force before the loss of all readers is confirmed', () =>
  withMembers(
    ['coq', 'rogers', 'kootenay', 'pine', 'coq', 'pine', 'rogers'],
    async (store, members) => {
      const { readers, others } = await splitReaders(members, 3);
      for (const { daemon } of readers) daemon.child.kill('SIGSTOP');
      store.put(operatorConfiguration(2, 1));
      await waitUntilInForce(
        2,
        others.map(({ daemon }) => daemon),
      );
      const stopped = readers.map(({ name }) => name);
      await eventually('some daemon has lost a reader', () =>
        others.some((member) => Boolean(lineOf(member, 'Lost a peer.', stopped))),
      );
      const lostAt = others.map((member) => lineOf(member, 'Lost a peer.', stopped)?.time ?? '9');
      const firstLostAt = lostAt.sort()[0]!;
      const late = others.filter((member) => timeInForce(member, 2) > firstLostAt);
      assert.equal(
        late.map(({ name }) => name),
        [],
      );
    },
  ),
);

// Guards against a zone whose only reader is cut off from the store.
scenario('in a mesh of one zone a version comes into force before a cut of one reader shows', () =>
  withMembers(['coq', 'coq', 'coq', 'coq', 'coq'], async (store, members) => {
    const { readers } = await splitReaders(members, 3);
    const [cut] = readers;
    cut!.path.cut();
    store.put(operatorConfiguration(2, 1));
    const others = members.filter((member) => member !== cut);
    await waitUntilInForce(
      2,
      others.map(({ daemon }) => daemon),
    );
    await eventually('the reader has lost the store', () =>
      Boolean(lineOf(cut!, 'Lost the store.')),
    );
    const lostAt = lineOf(cut!, 'Lost the store.')!.time;
    assert.ok(others.every((member) => timeInForce(member, 2) < lostAt));
  }),
);

scenario('a version comes into force while all readers are cut off from the store', () =>
  withMembers(['coq', 'coq', 'coq', 'coq', 'coq'], async (store, members) => {
    const { readers, others } = await splitReaders(members, 3);
    for (const { path } of readers) path.cut();
    store.put(operatorConfiguration(2, 1));
    await waitUntilInForce(
      2,
      members.map(({ daemon }) => daemon),
    );
    // The others read, and the readers hear of it from them.
    assert.ok(others.some((member) => lineOf(member, 'Reads the store.')));
  }),
);

test.run();
