import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import BrokenAnswerError from './BrokenAnswerError';
import type { Answer, AnswerSink, UpstreamLoad } from './Types';

const MAX_BUFFERED_BYTES = 64 * 1024;

type State = 'open' | 'complete' | 'broken';

/** An answer whose body is held back, up to a bound, until someone takes it. */
export default class StreamedAnswer implements Answer {
  public load: UpstreamLoad | undefined;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private state: State = 'open';

  private failure: BrokenAnswerError | undefined;

  private sink: AnswerSink | undefined;

  private settle: { resolve: () => void; reject: (error: Error) => void } | undefined;

  private closed: (() => void) | undefined;

  public constructor(
    public readonly status: number,
    public readonly headers: IncomingHttpHeaders,
    private readonly controller: Dispatcher.DispatchController,
  ) {}

  /** @param closed - Called once, when the body is complete, broken or given up. */
  public onceClosed(closed: () => void): void {
    if (this.state === 'open') this.closed = closed;
    else closed();
  }

  public pipe(sink: AnswerSink): Promise<void> {
    this.sink = sink;
    for (const chunk of this.chunks) sink.write(chunk);
    this.chunks = [];
    if (this.state === 'complete') return Promise.resolve();
    if (this.failure) return Promise.reject(this.failure);
    if (this.controller.paused) this.controller.resume();
    return new Promise((resolve, reject) => {
      this.settle = { resolve, reject };
    });
  }

  /** Reads the rest and drops it, so that its connection can be used again. */
  public discard(): void {
    void this.pipe({ write: () => true, onDrain: () => undefined }).catch(() => undefined);
  }

  public dispose(): void {
    if (this.state !== 'open') return;
    this.controller.abort(new BrokenAnswerError('the answer was given up'));
    this.fail('the answer was given up');
  }

  /** @param chunk - Next part of the body. */
  public push(chunk: Buffer): void {
    if (!this.sink) {
      this.chunks.push(chunk);
      this.bufferedBytes += chunk.length;
      if (this.bufferedBytes > MAX_BUFFERED_BYTES) this.controller.pause();
      return;
    }
    if (this.sink.write(chunk)) return;
    this.controller.pause();
    this.sink.onDrain(() => this.controller.resume());
  }

  /** The body is complete. */
  public complete(): void {
    if (this.state !== 'open') return;
    this.state = 'complete';
    this.settle?.resolve();
    this.closed?.();
  }

  /** @param reason - Why the body broke off. */
  public fail(reason: string): void {
    if (this.state !== 'open') return;
    this.state = 'broken';
    this.failure = new BrokenAnswerError(reason);
    this.settle?.reject(this.failure);
    this.closed?.();
  }
}
