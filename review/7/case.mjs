/**
 * A new configuration takes a tenant's key away and brings another tenant, whose name has a space. Rule: CONFIG, a
 * request whose key was taken away runs; also ROUTE, a request whose key no configuration ever held runs.
 */
/* eslint import-x/extensions: off -- Node.js resolves modules by their full names only */
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { nextId, send } from '../lib-2/clients.mjs';
import configuration, { UNSAFE_HOST } from '../lib-2/configuration.mjs';
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
const OLD_KEY = '92cqf75rjvz48wuakn2f';
const NEW_KEY = 'timaj3nr26tta828m82t';
const UNKNOWN_KEY = 'n0b0dyever0wnedthis1';
const OLD_TENANT = {
  name: 'hule930',
  api_keys: [OLD_KEY],
  priority: 1,
  rate_per_s: 164,
  burst: 164,
};
const NEW_TENANT = { ...OLD_TENANT, name: process.env.NAME ?? 'Puerto Norte', api_keys: [NEW_KEY] };
const REQUESTS = 20;

/** A server that records the tenant of each run. */
class Ledger extends Server {
  async handle(request, response) {
    const id = request.headers['azurestream-attempt-id'];
    this.tenants ??= new Map();
    this.tenants.set(id, request.headers['azurestream-tenant']);
    await super.handle(request, response);
  }
}

runCase(import.meta.url, { bounds: BOUNDS }, async ({ deployment, store, servers, record }) => {
  const services = ['stock', 'desk'];
  store.put('keyed.op', 'config', configuration(7, services, { tenants: [OLD_TENANT] }));
  const machines = ['stock', 'stock', 'desk', 'desk'].map((service, index) =>
    deployment.addMachine({ zone: `zone-${index % 2}`, service }),
  );
  await Promise.all(machines.map((machine) => deployment.start(machine)));
  machines.forEach((machine, index) => servers.push(new Ledger(machine, { id: `i-${index}` })));
  await Promise.all(servers.map((server) => server.start()));
  await whenReady(machines);
  await delay(4_000);

  const ran = (id) => servers.some((server) => server.runs.includes(id));
  const tenantOf = (id) => servers.find(({ tenants }) => tenants?.has(id))?.tenants.get(id);
  /** Sends requests with a key to all machines; returns those that ran. */
  const play = async (name, key) => {
    const results = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) =>
        send(machines[index % machines.length].outbound, {
          id: nextId(name),
          method: 'POST',
          path: index % 2 ? '/desk/a' : '/stock/a',
          headers: { host: UNSAFE_HOST, 'api-key': key },
          body: 'an order',
          deadlineMs: 4_000,
        }),
      ),
    );
    for (const { id, status } of results) {
      record(
        `${id}: ${status}; ${ran(id) ? `ran for the tenant ${tenantOf(id) ?? '(none named)'}` : 'not run'}`,
      );
    }
    const counts = new Map();
    for (const { status } of results) counts.set(status, (counts.get(status) ?? 0) + 1);
    record(`${name}: ${[...counts].map(([status, count]) => `${count} x ${status}`).join(', ')}`);
    return results.filter(({ id }) => ran(id)).map(({ id }) => id);
  };

  const before = await play('before-unknown-key', UNKNOWN_KEY);
  const first = await play('before-held-key', OLD_KEY);
  if (first.length === 0) throw new Error('no request ran before the change');
  if (TROUBLE) {
    store.put('keyed.op', 'config', configuration(9, services, { tenants: [NEW_TENANT] }));
    record(`acknowledged: version 9, with the tenant '${NEW_TENANT.name}' alone`);
  }
  await delay(REVOKE_S * 1_000 + 500);
  const unknown = await play('unknown-key', UNKNOWN_KEY);
  let revoked = [];
  let unnamed = [];
  if (TROUBLE) {
    revoked = await play('revoked-key', OLD_KEY);
    const held = await play('held-key', NEW_KEY);
    unnamed = held.filter((id) => tenantOf(id) !== NEW_TENANT.name);
  }
  const seen =
    `sent over ${REVOKE_S} s after the change, ${revoked.length} of ${REQUESTS} requests with the key that it took away ` +
    `ran; so did ${before.length + unknown.length} with a key that no configuration held; ${unnamed.length} with the ` +
    'key in force ran for no or another tenant';
  return { held: revoked.length + before.length + unknown.length + unnamed.length === 0, seen };
});
