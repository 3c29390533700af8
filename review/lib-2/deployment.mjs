/**
 * Starts the project's daemons as the deploy file says: its `run` line, with settings rendered from its
 * template, on loopback addresses. Ends every process that it started.
 */
import process from 'node:process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

const SETTINGS_PATH = '/etc/azurestream/settings.conf';
const READY_TIMEOUT_MS = 15_000;

/** Fields of a settings file as the users' pages show it, for a small deployment. */
const BOUNDS = {
  drain_s: 2,
  grace_s: 6,
  config_deadline_s: 2,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 58,
};

function lookUp(scopes, path) {
  if (path === '.') return scopes[0];
  const [first, ...rest] = path.split('.');
  const scope = scopes.find((candidate) => candidate?.[first] !== undefined);
  return rest.reduce((value, name) => value?.[name], scope?.[first]);
}

/** Renders the template language of the users' platform: values and sections. */
export function render(template, scopes) {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
  const match = section.exec(template);
  if (match) {
    const [whole, kind, path, inner] = match;
    const value = lookUp(scopes, path);
    const items = Array.isArray(value) ? value : [value].filter(Boolean);
    const shown =
      kind === '^'
        ? (items.length === 0 && render(inner, scopes)) || ''
        : items
            .map((item, index) => {
              const comma = index < items.length - 1 ? ',' : '';
              return render(inner.replaceAll('{{,}}', comma), [item, ...scopes]);
            })
            .join('');
    const before = render(template.slice(0, match.index), scopes);
    return before + shown + render(template.slice(match.index + whole.length), scopes);
  }
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_whole, path) =>
    String(lookUp(scopes, path) ?? ''),
  );
}

async function isFree(host, port) {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Chooses a loopback network whose ports are free, so that runs don't disturb each other. */
async function freeNetwork(ports) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 250)}`;
    const checks = ports.map((port) => isFree(`${network}.11`, port));
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error('no loopback network has free ports');
}

/** A small deployment: machines, each with a daemon and the address of an application server. */
export default class Deployment {
  static async create({ bounds = {} } = {}) {
    const network = await freeNetwork([8300, 8301, 8302, 8304, 8306, 9464]);
    return new Deployment(network, { ...BOUNDS, ...bounds });
  }

  constructor(network, bounds) {
    this.network = network;
    this.bounds = bounds;
    this.folder = mkdtempSync(join(tmpdir(), 'azurestream-review-'));
    this.machines = [];
    this.storeAddress = `${network}.200:8309`;
    const deploy = readFileSync('deploy/system.toml', 'utf8');
    [, this.runLine] = /^run = "(.*)"$/m.exec(deploy);
    this.template = readFileSync(/^template = "(.*)"$/m.exec(deploy)[1], 'utf8');
  }

  /** Adds a machine; its daemon isn't started yet. */
  addMachine({ zone, service }) {
    const index = this.machines.length;
    const ip = `${this.network}.${11 + index}`;
    const machine = {
      name: `sidecar-${zone}-${index}`,
      zone,
      service,
      ip,
      outbound: { host: ip, port: 8304 },
      ready: { host: ip, port: 8302 },
      controlPlane: { host: ip, port: 8306 },
      server: { host: ip, port: 8301 },
      child: undefined,
      log: [],
    };
    this.machines.push(machine);
    return machine;
  }

  /** Starts the daemon of a machine; resolves once it listens. */
  async start(machine) {
    const { bounds } = this;
    const fields = {
      node: machine.name,
      zone: machine.zone,
      service: machine.service,
      ip: machine.ip,
      listen: {
        outbound: `${machine.ip}:8304`,
        inbound: `${machine.ip}:8300`,
        ready: `${machine.ip}:8302`,
        control_plane: `${machine.ip}:8306`,
      },
      limits: { memory_mb: 350, link_mbps: 1000 },
      bounds,
      platform: { address: this.storeAddress },
      seeds: [],
    };
    const folder = join(this.folder, machine.name);
    mkdirSync(folder, { recursive: true });
    const file = join(folder, 'settings.conf');
    writeFileSync(file, render(this.template, [fields]));
    const [program, ...args] = this.runLine.replace(SETTINGS_PATH, file).split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, AZURESTREAM_NODE_FILE: file },
    });
    Object.assign(machine, { child });
    const keep = (chunk) => {
      machine.log.push(...chunk.toString().split('\n').filter(Boolean));
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    const limit = Date.now() + READY_TIMEOUT_MS;
    while (!machine.log.some((line) => line.startsWith('{"listening"'))) {
      if (Date.now() > limit || child.exitCode !== null) {
        throw new Error(`${machine.name} didn't start: ${machine.log.slice(-3).join(' ')}`);
      }
      await delay(20);
    }
  }

  /** Sends a signal to the daemon of a machine and, if it ends it, waits for the end. */
  static async end(machine, signal) {
    const { child } = machine;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  }

  /** Ends all daemons that still run. */
  async dispose() {
    for (const machine of this.machines) {
      if (machine.child) {
        machine.child.kill('SIGCONT');
        await Deployment.end(machine, 'SIGKILL');
      }
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}
