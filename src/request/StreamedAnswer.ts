import type { IncomingHttpHeaders } from 'node:http';
import BrokenAnswerError from './BrokenAnswerError';
import type { Answer, AnswerSink, UpstreamLoad } from './Types';

const MAX_BUFFERED_BYTES = 64 * 1024;
/** Most bytes of an unwanted body that are read to keep its connection; a new one costs less than more. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Longest time, in milliseconds, for which they are awaited. */
const MAX_DISCARD_MS = 1_000;

/** Steers where the body of an answer comes from. */
export interface BodySource {
  readonly paused: boolean;
  pause(): void;
  resume(): void;
  abort(error: Error): void;
}

type State = 'open' | 'complete' | 'broken';

/** An answer whose body is held back, up to a bound, until someone takes it. */
export default class StreamedAnswer implements Answer {
  public load: UpstreamLoad | undefined;

  /** Size of the parts of the body that came so far. */
  public receivedBytes = 0;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private state: State = 'open';

  private failure: BrokenAnswerError | undefined;

  private sink: AnswerSink | undefined;

  /** Whether the sink has yet to say that more can be written. */
  private heldBack = false;

  private settle: { resolve: () => void; reject: (error: Error) => void } | undefined;

  private readonly closed: (() => void)[] = [];

  public constructor(
    public readonly status: number,
    public readonly headers: IncomingHttpHeaders,
    private readonly source: BodySource,
  ) {}

  /** Whether the body is complete, broken or given up. */
  public get ended(): boolean {
    return this.state !== 'open';
  }

  public get broken(): boolean {
    return this.state === 'broken';
  }

  /** @param closed - Called once, when the body is complete, broken or given up. */
  public onceClosed(closed: () => void): void {
    if (this.state === 'open') this.closed.push(closed);
    else closed();
  }

  public get whole(): Buffer | undefined {
    if (this.state !== 'complete' || this.sink) return undefined;
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
  }

  public pipe(sink: AnswerSink): Promise<void> {
    this.sink = sink;
    for (const chunk of this.chunks) sink.write(chunk);
    this.chunks = [];
    if (this.state === 'complete') return Promise.resolve();
    if (this.failure) return Promise.reject(this.failure);
    if (this.source.paused) this.source.resume();
    return new Promise((resolve, reject) => {
      this.settle = { resolve, reject };
    });
  }

  /**
   * Reads the rest and drops it, so that its connection can be used again. One that doesn't end soon is
   * given up with its connection.
   */
  public discard(): void {
    let bytes = 0;
    const write = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARDED_BYTES) this.dispose();
      return true;
    };
    if (!this.ended) {
      const timer = setTimeout(() => this.dispose(), MAX_DISCARD_MS);
      this.onceClosed(() => clearTimeout(timer));
    }
    void this.pipe({ write, onDrain: () => undefined }).catch(() => undefined);
  }

  public dispose(): void {
    if (this.state !== 'open') return;
    this.source.abort(new BrokenAnswerError('the answer was given up'));
    this.fail('the answer was given up');
  }

  /** @param chunk - Next part of the body. */
  public push(chunk: Buffer): void {
    if (this.ended) return;
    this.receivedBytes += chunk.length;
    if (!this.sink) {
      this.chunks.push(chunk);
      this.bufferedBytes += chunk.length;
      if (this.bufferedBytes > MAX_BUFFERED_BYTES) this.source.pause();
      return;
    }
    if (this.sink.write(chunk) || this.heldBack) return;
    this.heldBack = true;
    this.source.pause();
    this.sink.onDrain(() => {
      this.heldBack = false;
      this.source.resume();
    });
  }

  /** The body is complete. */
  public complete(): void {
    if (this.state !== 'open') return;
    this.state = 'complete';
    this.settle?.resolve();
    this.close();
  }

  /** @param reason - Why the body broke off. */
  public fail(reason: string): void {
    if (this.state !== 'open') return;
    this.state = 'broken';
    this.failure = new BrokenAnswerError(reason);
    this.settle?.reject(this.failure);
    this.close();
  }

  private close(): void {
    for (const closed of this.closed.splice(0)) closed();
  }
}
