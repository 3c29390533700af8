// The machine that reads the store for the others is cut off from it; the configuration changes.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { Buffer } from 'node:buffer';
import { join } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { configuration } from '../lib/deployment.mjs';
import { runCase } from '../lib/Mesh.mjs';

const SERVICES = ['bookings', 'survey'];
const CONFIG_DEADLINE_S = 2;
/** `core_cut` of the site: one machine, for 5.5 s. */
const CUT_MACHINES = 1;
const CUT_MS = 5_500;
const CHANGE_AFTER_MS = 300;
const PAUSE_MS = 6_000;
const CUTS = 3;
const ORDER_INTERVAL_MS = 50;
const RECENT_MS = 3_000;

function version(number, service) {
  return configuration(
    number,
    [{ name: 'orders', kind: 'unsafe', path: '/order/', service }],
    SERVICES,
  );
}

await runCase(join(import.meta.dirname, 'record.txt'), async (mesh, trouble) => {
  await mesh.start(
    [
      { service: 'bookings', zone: 'a' },
      { service: 'survey', zone: 'a' },
      { service: 'bookings', zone: 'a' },
      { service: 'survey', zone: 'a' },
    ],
    version(3, SERVICES[0]),
  );
  const orders = [];
  const load = setInterval(() => {
    for (const machine of mesh.machines) {
      orders.push(machine.send('/order/1', { method: 'POST', body: Buffer.alloc(400) }));
    }
  }, ORDER_INTERVAL_MS);
  const changes = [];
  for (let count = 1; count <= CUTS; count += 1) {
    await delay(PAUSE_MS);
    const readers = mesh.machines.filter(
      ({ storePath }) => Date.now() - storePath.lastPollAt < RECENT_MS,
    );
    const cut = trouble ? readers.slice(0, CUT_MACHINES) : [];
    for (const { storePath } of cut) storePath.cut();
    mesh.record('cut', { machines: cut.map(({ name }) => name) });
    await delay(CHANGE_AFTER_MS);
    const service = SERVICES[count % SERVICES.length];
    mesh.store.putConfiguration(version(3 + 2 * count, service));
    const { t } = mesh.record('acknowledged', { version: 3 + 2 * count, service });
    changes.push({ t, service, cut: new Set(cut.map(({ name }) => name)) });
    await delay(CUT_MS - CHANGE_AFTER_MS);
    for (const { storePath } of cut) storePath.heal();
    mesh.record('healed', {});
  }
  await delay(1_000);
  clearInterval(load);
  await Promise.all(orders);
  const runOf = new Map(mesh.eventsOf('run').map((run) => [run.attempt, run]));
  return mesh.eventsOf('send').flatMap(({ attempt, machine, t }) => {
    const newest = changes.findLast((change) => change.t + CONFIG_DEADLINE_S < t);
    const isInForce = newest && newest === changes.findLast((change) => change.t < t);
    const run = runOf.get(attempt);
    if (!isInForce || newest.cut.has(machine) || !run || run.service === newest.service) return [];
    return [
      `CONFIG: ${attempt}, sent by ${machine} ${(t - newest.t).toFixed(2)} s after the acknowledgement, ` +
        `was run by ${run.service}, the route's old service`,
    ];
  });
});
