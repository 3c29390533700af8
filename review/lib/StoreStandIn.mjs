// Stands in for the platform's store: keyed topics of one partition each, kept in memory.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const OPERATOR_TOPIC = 'keyed.op';
const READ_HEADER_BYTES = 16;
const LENGTH_BYTES = 4;

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
  head[LENGTH_BYTES] = keyBytes.length;
  return Buffer.concat([head, keyBytes, valueBytes]);
}

function decodeRecords(body) {
  const records = [];
  for (let cursor = 0; cursor < body.length;) {
    const end = cursor + LENGTH_BYTES + body.readUInt32BE(cursor);
    const keyEnd = cursor + LENGTH_BYTES + 1 + body[cursor + LENGTH_BYTES];
    const key = body.toString('utf8', cursor + LENGTH_BYTES + 1, keyEnd);
    records.push({ key, value: body.toString('utf8', keyEnd, end) });
    cursor = end;
  }
  return records;
}

function sendJson(response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export default class StoreStandIn {
  /** Whether every call is rejected as not done. */
  isDown = false;

  #topics = new Map();

  #waiters = new Set();

  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the operator's configuration; its return is the acknowledgement. */
  putConfiguration(configuration) {
    this.#append(OPERATOR_TOPIC, [{ key: 'config', value: JSON.stringify(configuration) }]);
  }

  #records(topic) {
    if (!this.#topics.has(topic)) this.#topics.set(topic, []);
    return this.#topics.get(topic);
  }

  #append(topic, records) {
    this.#records(topic).push(...records);
    for (const wake of this.#waiters) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic');
    const body = await buffer(request);
    if (this.isDown) sendJson(response, 503, {});
    else if (url.pathname === '/-/log-newest') this.#newest(topic, response);
    else if (url.pathname === '/-/log-read') await this.#read(topic, url.searchParams, response);
    else if (url.pathname === '/-/log-append') {
      const offset = this.#records(topic).length;
      this.#append(topic, decodeRecords(body));
      sendJson(response, 200, { offset, end: this.#records(topic).length });
    } else sendJson(response, 404, {});
  }

  #newest(topic, response) {
    const records = this.#records(topic);
    const newest = new Map(records.map(({ key, value }, offset) => [key, { value, offset }]));
    const items = [...newest].map(([key, { value, offset }]) => ({
      key,
      value: Buffer.from(value).toString('base64'),
      offset,
    }));
    sendJson(response, 200, { items, more: false, end: records.length });
  }

  async #read(topic, query, response) {
    const from = Number(query.get('from'));
    const waitsUntil = Date.now() + Number(query.get('wait_ms') ?? 0);
    while (this.#records(topic).length <= from && Date.now() < waitsUntil) {
      await this.#change(waitsUntil - Date.now());
    }
    const records = this.#records(topic);
    const header = Buffer.alloc(READ_HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(records.length));
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat([header, ...records.slice(from).map(encodeRecord)]));
  }

  #change(waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.#waiters.delete(wake);
        resolve();
      };
      this.#waiters.add(wake);
      setTimeout(wake, waitMs).unref();
    });
  }
}
