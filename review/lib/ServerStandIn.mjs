// Stands in for an application server of the platform: slots, a queue, heartbeats, Leave.
import { Buffer } from 'node:buffer';
import { createServer, request as httpRequest } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { createHash, randomBytes } from 'node:crypto';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 870;
const ACK_TIMEOUT_MS = 1_000;
const MAX_QUEUED = 36;

export function post(host, port, path, body) {
  return new Promise((resolve) => {
    const call = httpRequest(
      { host, port, path, method: 'POST', agent: false, timeout: ACK_TIMEOUT_MS },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve(0));
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(0));
    call.setHeader('content-type', 'application/json');
    call.end(JSON.stringify(body));
  });
}

function answer(attempt, deadlineAt, response) {
  const body = Buffer.from(`answer to ${attempt}\n`);
  const status = Date.now() >= deadlineAt ? 504 : 200;
  response.writeHead(status, {
    'azurestream-attempt-id': attempt,
    'azurestream-response-signature': createHash('sha256').update(body).digest('hex'),
    'content-length': body.length,
  });
  response.end(body);
}

export default class ServerStandIn {
  id = `i-${randomBytes(4).toString('hex')}`;

  born = Date.now();

  state = 'ready';

  running = 0;

  #sequence = 0;

  #queue = [];

  #timer;

  #server;

  /**
   * @param {object} options - service, zone, host, port, controlPort, slots, workMs(path), record.
   */
  constructor(options) {
    this.options = options;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async start() {
    const { host, port } = this.options;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
    await this.beat();
  }

  /** The next heartbeat, not sent yet. */
  nextHeartbeat() {
    const { service, host, port, zone, slots } = this.options;
    this.#sequence += 1;
    return {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      cold_left_s: 0,
      seq: this.#sequence,
      born: this.born,
    };
  }

  sendHeartbeat(heartbeat) {
    const { host, controlPort } = this.options;
    return post(host, controlPort, `/-/Instances.Heartbeat/${this.id}`, heartbeat);
  }

  beat() {
    return this.sendHeartbeat(this.nextHeartbeat());
  }

  stopHeartbeats() {
    clearInterval(this.#timer);
  }

  leave() {
    const { host, controlPort } = this.options;
    return post(host, controlPort, `/-/Instances.Leave/${this.id}`, { born: this.born });
  }

  exit() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const { headers, method, url } = request;
    if (url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'azurestream-instance-id': this.id,
      });
      response.end();
      return;
    }
    const body = await buffer(request).catch(() => undefined);
    if (!body) return;
    const attempt = headers['azurestream-attempt-id'];
    const refuse = (status) => {
      response.writeHead(status, {
        'azurestream-not-executed': '1',
        ...(attempt && { 'azurestream-attempt-id': attempt }),
      });
      response.end();
    };
    const expected = headers['azurestream-expect-instance'];
    if (!attempt) refuse(400);
    else if (expected !== undefined && expected !== this.id) refuse(421);
    else if (this.running >= this.options.slots && this.#queue.length >= MAX_QUEUED) refuse(503);
    else {
      const deadlineAt = Date.now() + Number(headers['azurestream-deadline-ms'] ?? Infinity);
      if (this.running >= this.options.slots) {
        await new Promise((resolve) => {
          this.#queue.push(resolve);
        });
        if (response.destroyed) {
          this.#queue.shift()?.();
          return;
        }
        if (Date.now() >= deadlineAt) {
          this.#queue.shift()?.();
          refuse(503);
          return;
        }
      }
      this.running += 1;
      this.options.record('run', {
        attempt,
        method,
        path: url,
        bytes: body.length,
        server: this.id,
        service: this.options.service,
        caller: headers['azurestream-caller-service'],
      });
      await this.#work(url, deadlineAt, response);
      this.running -= 1;
      this.#queue.shift()?.();
      answer(attempt, deadlineAt, response);
    }
  }

  #work(url, deadlineAt, response) {
    const workMs = Math.min(this.options.workMs(url), deadlineAt - Date.now());
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, workMs));
      // Most servers drop a request when its connection closes.
      response.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
