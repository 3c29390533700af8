/**
 * A key is taken away; later the store comes back from a copy of before, as in a drill, while one daemon is killed and
 * started again. Rule: CONFIG, a request whose key was taken away runs.
 */
/* eslint import-x/extensions: off -- Node.js resolves modules by their full names only */
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { nextId, send } from '../lib-2/clients.mjs';
import configuration, { UNSAFE_HOST } from '../lib-2/configuration.mjs';
import Deployment from '../lib-2/deployment.mjs';
import runCase, { TROUBLE, whenReady } from '../lib-2/runCase.mjs';
import Server from '../lib-2/server.mjs';

const REVOKE_S = 5;
const BOUNDS = {
  revoke_strict: true,
  revoke_s: REVOKE_S,
  quota_window_s: 5,
  quota_over: 0.1,
  quota_slack: 20,
};
const KEPT_KEY = '92cqf75rjvz48wuakn2f';
const REVOKED_KEY = 'timaj3nr26tta828m82t';
/** Age of the copy when the key is taken away, in milliseconds. */
const COPY_AGE_MS = 500;
/** Time from the change until the store goes away; all requests after it are sent later than `revoke_s`. */
const SETTLE_MS = REVOKE_S * 1_000 + 500;
const AWAY_MS = 300;
/** Time after which the platform starts a killed daemon again. */
const RESTART_MS = 200;
/** Time after the return of the store until the operator has written again what was lost. */
const REWRITE_MS = 1_000;
const WATCH_MS = 4_000;
const SEND_EVERY_MS = 20;
/** Which of the two disruptions take place. */
const DRILL = TROUBLE && process.env.ONLY !== 'kill';
const KILL = TROUBLE && process.env.ONLY !== 'drill';

runCase(import.meta.url, { bounds: BOUNDS }, async ({ deployment, store, servers, record }) => {
  const services = ['stock', 'desk'];
  const publish = (version, keys) => {
    const tenants = [{ name: 'hule930', api_keys: keys, priority: 1 }];
    store.put('keyed.op', 'config', configuration(version, services, { tenants }));
    record(`acknowledged: version ${version} with the keys ${keys.join(', ')}`);
  };
  publish(7, [KEPT_KEY, REVOKED_KEY]);
  const machines = ['stock', 'stock', 'desk', 'desk'].map((service, index) =>
    deployment.addMachine({ zone: `zone-${index % 2}`, service }),
  );
  await Promise.all(machines.map((machine) => deployment.start(machine)));
  machines.forEach((machine, index) => servers.push(new Server(machine, { id: `i-${index}` })));
  await Promise.all(servers.map((server) => server.start()));
  await whenReady(machines);
  await delay(4_000);

  const copy = store.copy();
  await delay(COPY_AGE_MS);
  publish(9, [KEPT_KEY]);
  await delay(SETTLE_MS);

  const [, entry] = machines;
  const sent = [];
  let isOver = false;
  const clients = (async () => {
    while (!isOver) {
      sent.push(
        send(entry.outbound, {
          id: nextId('revoked'),
          method: 'POST',
          path: '/stock/a',
          headers: { host: UNSAFE_HOST, 'api-key': REVOKED_KEY },
          body: 'an order',
          deadlineMs: 2_000,
        }),
      );
      await delay(SEND_EVERY_MS);
    }
  })();
  if (DRILL) {
    record('the store is away');
    store.setAway(true);
  }
  if (KILL) {
    record(`${entry.name} is killed`);
    await Deployment.end(entry, 'SIGKILL');
  }
  const restart = (async () => {
    if (!KILL) return;
    await delay(RESTART_MS);
    entry.log.length = 0;
    await deployment.start(entry);
    record(`${entry.name} has started again`);
  })();
  if (DRILL) {
    await delay(AWAY_MS);
    store.restore(copy);
    store.setAway(false);
    record('the store is back from a copy');
    await delay(REWRITE_MS);
    publish(9, [KEPT_KEY]);
  }
  await restart;
  await delay(WATCH_MS);
  isOver = true;
  await clients;

  const ran = new Set(servers.flatMap((server) => server.runs));
  const results = await Promise.all(sent);
  const broken = results.filter(({ id }) => ran.has(id));
  for (const { id, kind, status } of results) {
    record(`${id}: ${kind} ${status ?? ''}; ${ran.has(id) ? 'run by a server' : 'not run'}`);
  }
  const seen =
    `${broken.length} of ${results.length} requests ran with a key that was taken away, sent over ${REVOKE_S} s after the ` +
    'acknowledgement';
  return { held: broken.length === 0, seen };
});
