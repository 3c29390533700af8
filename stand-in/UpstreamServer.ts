import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { text } from 'node:stream/consumers';
import { createHash } from 'node:crypto';

const ANNOUNCE_INTERVAL_MS = 1_000;

/** Configuration of an upstream stand-in. */
export interface UpstreamOptions {
  /** Name of the service that it belongs to. */
  readonly service: string;
  /** Control address of the daemon beside it. */
  readonly daemon: string;
  /** Time that a call takes, in milliseconds. */
  readonly workMs: number;
}

/** A call that the upstream started to run. */
export interface LedgerEntry {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  finished: boolean;
}

/**
 * Stands in for an upstream: runs calls, records them in a ledger (`GET /ledger`) and announces
 * itself to the daemon beside it. The header `x-call-id` identifies a call. Query parameters set the
 * response: `bytes=N` its length, `work=MS` the time it takes, `break=1` that it is truncated.
 */
export default class UpstreamServer {
  public readonly ledger: LedgerEntry[] = [];

  private readonly server: Server;

  private state: 'serving' | 'draining' = 'serving';

  private timer: NodeJS.Timeout | undefined;

  private port = 0;

  private runningCalls = 0;

  public constructor(private readonly options: UpstreamOptions) {
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 120_000;
  }

  /** @returns The port, once it listens and the first announcement was sent. */
  public async start(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    this.timer = setInterval(() => void this.announce(), ANNOUNCE_INTERVAL_MS);
    await this.announce();
    return this.port;
  }

  /**
   * Announces to the daemon that this upstream drains, waits for running calls to finish and
   * closes.
   */
  public async stop(): Promise<void> {
    this.state = 'draining';
    clearInterval(this.timer);
    await this.announce();
    while (this.runningCalls > 0) await delay(5);
    this.dispose();
  }

  public dispose(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private async announce(): Promise<void> {
    const { service, daemon } = this.options;
    const body = JSON.stringify({ service, address: `127.0.0.1:${this.port}`, state: this.state });
    try {
      await fetch(`http://${daemon}/upstream`, { method: 'PUT', body });
    } catch {
      // The daemon is unreachable; the next announcement is the retry.
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url!, 'http://upstream');
    if (url.pathname === '/ledger') {
      response.end(JSON.stringify(this.ledger));
      return;
    }
    const id = String(request.headers['x-call-id'] ?? '');
    const entry: LedgerEntry = { id, method: request.method!, path: url.pathname, finished: false };
    if (id) this.ledger.push(entry);
    this.runningCalls += 1;
    try {
      const requestBody = await text(request);
      const workMs = Number(url.searchParams.get('work') ?? this.options.workMs);
      if (workMs > 0) await delay(workMs);
      await UpstreamServer.reply(response, url, id, requestBody);
      entry.finished = true;
    } finally {
      this.runningCalls -= 1;
    }
  }

  private static async reply(
    response: ServerResponse,
    url: URL,
    id: string,
    requestBody: string,
  ): Promise<void> {
    const bytes = Number(url.searchParams.get('bytes') ?? 0);
    const body = bytes > 0 ? UpstreamServer.expectedBody(id, bytes) : `${id}:${requestBody}`;
    response.writeHead(200, {
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(body),
    });
    if (url.searchParams.has('break')) {
      response.write(body.slice(0, body.length / 2));
      await delay(20);
      response.destroy();
      return;
    }
    response.end(body);
  }

  /**
   * @param id - Id of a call.
   * @param bytes - Length of the body.
   * @returns The body of the call's response, which a caller can compare with what it received.
   */
  public static expectedBody(id: string, bytes: number): string {
    const pattern = createHash('sha256').update(id).digest('hex');
    return pattern.repeat(Math.ceil(bytes / pattern.length)).slice(0, bytes);
  }
}
