/** Runs a case: writes record.txt in its folder, ends all processes, and exits with 0, 1 or 2. */
/* eslint import-x/extensions: off -- Node.js resolves modules by their full names only */
import process from 'node:process';
import console from 'node:console';
import { writeFileSync } from 'node:fs';
import { URL, fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import Deployment from './deployment.mjs';
import Store from './store.mjs';
import { call } from './server.mjs';

/** Longest run of a case, in milliseconds. */
const LIMIT_MS = 110_000;
const READY_LIMIT_MS = 20_000;

/** Whether the disruption of the case takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Waits until the daemons of all machines accept clients. */
export async function whenReady(machines) {
  const limit = Date.now() + READY_LIMIT_MS;
  for (;;) {
    const checks = machines.map(async ({ ready }) => {
      const { status } = await call(ready, { path: '/-/ready', timeoutMs: 1_000 });
      return status === 200;
    });
    const results = await Promise.all(checks.map((check) => check.catch(() => false)));
    if (results.every(Boolean)) return;
    if (Date.now() > limit) throw new Error('the daemons are not ready in time');
    await delay(100);
  }
}

/**
 * @param url - `import.meta.url` of the case.
 * @param options - Bounds and limits of the deployment.
 * @param body - Plays the case; returns whether the rule held, and a line that says what was seen.
 */
export default async function runCase(url, options, body) {
  const startedAt = Date.now();
  const lines = [];
  const record = (line) => {
    lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8)}  ${line}`);
  };
  const store = new Store();
  const servers = [];
  let deployment;
  let code = 2;
  try {
    deployment = await Deployment.create(options);
    await store.listen(deployment.storeAddress);
    const late = delay(LIMIT_MS, undefined, { ref: false }).then(() => {
      throw new Error('the case takes too long');
    });
    const result = await Promise.race([body({ deployment, store, servers, record }), late]);
    code = result.held ? 0 : 1;
    record(`${result.held ? 'HELD' : 'BROKEN'}: ${result.seen}`);
  } catch (error) {
    record(`could not run: ${error.stack}`);
  }
  for (const server of servers) server.close();
  store.close();
  await deployment?.dispose();
  console.log(lines.at(-1).trim());
  writeFileSync(fileURLToPath(new URL('record.txt', url)), `${lines.join('\n')}\n`);
  process.exit(code);
}
