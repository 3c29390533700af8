import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type AnswerMatcher from './AnswerMatcher';
import type { AnswerHead, AnswerMatch } from './AnswerMatcher';
import ExchangeError from './ExchangeError';
import StreamedAnswer from './StreamedAnswer';
import type { CallRequest, CancelSignal } from './Types';
import type UpstreamConnection from './UpstreamConnection';
import type UpstreamConnections from './UpstreamConnections';

/** One HTTP request to one server. */
export interface Exchange {
  readonly connections: UpstreamConnections;
  /** Decides what the response says of the request. */
  readonly matcher: AnswerMatcher;
  readonly origin: string;
  readonly request: CallRequest;
  /** Alternating names and values of all headers; replaces the headers of the request. */
  readonly headers: string[];
  /** Timeout for the head of the response, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Timeout for pauses within the body of the response, in milliseconds. */
  readonly bodyTimeoutMs: number;
  readonly signal: CancelSignal;
}

/** The first response to a request. */
export interface ExchangeResult {
  readonly answer: StreamedAnswer;
  readonly match: AnswerMatch;
}

/** Handles the events of the HTTP client for one request. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Whether the client has begun to send the request, so that the server may have received it. */
  private dispatched = false;

  private cancelled = false;

  private answer: StreamedAnswer | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  /** The assigned connection, until the exchange has ended. */
  private connection: UpstreamConnection | undefined;

  /** Parts of the response body that the HTTP client parsed in the event that is being handled. */
  private parts: Buffer[] = [];

  public readonly abort = (): void => {
    this.cancelled = true;
    this.answer?.fail('aborted');
    if (this.controller) this.controller.abort(new Error('aborted'));
    else this.reject(new ExchangeError('aborted before it was sent', false, true));
  };

  public constructor(
    private readonly options: Exchange,
    private readonly resolve: (result: ExchangeResult) => void,
    private readonly reject: (error: ExchangeError) => void,
  ) {
    const { signal } = options;
    this.cancelled = signal.aborted;
    signal.addEventListener('abort', this.abort, { once: true });
  }

  /** @param connection - Connection to send the request on. */
  public start(connection: UpstreamConnection): void {
    const { request, origin, headers, headTimeoutMs, bodyTimeoutMs } = this.options;
    this.connection = connection;
    connection.client.dispatch(
      {
        origin,
        path: request.path,
        method: request.method,
        headers,
        body: request.body,
        headersTimeout: headTimeoutMs,
        bodyTimeout: bodyTimeoutMs,
      },
      this,
    );
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The client may repeat a request on another connection, but a request must not run twice.
    if (this.dispatched) controller.abort(new Error('the connection closed after sending'));
    else if (this.cancelled) controller.abort(new Error('aborted'));
    else this.dispatched = true;
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    const { signal, matcher, request } = this.options;
    const { connection } = this;
    connection?.resetMeter();
    const head: AnswerHead = { status, headers };
    const match = matcher.match(head, request.requestId);
    if (match === 'refusal' && connection) connection.refusedId = request.requestId;
    if (!matcher.allowsReuse(head)) connection?.retire();
    this.answer = new StreamedAnswer(status, headers, controller);
    this.answer.onceClosed(() => signal.removeEventListener('abort', this.abort));
    this.resolve({ answer: this.answer, match });
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.parts.push(chunk) === 1) process.nextTick(() => this.flush());
  }

  public onResponseEnd(): void {
    this.flush();
    const { answer, connection } = this;
    const endedGracefully = connection?.endedGracefully() ?? true;
    this.releaseConnection();
    if (!answer) return;
    // A body without length or transfer coding is delimited by the close of its connection.
    const { 'content-length': length, 'transfer-encoding': coding } = answer.headers;
    if (length !== undefined || coding !== undefined) answer.complete();
    else void ExchangeHandler.endCloseDelimited(answer, endedGracefully);
  }

  /**
   * Passes on the collected parts as one chunk: the cost of a chunk doesn't depend on its size, and a
   * part can be as small as one byte.
   */
  private flush(): void {
    const { parts } = this;
    this.parts = [];
    this.connection?.resetMeter();
    if (parts.length > 0) this.answer?.push(parts.length > 1 ? Buffer.concat(parts) : parts[0]!);
  }

  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.options.signal.removeEventListener('abort', this.abort);
    this.flush();
    this.releaseConnection();
    if (this.answer) this.answer.fail(error.message);
    else {
      const { code } = error as NodeJS.ErrnoException;
      this.reject(new ExchangeError(error.message, this.dispatched, this.cancelled, code));
    }
  }

  private releaseConnection(): void {
    const { connection } = this;
    this.connection = undefined;
    if (connection) this.options.connections.release(connection);
  }

  private static async endCloseDelimited(
    answer: StreamedAnswer,
    endedGracefully: boolean | Promise<boolean>,
  ): Promise<void> {
    if (await endedGracefully) answer.complete();
    else answer.fail('the connection was reset');
  }
}

/**
 * Sends an HTTP request over one hop.
 *
 * @param options - Request, target, timeouts and cancellation.
 * @returns The response and what it says of the request, as soon as its head has arrived.
 * @throws ExchangeError - There was no response; `sent` is whether the request may have been received.
 */
export default function exchange(options: Exchange): Promise<ExchangeResult> {
  const { connections, request } = options;
  return new Promise((resolve, reject) => {
    const handler = new ExchangeHandler(options, resolve, reject);
    connections.acquire(request.requestId, (connection) => handler.start(connection));
  });
}
