import { json } from 'node:stream/consumers';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { Address, Disposable, Offset } from '../common/Types';
import LogExpiredError from './LogExpiredError';
import LogRefusedError from './LogRefusedError';
import LogUnavailableError from './LogUnavailableError';
import LogUnknownOutcomeError from './LogUnknownOutcomeError';
import meteredConnector from './meteredConnector';
import type SocketMeter from './SocketMeter';
import type { Log, LogBatch, LogBounds, StreamName } from './Types';
import withStallAwareTimeout from './withStallAwareTimeout';

/** Longest wait for the next part of a response, in ms; a batch of records may take longer as a whole. */
const RESPONSE_TIMEOUT_MS = 5_000;
/** Error codes of failed connection attempts, after which no request was sent. */
const NOT_SENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const offset = z.int().transform((value) => value as Offset);
const boundsSchema = z.object({ earliest: offset, next: offset });
const batchSchema = boundsSchema.extend({
  records: z.array(z.object({ offset, data: z.string() })),
});
const appendedSchema = z.object({ offset });
const expiredSchema = z.object({ earliest: offset });

interface LogResponse {
  readonly status: number;
  readonly body: unknown;
}

interface LogRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

function errorCode(error: unknown): string {
  return (error as { code?: string }).code ?? String(error);
}

/** HTTP client of the log service; only this class depends on the protocol of the service. */
export default class HttpLog implements Log, Disposable {
  private readonly agent: Agent;

  /**
   * @param address - Address of the log service.
   * @param streamPrefix - Prefix of the stream names.
   * @param meter - Counts the bytes on the sockets.
   */
  public constructor(
    private readonly address: Address,
    private readonly streamPrefix: string,
    meter: SocketMeter,
  ) {
    this.agent = new Agent({ connect: meteredConnector(meter) });
  }

  public async append(stream: StreamName, data: string): Promise<Offset> {
    let response: LogResponse;
    try {
      response = await this.exchange({
        method: 'POST',
        path: this.path(stream),
        body: data,
        timeoutMs: RESPONSE_TIMEOUT_MS,
      });
    } catch (error) {
      const code = errorCode(error);
      if (NOT_SENT_ERROR_CODES.has(code)) throw new LogUnavailableError(`append not sent: ${code}`);
      throw new LogUnknownOutcomeError(`append without an answer: ${code}`);
    }
    const { status, body } = response;
    if (status === 503) throw new LogUnavailableError('append turned away');
    if (status >= 400 && status < 500) {
      throw new LogRefusedError(`append refused with status ${status}`);
    }
    const appended = appendedSchema.safeParse(body);
    if (!appended.success) {
      throw new LogUnknownOutcomeError(`append answered with status ${status}`);
    }
    return appended.data.offset;
  }

  public async read(
    stream: StreamName,
    from: Offset,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<LogBatch> {
    const { status, body } = await this.query(
      `${this.path(stream)}?from=${from}&wait=${waitMs}`,
      waitMs + RESPONSE_TIMEOUT_MS,
      signal,
    );
    const expired = status === 410 ? expiredSchema.safeParse(body) : undefined;
    if (expired?.success) throw new LogExpiredError(expired.data.earliest);
    const batch = batchSchema.safeParse(body);
    if (!batch.success) throw new LogUnavailableError(`read answered with status ${status}`);
    return batch.data;
  }

  public async bounds(stream: StreamName): Promise<LogBounds> {
    const { status, body } = await this.query(`${this.path(stream)}/bounds`, RESPONSE_TIMEOUT_MS);
    const bounds = boundsSchema.safeParse(body);
    if (!bounds.success) throw new LogUnavailableError(`bounds answered with status ${status}`);
    return bounds.data;
  }

  public dispose(): void {
    void this.agent.destroy();
  }

  private path(stream: StreamName): string {
    return `/streams/${this.streamPrefix}${stream}`;
  }

  private async query(path: string, timeoutMs: number, signal?: AbortSignal): Promise<LogResponse> {
    try {
      return await this.exchange({ method: 'GET', path, timeoutMs, signal });
    } catch (error) {
      throw new LogUnavailableError(`read failed: ${errorCode(error)}`);
    }
  }

  private exchange(exchange: LogRequest): Promise<LogResponse> {
    const parents = exchange.signal ? [exchange.signal] : [];
    return withStallAwareTimeout(parents, exchange.timeoutMs, async (signal, onProgress) => {
      const { statusCode, body } = await request(`http://${this.address}${exchange.path}`, {
        method: exchange.method,
        body: exchange.body,
        dispatcher: this.agent,
        signal,
      });
      body.on('data', onProgress);
      return { status: statusCode, body: await json(body) };
    });
  }
}
