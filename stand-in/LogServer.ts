import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import polka from 'polka';
import { setTimeout as delay } from 'node:timers/promises';

const MAX_RECORD_BYTES = 1024 * 1024;
const MAX_BATCH_RECORDS = 500;

/** Faults that the stand-in can be told to show. */
export interface LogFaults {
  /** Answers nothing but errors. */
  out: boolean;
  /** Milliseconds added to every answer. */
  slowMs: number;
  /** Number of appends that take effect but whose answer is lost. */
  loseAnswers: number;
  /** Number of appends that answer nothing and take effect only after `lateMs`. */
  lateAppends: number;
  lateMs: number;
  /** The faults of appends concern only records that contain this text. */
  only: string;
}

/** How often each kind of request came. */
export interface LogCounts {
  appends: number;
  reads: number;
}

interface Stream {
  earliest: number;
  records: string[];
  waiting: Set<() => void>;
}

/** Stands in for the platform's append-only log service; keeps everything in memory. */
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
   * @param port - Port on the loopback address; 0 picks one.
   * @returns The port.
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
   * Drops records as retention would.
   *
   * @param name - The stream.
   * @param before - First offset that is kept.
   */
  public expire(name: string, before: number): void {
    const stream = this.stream(name);
    const dropped = Math.min(before - stream.earliest, stream.records.length);
    if (dropped <= 0) return;
    stream.records.splice(0, dropped);
    stream.earliest += dropped;
  }

  /** @param name - The stream. */
  public bounds(name: string): { earliest: number; next: number } {
    const { earliest, records } = this.stream(name);
    return { earliest, next: earliest + records.length };
  }

  /**
   * Appends a record without a request, as another writer would.
   *
   * @param name - The stream.
   * @param data - The record.
   * @returns Its offset.
   */
  public add(name: string, data: string): number {
    const stream = this.stream(name);
    stream.records.push(data);
    const { waiting } = stream;
    stream.waiting = new Set();
    for (const wake of waiting) wake();
    return stream.earliest + stream.records.length - 1;
  }

  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = { earliest: 0, records: [], waiting: new Set() };
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
    const concerned = data.includes(this.faults.only);
    if (concerned && this.faults.lateAppends > 0) {
      this.faults.lateAppends -= 1;
      setTimeout(() => this.add(name, data), this.faults.lateMs).unref();
      response.destroy();
      return;
    }
    const offset = this.add(name, data);
    if (concerned && this.faults.loseAnswers > 0) {
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
    if (from >= this.bounds(name).next && waitMs > 0) await this.more(name, waitMs, response);
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

  private async more(name: string, waitMs: number, response: ServerResponse): Promise<void> {
    const { waiting } = this.stream(name);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      waiting.add(wake);
      response.once('close', () => {
        waiting.delete(wake);
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
