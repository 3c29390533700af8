import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type ConnectionMeter from './ConnectionMeter';
import ExchangeError from './ExchangeError';
import StreamedAnswer from './StreamedAnswer';
import type { CallRequest, CancelSignal } from './Types';

/** One HTTP request to one server. */
export interface Exchange {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly request: CallRequest;
  /** Alternating names and values of all headers; replaces the headers of the request. */
  readonly headers: string[];
  /** Timeout for the head of the response, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Timeout for pauses within the body of the response, in milliseconds. */
  readonly bodyTimeoutMs: number;
  readonly signal: CancelSignal;
  /** Whether the connection that just ended with a response was closed gracefully. */
  readonly endedGracefully: () => boolean | Promise<boolean>;
  /** Meter of non-body bytes for the connection that just received the head of a response. */
  readonly currentMeter: () => ConnectionMeter | undefined;
}

/** Handles the events of the HTTP client for one request. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Whether the client has begun to send the request, so that the server may have received it. */
  private dispatched = false;

  private cancelled = false;

  private answer: StreamedAnswer | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private meter: ConnectionMeter | undefined;

  /** Parts of the response body that the HTTP client parsed in the event that is being handled. */
  private parts: Buffer[] = [];

  public readonly abort = (): void => {
    this.cancelled = true;
    this.answer?.fail('aborted');
    if (this.controller) this.controller.abort(new Error('aborted'));
    else this.reject(new ExchangeError('aborted before it was sent', false, true));
  };

  public constructor(
    private readonly signal: CancelSignal,
    private readonly endedGracefully: Exchange['endedGracefully'],
    private readonly currentMeter: Exchange['currentMeter'],
    private readonly resolve: (answer: StreamedAnswer) => void,
    private readonly reject: (error: ExchangeError) => void,
  ) {
    this.cancelled = signal.aborted;
    signal.addEventListener('abort', this.abort, { once: true });
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
    this.meter = this.currentMeter();
    this.meter?.resetCount();
    this.answer = new StreamedAnswer(status, headers, controller);
    this.answer.onceClosed(() => this.signal.removeEventListener('abort', this.abort));
    this.resolve(this.answer);
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.parts.push(chunk) === 1) process.nextTick(() => this.flush());
  }

  public onResponseEnd(): void {
    this.flush();
    const { answer } = this;
    if (!answer) return;
    // A body without length or transfer coding is delimited by the close of its connection.
    const { 'content-length': length, 'transfer-encoding': coding } = answer.headers;
    if (length !== undefined || coding !== undefined) answer.complete();
    else void this.endCloseDelimited(answer);
  }

  /**
   * Passes on the collected parts as one chunk: the cost of a chunk doesn't depend on its size, and a
   * part can be as small as one byte.
   */
  private flush(): void {
    const { parts } = this;
    this.parts = [];
    this.meter?.resetCount();
    if (parts.length > 0) this.answer?.push(parts.length > 1 ? Buffer.concat(parts) : parts[0]!);
  }

  private async endCloseDelimited(answer: StreamedAnswer): Promise<void> {
    if (await this.endedGracefully()) answer.complete();
    else answer.fail('the connection was reset');
  }

  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.signal.removeEventListener('abort', this.abort);
    this.flush();
    if (this.answer) this.answer.fail(error.message);
    else {
      const { code } = error as NodeJS.ErrnoException;
      this.reject(new ExchangeError(error.message, this.dispatched, this.cancelled, code));
    }
  }
}

/**
 * Sends an HTTP request over one hop.
 *
 * @param options - Request, target, timeouts and cancellation.
 * @returns The response, as soon as its head has arrived.
 * @throws ExchangeError - There was no response; `sent` is whether the request may have been received.
 */
export default function exchange(options: Exchange): Promise<StreamedAnswer> {
  const { dispatcher, request, signal, endedGracefully, currentMeter } = options;
  return new Promise((resolve, reject) => {
    const handler = new ExchangeHandler(signal, endedGracefully, currentMeter, resolve, reject);
    dispatcher.dispatch(
      {
        origin: options.origin,
        path: request.path,
        method: request.method,
        headers: options.headers,
        body: request.body,
        headersTimeout: options.headTimeoutMs,
        bodyTimeout: options.bodyTimeoutMs,
      },
      handler,
    );
  });
}
