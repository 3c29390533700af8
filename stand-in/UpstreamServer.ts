import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { text } from 'node:stream/consumers';
import { createHash } from 'node:crypto';

const ANNOUNCE_MS = 1_000;

/** How an upstream stand-in behaves. */
export interface UpstreamOptions {
  readonly service: string;
  /** Control address of the daemon beside it. */
  readonly daemon: string;
  /** Milliseconds that a call takes. */
  readonly workMs: number;
}

/** One call that the upstream began to run. */
export interface LedgerEntry {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  finished: boolean;
}

/**
 * Stands in for an upstream: runs calls, keeps a ledger of them and announces itself to the daemon
 * beside it. A call names itself by the header `x-call-id`; `?bytes=N` asks for a body of N bytes,
 * `?work=MS` for another duration and `?break=1` for a body that breaks off.
 */
export default class UpstreamServer {
  public readonly ledger: LedgerEntry[] = [];

  private readonly server: Server;

  private state: 'serving' | 'draining' = 'serving';

  private timer: NodeJS.Timeout | undefined;

  private port = 0;

  private running = 0;

  public constructor(private readonly options: UpstreamOptions) {
    this.server = createServer((request, response) => void this.answer(request, response));
    this.server.keepAliveTimeout = 120_000;
  }

  /** @returns The port, once listening and announced for the first time. */
  public async start(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    this.timer = setInterval(() => void this.announce(), ANNOUNCE_MS);
    await this.announce();
    return this.port;
  }

  /** Announces the drain, finishes what runs and closes. */
  public async stop(): Promise<void> {
    this.state = 'draining';
    clearInterval(this.timer);
    await this.announce();
    while (this.running > 0) await delay(5);
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
      // The daemon is away; the next announcement tries again.
    }
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url!, 'http://upstream');
    if (url.pathname === '/ledger') {
      response.end(JSON.stringify(this.ledger));
      return;
    }
    const id = String(request.headers['x-call-id'] ?? '');
    const entry: LedgerEntry = { id, method: request.method!, path: url.pathname, finished: false };
    if (id) this.ledger.push(entry);
    this.running += 1;
    try {
      const sent = await text(request);
      const workMs = Number(url.searchParams.get('work') ?? this.options.workMs);
      if (workMs > 0) await delay(workMs);
      await UpstreamServer.reply(response, url, id, sent);
      entry.finished = true;
    } finally {
      this.running -= 1;
    }
  }

  private static async reply(
    response: ServerResponse,
    url: URL,
    id: string,
    sent: string,
  ): Promise<void> {
    const bytes = Number(url.searchParams.get('bytes') ?? 0);
    const body = bytes > 0 ? UpstreamServer.body(id, bytes) : `${id}:${sent}`;
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
   * @param id - The call.
   * @param bytes - Length.
   * @returns The body that the upstream sends for it, so that a caller can check the whole.
   */
  public static body(id: string, bytes: number): string {
    const unit = createHash('sha256').update(id).digest('hex');
    return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes);
  }
}
