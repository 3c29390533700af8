import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type ConnectionMeter from './ConnectionMeter';
import ExchangeError from './ExchangeError';
import StreamedAnswer from './StreamedAnswer';
import type { CallRequest, CancelSignal } from './Types';

/** One HTTP request to one place. */
export interface Exchange {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly request: CallRequest;
  /** All headers, in place of those of the request. */
  readonly headers: string[];
  /** Longest wait for the answer's head, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Longest pause within the answer's body, in milliseconds. */
  readonly bodyTimeoutMs: number;
  readonly signal: CancelSignal;
  /** Whether the connection that ends with an answer just now was ended in order. */
  readonly endedInOrder: () => boolean | Promise<boolean>;
  /** Meter of the connection that brings a head just now. */
  readonly meterOfHead: () => ConnectionMeter | undefined;
}

/** Receives what the HTTP client reports of one request. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private started = false;

  private cancelled = false;

  private answer: StreamedAnswer | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private meter: ConnectionMeter | undefined;

  /** What one callback of the connection brought of the body. */
  private parts: Buffer[] = [];

  public readonly abort = (): void => {
    this.cancelled = true;
    this.answer?.fail('aborted');
    if (this.controller) this.controller.abort(new Error('aborted'));
    else this.reject(new ExchangeError('aborted before it was sent', false, true));
  };

  public constructor(
    private readonly signal: CancelSignal,
    private readonly endedInOrder: Exchange['endedInOrder'],
    private readonly meterOfHead: Exchange['meterOfHead'],
    private readonly resolve: (answer: StreamedAnswer) => void,
    private readonly reject: (error: ExchangeError) => void,
  ) {
    this.cancelled = signal.aborted;
    signal.addEventListener('abort', this.abort, { once: true });
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The client may put a request on a second connection; a sent one must not run twice.
    if (this.started) controller.abort(new Error('the connection closed after sending'));
    else if (this.cancelled) controller.abort(new Error('aborted'));
    else this.started = true;
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.meter = this.meterOfHead();
    this.meter?.mark();
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
    // Only a body without a length ends with its connection.
    const { 'content-length': length, 'transfer-encoding': coding } = answer.headers;
    if (length !== undefined || coding !== undefined) answer.complete();
    else void this.endUnframed(answer);
  }

  /** Passes parts on together: each one costs the same on its way, and they may be a byte long. */
  private flush(): void {
    const { parts } = this;
    this.parts = [];
    this.meter?.mark();
    if (parts.length > 0) this.answer?.push(parts.length > 1 ? Buffer.concat(parts) : parts[0]!);
  }

  private async endUnframed(answer: StreamedAnswer): Promise<void> {
    if (await this.endedInOrder()) answer.complete();
    else answer.fail('the connection was reset');
  }

  public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.signal.removeEventListener('abort', this.abort);
    this.flush();
    if (this.answer) this.answer.fail(error.message);
    else {
      const { code } = error as NodeJS.ErrnoException;
      this.reject(new ExchangeError(error.message, this.started, this.cancelled, code));
    }
  }
}

/**
 * Sends a request over one hop.
 *
 * @param options - What to send, and where.
 * @returns The answer's head.
 * @throws ExchangeError - There was no answer; says whether the request may have been received.
 */
export default function exchange(options: Exchange): Promise<StreamedAnswer> {
  const { dispatcher, request, signal, endedInOrder, meterOfHead } = options;
  return new Promise((resolve, reject) => {
    const handler = new ExchangeHandler(signal, endedInOrder, meterOfHead, resolve, reject);
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
