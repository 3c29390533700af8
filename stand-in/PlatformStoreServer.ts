import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import polka from 'polka';
import { decodeRecords, encodeKeyedRecord } from '../platform/keyedRecords';
import type { Offset } from '../src/common/Types';

/** Topic and key of the operator's configuration. */
const OPERATOR_TOPIC = 'keyed.op';
const CONFIGURATION_KEY = 'config';
/** Length of the header of a read response: two offsets of 8 bytes each. */
const READ_HEADER_BYTES = 16;
/** Size of a piece of a response that is sent at a limited rate, in bytes. */
const PIECE_BYTES = 16 * 1024;
const MS_PER_SECOND = 1_000;

interface Topic {
  records: { readonly key: string; readonly value: string }[];
  /** Callbacks that wake the reads that wait for the next record. */
  wakeups: Set<() => void>;
}

/** Stands in for the platform's store: keyed topics of one partition each, kept in memory. */
export default class PlatformStoreServer {
  /** Rate at which each response is sent, in bytes per second. */
  public bytesPerSecond = Infinity;

  /** Whether every request is rejected with status 503. */
  public isDown = false;

  /** Era in the header of all answers. */
  private era = 0;

  private readonly topics = new Map<string, Topic>();

  private readonly server: Server;

  public constructor() {
    const app = polka();
    app.use((_request, response, next) => {
      if (!this.isDown) return next();
      return response.writeHead(503).end();
    });
    app.get('/-/log-newest', (request, response) =>
      this.newest(response, request.query as Record<string, string>),
    );
    app.get('/-/log-read', (request, response) =>
      this.read(response, request.query as Record<string, string>),
    );
    app.post('/-/log-append', (request, response) =>
      this.append(request, response, request.query as Record<string, string>),
    );
    this.server = createServer(app.handler as never);
  }

  /** @returns The port on the loopback address that it listens on. */
  public async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Writes a record as the operator or another writer does.
   *
   * @param value - Content of the record.
   * @param topic - Topic to append to.
   * @param key - Key of the record.
   */
  public put(value: string, topic = OPERATOR_TOPIC, key = CONFIGURATION_KEY): void {
    const { records, wakeups } = this.topic(topic);
    records.push({ key, value });
    this.topic(topic).wakeups = new Set();
    for (const wake of wakeups) wake();
  }

  /**
   * @param topic - Name of a topic.
   * @returns The contents of its records.
   */
  public values(topic: string): readonly string[] {
    return this.topic(topic).records.map(({ value }) => value);
  }

  /**
   * @param topic - Name of a topic.
   * @returns The keys of its records.
   */
  public keys(topic: string): readonly string[] {
    return this.topic(topic).records.map(({ key }) => key);
  }

  /** @returns A copy of all records, to restore later. */
  public copy(): ReadonlyMap<string, readonly { readonly key: string; readonly value: string }[]> {
    return new Map([...this.topics].map(([name, { records }]) => [name, [...records]]));
  }

  /** @param copy - Copy of all records; what was written since is lost, and the era rises by one. */
  public restore(copy: ReturnType<PlatformStoreServer['copy']>): void {
    this.era += 1;
    for (const [name, topic] of this.topics) {
      topic.records = [...(copy.get(name) ?? [])];
      for (const wake of topic.wakeups) wake();
      topic.wakeups = new Set();
    }
  }

  private topic(name: string): Topic {
    const topic = this.topics.get(name) ?? { records: [], wakeups: new Set() };
    this.topics.set(name, topic);
    return topic;
  }

  private newest(response: ServerResponse, { topic }: Record<string, string>): Promise<void> {
    const { records } = this.topic(topic!);
    const byKey = new Map(records.map(({ key, value }, offset) => [key, { value, offset }]));
    const items = [...byKey].map(([key, { value, offset }]) => ({
      key,
      value: Buffer.from(value).toString('base64'),
      offset,
    }));
    const body = JSON.stringify({ items, more: false, end: records.length });
    return this.send(response, Buffer.from(body));
  }

  private async read(response: ServerResponse, query: Record<string, string>): Promise<void> {
    const from = Number(query.from);
    const topic = this.topic(query.topic!);
    if (from > topic.records.length) {
      response.writeHead(410, { 'store-era': this.era }).end(JSON.stringify({ first: 0 }));
      return;
    }
    if (from === topic.records.length) {
      await this.nextRecord(query.topic!, Number(query.wait_ms ?? 0));
    }
    const { records } = topic;
    const header = Buffer.alloc(READ_HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(records.length));
    const encoded = records.slice(from).map(({ key, value }) => encodeKeyedRecord(key, value));
    await this.send(response, Buffer.concat([header, ...encoded]));
  }

  private async nextRecord(topic: string, waitMs: number): Promise<void> {
    const { wakeups } = this.topic(topic);
    const woken = new Promise<void>((resolve) => {
      wakeups.add(resolve);
    });
    await Promise.race([woken, delay(waitMs, undefined, { ref: false })]);
  }

  private async append(
    request: IncomingMessage,
    response: ServerResponse,
    { topic, at }: Record<string, string>,
  ): Promise<void> {
    const records = await buffer(request);
    const offset = this.topic(topic!).records.length;
    if (at !== undefined && Number(at) !== offset) {
      response.writeHead(412, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ end: offset }));
      return;
    }
    const body = Buffer.concat([Buffer.alloc(READ_HEADER_BYTES), records]);
    for (const { key, value } of decodeRecords(body, offset as Offset).records) {
      this.put(value, topic, key);
    }
    const end = this.topic(topic!).records.length;
    await this.send(response, Buffer.from(JSON.stringify({ offset, end })));
  }

  private async send(response: ServerResponse, body: Buffer): Promise<void> {
    response.writeHead(200, { 'content-length': body.length, 'store-era': this.era });
    for (let sent = 0; sent < body.length && !response.destroyed; sent += PIECE_BYTES) {
      const piece = body.subarray(sent, sent + PIECE_BYTES);
      response.write(piece);
      if (this.bytesPerSecond !== Infinity) {
        await delay((piece.length / this.bytesPerSecond) * MS_PER_SECOND);
      }
    }
    response.end();
  }
}
