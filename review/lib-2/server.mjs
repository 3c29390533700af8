/**
 * Stands in for an application server: runs requests, records each run, echoes the request's id, signs its answers,
 * and sends heartbeats to the daemon on its machine.
 */
import { clearInterval, setInterval } from 'node:timers';
import { createServer, request as sendRequest } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';

/** Sends one HTTP request on a connection of its own; resolves with status, headers and body. */
export function call(
  { host, port },
  { method = 'GET', path, headers = {}, body, timeoutMs = 5_000 },
) {
  return new Promise((resolve, reject) => {
    const request = sendRequest({ host, port, method, path, headers, agent: false }, (response) => {
      buffer(response).then(
        (content) =>
          resolve({ status: response.statusCode, headers: response.headers, body: content }),
        reject,
      );
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error('time-out')));
    request.on('error', reject);
    request.end(body);
  });
}

export default class Server {
  constructor(machine, { id, workMs = 20, slots = 9 }) {
    Object.assign(this, { machine, id, workMs, slots });
    this.born = Date.now();
    this.seq = 0;
    this.state = 'ready';
    /** Ids of the requests that this server began to run. */
    this.runs = [];
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
  }

  async start(intervalMs = 870) {
    const { host, port } = this.machine.server;
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => this.beat().catch(() => undefined), intervalMs);
    await this.beat().catch(() => undefined);
  }

  /** Sends a heartbeat; resolves with the status of the answer. */
  async beat(changes = {}) {
    this.seq += 1;
    const { host, port } = this.machine.server;
    const body = JSON.stringify({
      service: this.machine.service,
      address: `${host}:${port}`,
      zone: this.machine.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_s: 0,
      seq: this.seq,
      born: this.born,
      ...changes,
    });
    return this.report('Heartbeat', body);
  }

  async report(name, body = '') {
    const { status } = await call(this.machine.controlPlane, {
      method: 'POST',
      path: `/-/Instances.${name}/${this.id}`,
      headers: { 'content-type': 'application/json' },
      body,
      timeoutMs: 1_000,
    });
    return status;
  }

  async handle(request, response) {
    const id = request.headers['azurestream-attempt-id'];
    const body = await buffer(request);
    const expected = request.headers['azurestream-expect-instance'];
    if (request.url === '/health') {
      response.writeHead(200, { 'azurestream-instance-id': this.id }).end();
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'azurestream-instance-id': this.id, 'azurestream-attempt-id': id });
      response.end();
      return;
    }
    this.runs.push(id);
    await delay(this.workMs);
    const answer = `${id}:${body.length}`;
    response.writeHead(200, {
      'azurestream-attempt-id': id,
      'azurestream-response-signature': `s.${id}`,
      'content-length': answer.length,
    });
    response.end(answer);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
