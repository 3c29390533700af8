// A daemon is restarted; while it stops, the planned removal of the server beside it ends.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { Buffer } from 'node:buffer';
import { join } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { configuration, DRAIN_S, GRACE_S } from '../lib/deployment.mjs';
import { runCase } from '../lib/Mesh.mjs';

const SERVICES = ['catalogue', 'bookings'];
const RULES = [
  { name: 'lookups', kind: 'safe', path: '/look/', service: 'catalogue' },
  { name: 'orders', kind: 'unsafe', path: '/order/', service: 'bookings' },
];
const ORDER_INTERVAL_MS = 100;
/** Time from the acknowledged `draining` to the restart of the daemon. */
const RESTART_AFTER_MS = 1_600;
/** Time from the acknowledged `draining` to the end of the server. */
const SERVER_ENDS_AFTER_MS = DRAIN_S * 1_000 + 200;

await runCase(join(import.meta.dirname, 'record.txt'), async (mesh, trouble) => {
  await mesh.start(
    [
      { service: 'catalogue', zone: 'a' },
      { service: 'catalogue', zone: 'b' },
      // One of the four servers of this service is taken away.
      { service: 'catalogue', zone: 'c' },
      { service: 'catalogue', zone: 'd' },
      { service: 'bookings', zone: 'b', workMs: () => 1_000 },
      { service: 'bookings', zone: 'c', workMs: () => 1_000 },
    ],
    configuration(3, RULES, SERVICES),
  );
  const [machine] = mesh.machines;
  const { server } = machine;
  const orders = [];
  let misses = 0;
  const readyTimer = setInterval(() => {
    void machine.isReady().then((isReady) => {
      misses = isReady ? 0 : misses + 1;
    });
  }, 1_000);
  const load = setInterval(() => {
    // After two misses in a row, clients get no new work.
    if (misses < 2) {
      orders.push(machine.send('/order/1', { method: 'POST', body: Buffer.alloc(400) }));
    }
  }, ORDER_INTERVAL_MS);
  await delay(2_000);

  // The planned removal of the server and its machine.
  server.state = 'draining';
  const status = await server.beat();
  mesh.record('draining', { machine: machine.name, status });
  machine.restarts = false;
  let stopped;
  const serverEnds = delay(SERVER_ENDS_AFTER_MS).then(async () => {
    server.stopHeartbeats();
    await server.leave();
    server.exit();
    mesh.record('server ended', { machine: machine.name });
    // The platform stops the daemon after its server has ended.
    if (stopped) machine.signal('SIGTERM');
    else stopped = machine.stopDaemon();
  });
  if (trouble) {
    // The planned restart of the daemon.
    await delay(RESTART_AFTER_MS);
    stopped = machine.stopDaemon();
  }
  await serverEnds;
  await stopped;
  clearInterval(load);
  clearInterval(readyTimer);
  const answers = await Promise.all(orders);
  const [first] = mesh.eventsOf('signal');
  const ended = mesh.eventsOf('end')[0];
  const ranAt = new Map(mesh.eventsOf('run').map(({ attempt, t }) => [attempt, t]));
  const lost = answers.filter(
    ({ attempt, status: answered }) => answered === 0 && ranAt.has(attempt),
  );
  mesh.record('stop', { signalAt: first.t, endAt: ended.t, lost: lost.length });
  return lost.map(
    ({ attempt }) =>
      `LOST: ${attempt} was passed on at ${ranAt.get(attempt)} s; its connection ended without an answer ` +
      `when the daemon ended ${(ended.t - first.t).toFixed(1)} s after SIGTERM, of ${GRACE_S} s`,
  );
});
