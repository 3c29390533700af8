// A server leaves, the daemon that acknowledged it is killed and restarted, a late heartbeat arrives.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { Buffer } from 'node:buffer';
import { join } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { configuration, DRAIN_S } from '../lib/deployment.mjs';
import { runCase } from '../lib/Mesh.mjs';

const SERVICES = ['catalogue', 'bookings'];
const RULES = [
  { name: 'lookups', kind: 'safe', path: '/look/', service: 'catalogue' },
  { name: 'orders', kind: 'unsafe', path: '/order/', service: 'bookings' },
];
const ORDER_INTERVAL_MS = 12;
/** Time from the acknowledged departure to the kill of the daemon. */
const KILL_AFTER_MS = 200;
/** Delay of the late heartbeat, which was sent before the departure. */
const HEARTBEAT_DELAY_MS = 4_500;
/** Time for which the server goes on serving after its departure was acknowledged. */
const SERVES_ON_MS = 11_000;
/** `stable_window_s`: a machine is in touch this long after its process was killed or started. */
const STABLE_WINDOW_S = 3;

await runCase(join(import.meta.dirname, 'record.txt'), async (mesh, trouble) => {
  await mesh.start(
    [
      { service: 'catalogue', zone: 'a' },
      { service: 'bookings', zone: 'a', workMs: () => 80 },
      { service: 'bookings', zone: 'b', workMs: () => 80 },
      // One process of ten machines is killed.
      ...['a', 'a', 'b', 'b', 'c', 'c', 'c'].map((zone) => ({ service: 'catalogue', zone })),
    ],
    configuration(3, RULES, SERVICES),
  );
  const [caller, leaver] = mesh.machines;
  const { server } = leaver;
  const orders = [];
  const load = setInterval(() => {
    orders.push(caller.send('/order/1', { method: 'POST', body: Buffer.alloc(400) }));
  }, ORDER_INTERVAL_MS);
  await delay(2_000);

  server.stopHeartbeats();
  const heartbeat = server.nextHeartbeat();
  const late = delay(HEARTBEAT_DELAY_MS).then(async () => {
    const status = await server.sendHeartbeat(heartbeat);
    mesh.record('late heartbeat', { server: server.id, seq: heartbeat.seq, status });
  });
  await delay(100);
  const status = await server.leave();
  const departure = mesh.record('leave', { server: server.id, status });
  if (status !== 200) throw new Error(`the departure got status ${status}`);
  await delay(KILL_AFTER_MS);
  if (trouble) leaver.signal('SIGKILL');
  await late;
  await delay(SERVES_ON_MS - HEARTBEAT_DELAY_MS);
  server.exit();
  mesh.record('server ended', { server: server.id });
  await delay(1_000);
  clearInterval(load);
  const answers = await Promise.all(orders);

  const startedAt = mesh.eventsOf('start').at(-1).t;
  const inTouchFrom = trouble ? startedAt + STABLE_WINDOW_S : 0;
  const breaches = mesh
    .eventsOf('run')
    .filter((run) => run.server === server.id)
    .filter(({ t }) => t > departure.t + DRAIN_S && t > inTouchFrom);
  const failed = answers.filter(({ status: answered }) => answered === 0 || answered >= 500);
  mesh.record('summary', { breaches: breaches.length, failed: failed.length });
  return breaches.map(
    ({ attempt, t }) =>
      `DRAIN: ${attempt} reached ${server.id} ${(t - departure.t).toFixed(2)} s after its departure was acknowledged`,
  );
});
