/**
 * A new configuration moves a part of a route's paths to a new service, whose name has an underscore. Rule: CONFIG, a
 * request is run by the old service.
 */
/* eslint import-x/extensions: off -- Node.js resolves modules by their full names only */
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { nextId, send } from '../lib-2/clients.mjs';
import configuration, { SAFE_HOST, ruleFor } from '../lib-2/configuration.mjs';
import runCase, { TROUBLE, whenReady } from '../lib-2/runCase.mjs';
import Server from '../lib-2/server.mjs';

const CONFIG_DEADLINE_S = 2;
const OLD_SERVICE = 'stock';
const NEW_SERVICE = process.env.NAME ?? 'rental_desk';
const HEALTH_PATH = process.env.HEALTH ?? '/health';
const REQUESTS = 40;
const OLD_RULE = ruleFor(OLD_SERVICE, 'safe', '/depot/');
const NEW_RULE = ruleFor(NEW_SERVICE, 'unsafe', '/depot/rent/');

runCase(import.meta.url, {}, async ({ deployment, store, servers, record }) => {
  const publish = (version, rules) => {
    const services = [OLD_SERVICE, NEW_SERVICE];
    const listeners = [{ host: SAFE_HOST, rules }];
    store.put(
      'keyed.op',
      'config',
      configuration(version, services, { listeners, health_path: HEALTH_PATH }),
    );
    record(`acknowledged: version ${version} with ${rules.map(({ name }) => name).join(', ')}`);
  };
  publish(7, [OLD_RULE]);
  const machines = [OLD_SERVICE, OLD_SERVICE, NEW_SERVICE, NEW_SERVICE].map((service, index) =>
    deployment.addMachine({ zone: `zone-${index % 2}`, service }),
  );
  await Promise.all(machines.map((machine) => deployment.start(machine)));
  machines.forEach((machine, index) => servers.push(new Server(machine, { id: `i-${index}` })));
  await Promise.all(servers.map((server) => server.start()));
  await whenReady(machines);
  await delay(3_000);

  if (TROUBLE) publish(9, [OLD_RULE, NEW_RULE]);
  await delay(CONFIG_DEADLINE_S * 1_000 + 3_000);
  const path = TROUBLE ? '/depot/rent/a' : '/depot/a';
  const results = await Promise.all(
    Array.from({ length: REQUESTS }, (_, index) =>
      send(machines[index % machines.length].outbound, {
        id: nextId('r'),
        method: 'POST',
        path,
        headers: { host: SAFE_HOST },
        body: 'an order',
        deadlineMs: 4_000,
      }),
    ),
  );
  const serviceOf = (id) => servers.find(({ runs }) => runs.includes(id))?.machine.service;
  for (const { id, status } of results) {
    record(`${id} POST ${path}: ${status}, run by ${serviceOf(id) ?? 'none'}`);
  }
  const allowed = TROUBLE ? NEW_SERVICE : OLD_SERVICE;
  const wrong = results.filter(({ id }) => ![undefined, allowed].includes(serviceOf(id)));
  const seen = `${wrong.length} of ${REQUESTS} requests to ${path} were run by a service other than ${allowed}`;
  return { held: wrong.length === 0, seen };
});
