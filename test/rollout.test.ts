import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { type DaemonReady } from '../stand-in/Fleet';
import PlatformStoreServer from '../stand-in/PlatformStoreServer';

const VERSIONS = ['v1', 'v1', 'v2', 'v2'];
const HOST = 'stock.example';
const DURATION_S = 12;
const CONFIGURATION = {
  version: 1,
  base_version: 0,
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_s: 3,
    idle_timeout_s: 15,
  },
  listeners: [
    {
      host: HOST,
      rules: [
        {
          name: 'stock',
          kind: 'safe',
          target_latency_s: 0.4,
          priority: 1,
          match: { path_prefix: '/' },
          action: { service: 'stock', timeout_s: 1.2, max_attempts: 2 },
        },
      ],
    },
  ],
  clusters: [{ name: 'stock', health_path: '/health', max_conns: 64, protocol: 'h1', tls: false }],
};

/** Runs a rollout of v2 on four daemons with an upstream each, and returns what was recorded. */
async function rollOut(statusOf: (version: string) => number) {
  const store = new PlatformStoreServer();
  const fleet = new Fleet();
  const calls: Record<string, number> = { v1: 0, v2: 0 };
  const servers = VERSIONS.map((version) =>
    createServer((message, response) => {
      calls[version]! += 1;
      const id = message.headers['azurestream-attempt-id'] ?? '';
      const headers = { 'azurestream-attempt-id': id, 'azurestream-response-signature': 'x' };
      response.writeHead(statusOf(version), headers);
      response.end('ok');
    }),
  );
  const timers: NodeJS.Timeout[] = [];
  let isOver = false;
  try {
    fleet.useLog(await store.listen());
    store.put(JSON.stringify(CONFIGURATION));
    const ready: DaemonReady['listening'][] = [];
    for (const index of VERSIONS.keys()) {
      const daemon = await fleet.startDaemon({
        name: `coq-${index}`,
        zone: 'coq',
        seeds: ready.map(({ peers }) => peers),
        extra: {
          log: 'kind = "platform"\nreaders_per_zone = 1\nstale = "6s"',
          peers: 'heartbeat = "1s"',
          rollouts: 'hold = "3s"',
        },
      });
      ready.push(daemon.ready.listening);
    }
    const start = async (index: number) => {
      const server = servers[index]!;
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
      const version = VERSIONS[index];
      const body = JSON.stringify({
        service: 'stock',
        address,
        state: 'serving',
        version,
        slots: 8,
      });
      const announce = () =>
        void fetch(`http://${ready[index]!.control}/upstream`, { method: 'PUT', body }).catch(
          () => undefined,
        );
      announce();
      timers.push(setInterval(announce, 1_000));
    };
    await start(0);
    await start(1);
    await delay(4_000);
    const call = async (index: number) => {
      while (!isOver) {
        const headers = { host: HOST, 'azurestream-attempt-id': `${index}-${Math.random()}` };
        const response = await request(`http://${ready[index]!.calls}/`, { headers });
        await response.body.dump();
        await delay(20);
      }
    };
    const callers = [0, 1, 2, 3].map(call);
    const order = { service: 'stock', target_version: 'v2', duration_s: DURATION_S };
    store.put(JSON.stringify(order), 'keyed.op', 'rollout/stock');
    await delay(500);
    await start(2);
    await start(3);
    await delay(DURATION_S * 1_000 - 500);
    const dump = await (await fetch(`http://${ready[3]!.control}/dump`)).json();
    isOver = true;
    await Promise.all(callers);
    return { records: store.values('keyed.status'), calls, dump: dump as { rollouts: unknown } };
  } finally {
    isOver = true;
    for (const timer of timers) clearInterval(timer);
    await fleet.dispose();
    for (const server of servers) server.close();
    for (const server of servers) server.closeAllConnections();
    store.dispose();
  }
}

// Guards against a path from order to verdict that breaks between the store, the gossip and the calls.
test('a good version gets all calls and is recorded as completed before the deadline', async () => {
  const { records, calls, dump } = await rollOut(() => 200);
  assert.equal(
    records,
    ['running', 'completed'].map((state) => JSON.stringify({ state, target_version: 'v2' })),
    JSON.stringify([calls, dump.rollouts]),
  );
});

// Guards against a bad version that gets more calls than permitted.
test('a version whose responses all fail is rolled back after a few calls', async () => {
  const { records, calls, dump } = await rollOut((version) => (version === 'v2' ? 500 : 200));
  const { v1, v2 } = calls;
  assert.equal(
    records,
    ['running', 'rolled_back'].map((state) => JSON.stringify({ state, target_version: 'v2' })),
    JSON.stringify([calls, dump.rollouts]),
  );
  assert.ok(v2! <= 0.1 * (v1! + v2!) + 50, `${v2} of ${v1! + v2!}`);
});

test.run();
