// A small deployment on loopback addresses: a store, servers, and a daemon beside each server.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { randomInt } from 'node:crypto';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { METRICS_PORT, PORTS, ROOT, STORE_HOST_NUMBER, STORE_PORT } from './deployment.mjs';
import Machine from './Machine.mjs';
import StoreStandIn from './StoreStandIn.mjs';

function isFree(host, port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

async function freeSubnet(hosts) {
  for (let tries = 0; tries < 20; tries += 1) {
    const subnet = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
    const checks = await Promise.all([
      isFree(`${subnet}.${STORE_HOST_NUMBER}`, STORE_PORT),
      ...Array.from({ length: hosts }, (_, index) =>
        Promise.all(
          [...Object.values(PORTS), METRICS_PORT, STORE_PORT].map((port) =>
            isFree(`${subnet}.${index + 1}`, port),
          ),
        ),
      ),
    ]);
    if (checks.flat().every(Boolean)) return subnet;
  }
  throw new Error('found no free loopback addresses');
}

async function waitFor(what, condition, timeoutMs) {
  const endsAt = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endsAt) throw new Error(`not reached in time: ${what}`);
    await delay(100);
  }
}

export default class Mesh {
  machines = [];

  store = new StoreStandIn();

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  isClosing = false;

  events = [];

  startedAt = Date.now();

  /** @param {string} recordFile - File to which every event is written. */
  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const valueOf = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(deploy)[1];
    this.deploy = { run: valueOf('run'), template: valueOf('template') };
  }

  record(kind, fields) {
    const event = { t: (Date.now() - this.startedAt) / 1_000, kind, ...fields };
    this.events.push(event);
    appendFileSync(this.recordFile, `${JSON.stringify(event)}\n`);
    return event;
  }

  eventsOf(kind) {
    return this.events.filter((event) => event.kind === kind);
  }

  /** Starts the store, the daemons and their servers, and waits until all daemons are ready. */
  async start(specs, firstConfiguration) {
    this.zones = Object.fromEntries(specs.map(({ zone }) => [zone, 'region']));
    this.subnet = await freeSubnet(specs.length);
    await this.store.listen(`${this.subnet}.${STORE_HOST_NUMBER}`, STORE_PORT);
    this.store.putConfiguration(firstConfiguration);
    this.machines = specs.map((spec, index) => new Machine(this, index + 1, spec));
    for (const machine of this.machines) {
      await machine.openStorePath();
      machine.writeSettings();
      machine.startDaemon();
    }
    await waitFor('every daemon is ready', () => this.areAllReady(), 20_000);
    await Promise.all(this.machines.map(({ server }) => server.start()));
    await delay(3_000);
  }

  async areAllReady() {
    return (await Promise.all(this.machines.map((machine) => machine.isReady()))).every(Boolean);
  }

  /** Ends every process that was started. */
  async close() {
    this.isClosing = true;
    const children = this.machines.map((machine) => machine.process).filter(Boolean);
    const ended = children.map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    for (const child of children) child.kill('SIGKILL');
    await Promise.all(ended);
    for (const machine of this.machines) {
      machine.server.exit();
      machine.storePath?.close();
      machine.agent.destroy();
    }
    this.store.close();
    if (!process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if the
 * case couldn't run.
 *
 * @param {string} recordFile - File to which every event is written.
 * @param {(mesh: Mesh, trouble: boolean) => Promise<string[]>} play - Returns a line for each breach.
 */
export async function runCase(recordFile, play) {
  const mesh = new Mesh(recordFile);
  const trouble = process.env.TROUBLE !== '0';
  let exitCode = 2;
  // Whatever ends this process, the processes that it started end first.
  const giveUp = async (reason) => {
    mesh.record('failed', { reason: String(reason) });
    await mesh.close();
    process.exit(2);
  };
  for (const event of ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection']) {
    process.once(event, (reason) => void giveUp(reason));
  }
  try {
    const breaches = await play(mesh, trouble);
    for (const line of breaches) mesh.record('breach', { line });
    process.stdout.write(`${breaches.length} breaches, trouble: ${trouble}\n`);
    for (const line of breaches.slice(0, 5)) process.stdout.write(`${line}\n`);
    exitCode = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    mesh.record('failed', { reason: error.message });
    process.stderr.write(`could not run: ${error.stack}\n`);
  } finally {
    await mesh.close();
  }
  process.exit(exitCode);
}
