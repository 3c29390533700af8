import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import polka from 'polka';
import { setTimeout as delay } from 'node:timers/promises';

const MAX_RECORD_BYTES = 1024 * 1024;
const MAX_BATCH_RECORDS = 500;

/** Faults that the log stand-in simulates; set by `PUT /faults`. */
export interface LogFaults {
  /** Whether every request gets status 503. */
  out: boolean;
  /** Delay of every response, in milliseconds. */
  slowMs: number;
  /** Number of upcoming appends that take effect but whose connection closes without a response. */
  loseAnswers: number;
  /** Number of upcoming appends that get no response and take effect only after `lateMs`. */
  lateAppends: number;
  lateMs: number;
  /** Restricts the faults of appends to records that contain this text; empty means all records. */
  only: string;
}

/** Number of requests received, by kind. */
export interface LogCounts {
  appends: number;
  reads: number;
}

interface Stream {
  /** Offset of the first record that is kept. */
  earliest: number;
  records: string[];
  /** Callbacks that wake the read requests that wait for the next record. */
  wakeups: Set<() => void>;
}

/** Stands in for the platform's append-only log service; keeps all streams in memory. */
export default class LogServer {
  public readonly faults: LogFaults = {
    out: false,
    slowMs: 0,
    loseAnswers: 0,
    lateAppends: 0,
    lateMs: 0,
    only: '',
  };

  public readonly counts: LogCounts = { appends: 0, reads: 0 };

  private readonly streams = new Map<string, Stream>();

  private readonly server: Server;

  public constructor() {
    const app = polka();
    app.use(async (request, response, next) => {
      if (request.path === '/faults' || request.path === '/expire' || request.path === '/counts') {
        next();
        return;
      }
      if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
      if (this.faults.out) LogServer.reply(response, 503, {});
      else next();
    });
    app.post('/streams/:name', (request, response) =>
      this.append(request, response, request.params.name as string),
    );
    app.get('/streams/:name', (request, response) =>
      this.read(response, request.params.name as string, request.query as Record<string, string>),
    );
    app.get('/streams/:name/bounds', (request, response) =>
      LogServer.reply(response, 200, this.bounds(request.params.name as string)),
    );
    app.put('/faults', async (request, response) => {
      Object.assign(this.faults, JSON.parse(await text(request)));
      LogServer.reply(response, 200, this.faults);
    });
    app.put('/expire', async (request, response) => {
      const { stream, before } = JSON.parse(await text(request));
      this.expire(stream, before);
      LogServer.reply(response, 200, this.bounds(stream));
    });
    app.get('/counts', (_request, response) => LogServer.reply(response, 200, this.counts));
    this.server = createServer(app.handler as never);
  }

  /**
   * @param port - Port on the loopback address; 0 picks a free one.
   * @returns The port that it listens on.
   */
  public async listen(port = 0): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  public dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Drops the oldest records of a stream, as retention does.
   *
   * @param name - Name of the stream.
   * @param before - Records with a lower offset are dropped.
   */
  public expire(name: string, before: number): void {
    const stream = this.stream(name);
    const dropped = Math.min(before - stream.earliest, stream.records.length);
    if (dropped <= 0) return;
    stream.records.splice(0, dropped);
    stream.earliest += dropped;
  }

  /**
   * @param name - Name of a stream.
   * @returns The earliest offset that is kept, and the offset of the next append.
   */
  public bounds(name: string): { earliest: number; next: number } {
    const { earliest, records } = this.stream(name);
    return { earliest, next: earliest + records.length };
  }

  /**
   * Appends a record to a stream and wakes the reads that wait for it.
   *
   * @param name - Name of the stream.
   * @param data - Content of the record.
   * @returns Offset of the record.
   */
  public appendRecord(name: string, data: string): number {
    const stream = this.stream(name);
    stream.records.push(data);
    const { wakeups } = stream;
    stream.wakeups = new Set();
    for (const wake of wakeups) wake();
    return stream.earliest + stream.records.length - 1;
  }

  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = { earliest: 0, records: [], wakeups: new Set() };
      this.streams.set(name, stream);
    }
    return stream;
  }

  private async append(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
  ): Promise<void> {
    const data = await text(request);
    this.counts.appends += 1;
    if (Buffer.byteLength(data) > MAX_RECORD_BYTES) {
      LogServer.reply(response, 413, {});
      return;
    }
    const isAffected = data.includes(this.faults.only);
    if (isAffected && this.faults.lateAppends > 0) {
      this.faults.lateAppends -= 1;
      setTimeout(() => this.appendRecord(name, data), this.faults.lateMs).unref();
      response.destroy();
      return;
    }
    const offset = this.appendRecord(name, data);
    if (isAffected && this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    LogServer.reply(response, 201, { offset });
  }

  private async read(
    response: ServerResponse,
    name: string,
    query: Record<string, string>,
  ): Promise<void> {
    this.counts.reads += 1;
    const from = Number(query.from);
    const waitMs = Number(query.wait ?? 0);
    if (from >= this.bounds(name).next && waitMs > 0) await this.longPoll(name, waitMs, response);
    if (this.faults.out) {
      LogServer.reply(response, 503, {});
      return;
    }
    const stream = this.stream(name);
    if (from < stream.earliest) {
      LogServer.reply(response, 410, { earliest: stream.earliest });
      return;
    }
    const records = stream.records
      .slice(from - stream.earliest, from - stream.earliest + MAX_BATCH_RECORDS)
      .map((data, index) => ({ offset: from + index, data }));
    LogServer.reply(response, 200, { ...this.bounds(name), records });
  }

  private async longPoll(name: string, waitMs: number, response: ServerResponse): Promise<void> {
    const { wakeups } = this.stream(name);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      wakeups.add(wake);
      response.once('close', () => {
        wakeups.delete(wake);
        wake();
      });
    });
  }

  private static reply(response: ServerResponse, status: number, body: unknown): void {
    if (response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
