/**
 * A new configuration puts a route of unsafe requests under a host name with a port, beside a host that differs in the
 * port only. Rules: TWICE, a request that isn't idempotent runs more than once; ROUTE, another service runs it.
 */
/* eslint import-x/extensions: off -- Node.js resolves modules by their full names only */
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { nextId, send } from '../lib-2/clients.mjs';
import configuration, { ruleFor } from '../lib-2/configuration.mjs';
import runCase, { TROUBLE, whenReady } from '../lib-2/runCase.mjs';
import Server from '../lib-2/server.mjs';

const STOCK_HOST = 'depot.internal:8080';
const DESK_HOST = 'orders.internal';
const NEW_DESK_HOST = process.env.HOST ?? 'depot.internal:9090';
const TIMEOUT_S = 2;
const WORK_MS = 20;
/** An order takes longer than nine tenths of the route's `target_latency_s`, and less than its `timeout_s`. */
const ORDER_MS = 1_500;
const LOOKUPS = 60;
const ORDERS = 12;
/** Longer than `config_deadline_s`. */
const SETTLE_MS = 5_000;

/** A server that takes longer for orders. */
class Depot extends Server {
  async handle(request, response) {
    if (request.method === 'POST') this.workMs = ORDER_MS;
    else this.workMs = WORK_MS;
    await super.handle(request, response);
  }
}

runCase(import.meta.url, {}, async ({ deployment, store, servers, record }) => {
  const services = ['stock', 'desk'];
  const publish = (version, deskHost) => {
    const listeners = [
      { host: STOCK_HOST, rules: [ruleFor('stock', 'safe', '/', TIMEOUT_S)] },
      { host: deskHost, rules: [ruleFor('desk', 'unsafe', '/', TIMEOUT_S)] },
    ];
    store.put('keyed.op', 'config', configuration(version, services, { listeners }));
    record(
      `acknowledged: version ${version}; ${STOCK_HOST}: stock, safe; ${deskHost}: desk, unsafe`,
    );
  };
  publish(7, DESK_HOST);
  const machines = ['stock', 'stock', 'desk', 'desk'].map((service, index) =>
    deployment.addMachine({ zone: `zone-${index % 2}`, service }),
  );
  await Promise.all(machines.map((machine) => deployment.start(machine)));
  machines.forEach((machine, index) => servers.push(new Depot(machine, { id: `i-${index}` })));
  await Promise.all(servers.map((server) => server.start()));
  await whenReady(machines);
  await delay(3_000);

  const ask = (index, id, method, host) =>
    send(machines[index % machines.length].outbound, {
      id,
      method,
      path: '/a',
      headers: { host },
      body: method === 'POST' ? 'an order' : undefined,
      deadlineMs: 4_000,
    });
  for (let index = 0; index < LOOKUPS; index += 1) {
    const { id, status } = await ask(index, nextId('lookup'), 'GET', STOCK_HOST);
    record(`${id} GET ${STOCK_HOST}: ${status}`);
  }
  if (TROUBLE) publish(9, NEW_DESK_HOST);
  await delay(SETTLE_MS);
  const host = TROUBLE ? NEW_DESK_HOST : DESK_HOST;
  const orders = [];
  for (let index = 0; index < ORDERS; index += 1) {
    orders.push(ask(index, nextId('order'), 'POST', host));
    await delay(ORDER_MS / 2);
  }
  const results = await Promise.all(orders);
  await delay(2 * ORDER_MS);

  const runsOf = (id) => servers.filter(({ runs }) => runs.includes(id));
  for (const { id, kind, status, atMs } of results) {
    const runs = runsOf(id).map((server) => `${server.id} of ${server.machine.service}`);
    record(`${id} POST ${host}: ${kind} ${status} after ${atMs} ms; run by ${runs.join(' and ')}`);
  }
  const twice = results.filter(({ id }) => runsOf(id).length > 1);
  const foreign = results.filter(({ id }) =>
    runsOf(id).some(({ machine }) => machine.service !== 'desk'),
  );
  const seen =
    `of ${ORDERS} orders to ${host}, an unsafe route to desk, ${twice.length} ran at more than one server, and ` +
    `${foreign.length} at servers of another service`;
  return { held: twice.length === 0 && foreign.length === 0, seen };
});
