// Seven of twelve machines lose power at once, the readers of the store among them; the configuration changes.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { Buffer } from 'node:buffer';
import { join } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { configuration } from '../lib/deployment.mjs';
import { runCase } from '../lib/Mesh.mjs';

const ZONES = ['a', 'b', 'c', 'd'];
const SERVICES = ['bookings', 'survey'];
const CONFIG_DEADLINE_S = 2;
/** `herd_kill`: 0.6 of twelve machines, rounded down, dark for 5 s. */
const DARK_MACHINES = 7;
const DARK_MS = 5_000;
const CHANGE_AFTER_MS = 200;
const PAUSE_MS = 9_000;
const HERDS = 3;
const ORDER_INTERVAL_MS = 100;
const RECENT_MS = 3_000;

function version(number, service) {
  const rules = [{ name: 'orders', kind: 'unsafe', path: '/order/', service }];
  return configuration(number, rules, [...SERVICES, 'catalogue']);
}

/** The machines that read the store last come first; a server of each service keeps its power. */
function chooseHerd(machines) {
  const readsStore = ({ storePath }) => Date.now() - storePath.lastPollAt < RECENT_MS;
  const readers = machines.filter(readsStore);
  const others = machines.filter((machine) => !readsStore(machine));
  const spared = SERVICES.map((name) => others.find(({ service }) => service === name));
  return [...readers, ...others.filter((machine) => !spared.includes(machine))].slice(
    0,
    DARK_MACHINES,
  );
}

await runCase(join(import.meta.dirname, 'record.txt'), async (mesh, trouble) => {
  await mesh.start(
    ZONES.flatMap((zone) => [
      { service: 'bookings', zone },
      { service: 'survey', zone },
      { service: 'catalogue', zone },
    ]),
    version(3, SERVICES[0]),
  );
  const dark = new Set();
  const orders = [];
  const load = setInterval(() => {
    for (const machine of mesh.machines.filter((candidate) => !dark.has(candidate))) {
      orders.push(machine.send('/order/1', { method: 'POST', body: Buffer.alloc(400) }));
    }
  }, ORDER_INTERVAL_MS);
  const changes = [];
  for (let count = 1; count <= HERDS; count += 1) {
    await delay(PAUSE_MS);
    const herd = trouble ? chooseHerd(mesh.machines) : [];
    for (const machine of herd) {
      dark.add(machine);
      machine.losePower();
    }
    await delay(CHANGE_AFTER_MS);
    const service = SERVICES[count % SERVICES.length];
    mesh.store.putConfiguration(version(3 + 2 * count, service));
    const { t } = mesh.record('acknowledged', { version: 3 + 2 * count, service });
    changes.push({ t, service, touched: new Set(herd.map(({ name }) => name)) });
    await delay(DARK_MS - CHANGE_AFTER_MS);
    await Promise.all(herd.map((machine) => machine.regainPower()));
    dark.clear();
  }
  await delay(1_000);
  clearInterval(load);
  await Promise.all(orders);
  const runOf = new Map(mesh.eventsOf('run').map((run) => [run.attempt, run]));
  return mesh.eventsOf('send').flatMap(({ attempt, machine, t }) => {
    const newest = changes.findLast((change) => change.t + CONFIG_DEADLINE_S < t);
    const isInForce = newest && newest === changes.findLast((change) => change.t < t);
    const run = runOf.get(attempt);
    if (!isInForce || newest.touched.has(machine) || !run || run.service === newest.service) {
      return [];
    }
    return [
      `CONFIG: ${attempt}, sent by ${machine} ${(t - newest.t).toFixed(2)} s after the acknowledgement, ` +
        `was run by ${run.service}, the route's old service`,
    ];
  });
});
