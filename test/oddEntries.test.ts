import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { eventually } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';
import {
  freePort,
  heartbeat,
  operatorConfiguration,
  SHORT_PERIODS,
  waitUntilInForce,
  type DaemonProcess,
} from './support';

const CONTACTS_TOPIC = 'keyed.azurestream-contacts';
const DEPTH = 200_000;
const DEEP = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
const ODD_ADDRESSES = [
  '10.0.0.9:99999',
  '10.0.0.9:0',
  '10.0.0.9:-1',
  '10.0.0.9',
  '999.0.0.9:80',
  'a b:80',
  '10.0.0.9:80/x?y#z',
  'user@10.0.0.9:80',
  ':80',
  '__proto__:80',
];

/** Sends a heartbeat as raw bytes, as fetch would refuse some of the paths and bodies. */
async function beat(address: string, id: string, body: string | Buffer): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const bytes = Buffer.from(body);
  socket.write(
    `POST /-/Instances.Heartbeat/${id} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${bytes.length}\r\n\r\n`,
  );
  socket.write(bytes);
  return (await text(socket)).split(' ')[1] ?? 'none';
}

/** Runs a test on two daemons of a platform store; whatever came, both run on and follow the store. */
async function withDaemons(
  run: (
    store: PlatformStoreServer,
    daemons: readonly DaemonProcess[],
    announcements: readonly string[],
  ) => Promise<void>,
): Promise<void> {
  const fleet = new Fleet();
  const store = new PlatformStoreServer();
  try {
    fleet.useLog(await store.listen());
    store.put(operatorConfiguration(1, 1));
    const ports = [await freePort(), await freePort()];
    const announcements = ports.map((port) => `127.0.0.1:${port}`);
    const daemons = await Promise.all(
      announcements.map((address, index) =>
        fleet.startDaemon({
          name: `coq-${index}`,
          zone: 'coq',
          extra: {
            ...SHORT_PERIODS,
            log: 'kind = "platform"\nretention = "2s"\nstale = "3s"',
            upstream: `lease = "60s"\nannouncements = "${address}"`,
          },
        }),
      ),
    );
    await waitUntilInForce(1, daemons);
    await run(store, daemons, announcements);
    store.put(operatorConfiguration(7, 1));
    await waitUntilInForce(7, daemons);
    assert.equal(
      daemons.map(({ child }) => child.exitCode),
      [null, null],
    );
  } finally {
    await fleet.dispose();
    store.dispose();
  }
}

/** The upstreams that a daemon knows, as `<address of the daemon> <service> <state>`. */
async function upstreamsAt({ ready }: DaemonProcess): Promise<string[]> {
  const answer = await fetch(`http://${ready.listening.control}/members`);
  const members = (await answer.json()) as { id: string; service: string; state: string }[];
  return members.map(({ id, service, state }) => `${id} ${service} ${state}`).sort();
}

test('an odd heartbeat names no upstream; the registered one keeps serving', async () => {
  await withDaemons(async (_store, daemons, [first]) => {
    const upstream = '127.0.0.1:9';
    assert.is(await beat(first!, 'i-1', heartbeat(upstream)), '200');
    const serving = ['coq-0 stock serving', 'coq-1 null none'];
    await eventually('both daemons know the upstream', async () => {
      const known = await Promise.all(daemons.map(upstreamsAt));
      return known.every((entries) => entries.join() === serving.join());
    });
    const odd = [
      ...ODD_ADDRESSES.map((address) => heartbeat(address, { seq: 2 })),
      heartbeat(upstream, { seq: 1e300 }),
      heartbeat(upstream, { seq: 2, slots: 2 ** 60 }),
      heartbeat(upstream, { seq: 2, born: 2 ** 53 }),
      heartbeat(upstream, { seq: 2, cold_left_s: 'soon' }),
      heartbeat(upstream, { seq: 2, state: 'asleep' }),
      heartbeat(upstream, { seq: 2, service: '' }),
      heartbeat(upstream, { seq: 2 }).replace('"seq":2', '"seq":1e999'),
      heartbeat(upstream, { seq: 2 }).replace('"seq":2', `"seq":${DEEP}`),
      DEEP,
      'null',
      '',
      '{"__proto__":{"service":"stock"}}',
      Buffer.from([0xff, 0xfe, 0x7b, 0x00]),
    ];
    const statuses: string[] = [];
    for (const body of odd) statuses.push(await beat(first!, 'i-2', body));
    assert.equal(
      statuses,
      odd.map(() => '400'),
    );
    // Ids that can't be decoded, and a service that no configuration names.
    for (const id of ['%E0%A4%A', '%zz', '__proto__', '%00']) {
      await beat(first!, id, heartbeat('127.0.0.1:99999'));
    }
    await beat(first!, 'i-3', heartbeat('127.0.0.1:8', { service: 'unknown', born: 2_000 }));
    assert.equal(await Promise.all(daemons.map(upstreamsAt)), [serving, serving]);
  });
});

test('an odd contact is passed over; daemons find each other and run on', async () => {
  await withDaemons(async (store, daemons) => {
    const contacts: [key: string, value: string][] = [
      ...ODD_ADDRESSES.map((address): [string, string] => [
        `odd-${address}`,
        JSON.stringify({ address }),
      ]),
      ['', '{"address":"127.0.0.1:9"}'],
      ['deep', DEEP],
      ['deeper', `{"address":${DEEP}}`],
      ['number', '{"address":1e999}'],
      ['empty', '{}'],
      ['text', 'no JSON'],
      ['__proto__', '{"__proto__":{"address":"127.0.0.1:9"}}'],
      ['bytes', '\u0000\ufffd'],
    ];
    for (const [key, value] of contacts) store.put(value, CONTACTS_TOPIC, key);
    // Daemons look through the contacts several times in this many versions.
    for (let version = 2; version < 6; version += 1) {
      store.put(operatorConfiguration(version, 1));
      await waitUntilInForce(version, daemons);
      await delay(1_500);
    }
  });
});

test('an odd record of the operator changes nothing, and the next version comes into force', async () => {
  await withDaemons(async (store, daemons) => {
    store.put(operatorConfiguration(2, 1));
    for (const value of [DEEP, 'null', '{"version":1e999}', 'no JSON', '']) store.put(value);
    await waitUntilInForce(2, daemons);
  });
});

test.run();
