/**
 * Stands in for the platform's store: keyed topics of one partition, in memory; answers after 4 ms. Can be made to
 * answer 503, and to come back from a copy.
 */
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { createServer } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';

const ANSWER_MS = 4;

export default class Store {
  constructor() {
    this.topics = new Map();
    this.era = 0;
    this.isAway = false;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async listen(address) {
    const [host, port] = address.split(':');
    await new Promise((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Whether all calls are turned away. */
  setAway(isAway) {
    this.isAway = isAway;
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, { records: [], waiting: new Set() });
    return this.topics.get(name);
  }

  put(name, key, value) {
    const topic = this.topic(name);
    topic.records.push({ key, value: Buffer.from(value) });
    for (const wake of topic.waiting) wake();
    topic.waiting.clear();
  }

  /** A copy of everything, to come back from. */
  copy() {
    return new Map([...this.topics].map(([name, { records }]) => [name, [...records]]));
  }

  restore(copy) {
    this.era += 1;
    for (const [name, topic] of this.topics) {
      topic.records = [...(copy.get(name) ?? [])];
      for (const wake of topic.waiting) wake();
      topic.waiting.clear();
    }
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await buffer(request);
    await delay(ANSWER_MS);
    const send = (status, content) => {
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': content.length,
        ...(this.era > 0 && { 'store-era': this.era }),
      });
      response.end(content);
    };
    const sendJson = (status, value) => send(status, Buffer.from(JSON.stringify(value)));
    if (this.isAway) {
      sendJson(503, {});
      return;
    }
    const topic = this.topic(url.searchParams.get('topic'));
    if (url.pathname === '/-/log-newest') {
      const byKey = new Map(
        topic.records.map((record, offset) => [record.key, { ...record, offset }]),
      );
      const items = [...byKey.values()].map(({ key, value, offset }) => ({
        key,
        value: value.toString('base64'),
        offset,
      }));
      sendJson(200, { items, more: false, end: topic.records.length });
    } else if (url.pathname === '/-/log-read') {
      await Store.read(topic, url.searchParams, send, sendJson);
    } else if (url.pathname === '/-/log-append') {
      const at = url.searchParams.get('at');
      const offset = topic.records.length;
      if (at !== null && Number(at) !== offset) {
        sendJson(412, { end: offset });
        return;
      }
      let cursor = 0;
      while (cursor < body.length) {
        const length = body.readUInt32BE(cursor);
        const content = body.subarray(cursor + 4, cursor + 4 + length);
        const key = content.toString('utf8', 1, 1 + content[0]);
        this.put(url.searchParams.get('topic'), key, content.subarray(1 + content[0]));
        cursor += 4 + length;
      }
      sendJson(200, { offset, end: topic.records.length });
    } else sendJson(404, {});
  }

  static async read(topic, query, send, sendJson) {
    const from = Number(query.get('from'));
    if (from > topic.records.length) {
      sendJson(410, { first: 0 });
      return;
    }
    if (from === topic.records.length) {
      let wake;
      const woken = new Promise((resolve) => {
        wake = resolve;
        topic.waiting.add(resolve);
      });
      await Promise.race([
        woken,
        delay(Number(query.get('wait_ms') ?? 0), undefined, { ref: false }),
      ]);
      topic.waiting.delete(wake);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const records = topic.records.slice(from).flatMap(({ key, value }) => {
      const prefix = Buffer.alloc(5);
      prefix.writeUInt32BE(1 + Buffer.byteLength(key) + value.length);
      prefix[4] = Buffer.byteLength(key);
      return [prefix, Buffer.from(key), value];
    });
    send(200, Buffer.concat([head, ...records]));
  }
}
