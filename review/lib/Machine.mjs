// A machine of the deployment.
/* eslint import-x/extensions: ['error', 'always'] -- Node.js resolves whole names only */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { openSync, readFileSync, writeFileSync } from 'node:fs';
import { Agent, get, request as httpRequest } from 'node:http';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import {
  GRACE_S,
  HOST,
  PORTS,
  RESTART_MS,
  ROOT,
  STORE_HOST_NUMBER,
  STORE_PORT,
} from './deployment.mjs';
import renderSettings from './settings.mjs';
import ServerStandIn from './ServerStandIn.mjs';
import StoreProxy from './StoreProxy.mjs';

/** One machine: a server and the daemon beside it. */
export default class Machine {
  process;

  /** Whether the platform restarts the process when it ends. */
  restarts = true;

  /** The machine's path to the store. */
  storePath;

  constructor(mesh, number, { service, zone, slots = 9, workMs = () => 40 }) {
    this.mesh = mesh;
    this.name = `sidecar-${zone}-${number}`;
    this.host = `${mesh.subnet}.${number}`;
    this.service = service;
    this.zone = zone;
    this.createServer = () =>
      new ServerStandIn({
        service,
        zone,
        slots,
        workMs,
        host: this.host,
        port: PORTS.app,
        controlPort: PORTS.control_plane,
        record: (kind, fields) => mesh.record(kind, { machine: this.name, ...fields }),
      });
    this.server = this.createServer();
    this.agent = new Agent({ keepAlive: true, maxSockets: 200 });
  }

  get settingsFile() {
    return join(this.mesh.folder, `${this.name}.conf`);
  }

  writeSettings() {
    const { zones } = this.mesh;
    const listen = Object.fromEntries(
      Object.entries(PORTS).map(([name, port]) => [name, `${this.host}:${port}`]),
    );
    const fields = {
      node: this.name,
      zone: this.zone,
      zones,
      service: this.service,
      ip: this.host,
      listen,
      seeds: [],
      limits: { link_mbps: '1000.0' },
      bounds: { grace_s: GRACE_S, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 58 },
      platform: { address: `${this.host}:${STORE_PORT}` },
    };
    const { template } = this.mesh.deploy;
    writeFileSync(this.settingsFile, renderSettings(join(ROOT, template), fields));
  }

  async openStorePath() {
    const target = { host: `${this.mesh.subnet}.${STORE_HOST_NUMBER}`, port: STORE_PORT };
    this.storePath = new StoreProxy(target);
    await this.storePath.listen(this.host, STORE_PORT);
  }

  startDaemon() {
    const { run } = this.mesh.deploy;
    const [program, ...args] = run.replace(/\/etc\/azurestream\/\S+/, this.settingsFile).split(' ');
    const output = openSync(join(this.mesh.folder, `${this.name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', output, output],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8' },
    });
    this.process = child;
    this.mesh.record('start', { machine: this.name, pid: child.pid });
    child.once('exit', (code, signal) => {
      this.mesh.record('end', { machine: this.name, pid: child.pid, code, signal });
      if (this.process === child) this.process = undefined;
      if (this.restarts && !this.mesh.isClosing) {
        setTimeout(() => !this.mesh.isClosing && this.startDaemon(), RESTART_MS);
      }
    });
  }

  signal(name) {
    this.mesh.record('signal', { machine: this.name, signal: name });
    this.process?.kill(name);
  }

  /** Stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace time. */
  async stopDaemon() {
    const child = this.process;
    this.signal('SIGTERM');
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    const isOver = await Promise.race([ended.then(() => true), delay(GRACE_S * 1_000, false)]);
    if (!isOver) {
      child.kill('SIGKILL');
      await ended;
    }
  }

  /** The machine loses power: its processes stand still, and its connections stay silent. */
  losePower() {
    this.signal('SIGSTOP');
    this.server.exit();
  }

  /** The machine has power again: its processes start anew. */
  async regainPower() {
    const child = this.process;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    this.signal('SIGKILL');
    await ended;
    this.server = this.createServer();
    await delay(RESTART_MS);
    await this.server.start();
  }

  /** Resident memory of the daemon in MB; 0 while it doesn't run. */
  memoryMb() {
    try {
      const status = readFileSync(`/proc/${this.process.pid}/status`, 'utf8');
      return Number(/^VmRSS:\s+(\d+)/m.exec(status)[1]) / 1_024;
    } catch {
      return 0;
    }
  }

  isReady() {
    return new Promise((resolve) => {
      const call = get(
        { host: this.host, port: PORTS.ready, path: '/-/ready', agent: false, timeout: 900 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
    });
  }

  /**
   * Sends one request to the outbound address, as a client on this machine does.
   *
   * @returns {Promise<object>} The attempt id and the status; status 0 if the connection ended
   * without a complete answer.
   */
  send(path, { method = 'GET', body, deadlineMs = 3_000, agent = this.agent } = {}) {
    const attempt = randomBytes(8).toString('hex');
    const startedAt = Date.now();
    this.mesh.record('send', {
      machine: this.name,
      attempt,
      method,
      path,
      bytes: body?.length ?? 0,
    });
    return new Promise((resolve) => {
      let timer;
      let call;
      const end = (fields) => {
        clearTimeout(timer);
        const reused = call.reusedSocket;
        const result = { attempt, method, path, machine: this.name, startedAt, reused, ...fields };
        this.mesh.record('answer', { ...result, ms: Date.now() - startedAt });
        resolve(result);
      };
      call = httpRequest(
        {
          host: this.host,
          port: PORTS.outbound,
          path,
          method,
          agent,
          headers: {
            host: HOST,
            'azurestream-attempt-id': attempt,
            'azurestream-deadline-ms': String(deadlineMs),
            ...(body && { 'content-length': body.length }),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => end({ status: 0, error: 'answer broke off' }));
          response.on('end', () =>
            end({
              status: response.statusCode,
              reason: response.headers['x-azurestream-reason'],
              body: Buffer.concat(chunks).toString('latin1').slice(0, 200),
            }),
          );
        },
      );
      timer = setTimeout(() => {
        end({ status: 0, error: 'deadline' });
        call.destroy();
      }, deadlineMs + 500);
      call.on('error', (error) => end({ status: 0, error: error.code ?? error.message }));
      call.end(body);
    });
  }
}
