import type { IncomingHttpHeaders } from 'node:http';
import BrokenAnswerError from './BrokenAnswerError';
import type { Answer, AnswerSink, UpstreamLoad } from './Types';

/** Number of buffered bytes above which the source of a body without a sink is paused. */
const MAX_BUFFERED_BYTES = 64 * 1024;
/**
 * Most bytes of an unwanted body that are read so that its connection can be reused; beyond this a new
 * connection is cheaper.
 */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Longest time, in milliseconds, spent reading an unwanted body. */
const MAX_DISCARD_MS = 1_000;

/** Controls the connection or channel that delivers the body of an answer. */
export interface BodySource {
  readonly paused: boolean;
  pause(): void;
  resume(): void;
  abort(error: Error): void;
}

type State = 'open' | 'complete' | 'broken';

/** An answer whose body is buffered up to a limit until a sink is attached, then streamed to it. */
export default class StreamedAnswer implements Answer {
  public load: UpstreamLoad | undefined;

  /** Number of body bytes received so far. */
  public receivedBytes = 0;

  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private state: State = 'open';

  private failure: BrokenAnswerError | undefined;

  private sink: AnswerSink | undefined;

  /** Whether the sink asked to pause and hasn't reported since that it can take more data. */
  private awaitingDrain = false;

  private pipeResult: { resolve: () => void; reject: (error: Error) => void } | undefined;

  private readonly closeListeners: (() => void)[] = [];

  /**
   * @param status - HTTP status code.
   * @param headers - Headers of the answer.
   * @param source - Pauses, resumes and aborts the delivery of the body. The creator of the answer passes
   * chunks to {@link StreamedAnswer.push} and the end to `complete` or `fail`.
   */
  public constructor(
    public readonly status: number,
    public readonly headers: IncomingHttpHeaders,
    private readonly source: BodySource,
  ) {}

  /** Whether the body is complete, was truncated or was abandoned. */
  public get ended(): boolean {
    return this.state !== 'open';
  }

  public get isBroken(): boolean {
    return this.state === 'broken';
  }

  /** Whether the receiver of the body can't take more of it at the moment. */
  public get isPaused(): boolean {
    return this.source.paused;
  }

  /** @param listener - Called once, when the body is complete, truncated or abandoned; at once if it is. */
  public onceClosed(listener: () => void): void {
    if (this.state === 'open') this.closeListeners.push(listener);
    else listener();
  }

  public get completeBody(): Buffer | undefined {
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
      this.pipeResult = { resolve, reject };
    });
  }

  /**
   * Reads the rest of the body and drops it, so that its connection can be reused. A body that doesn't
   * end soon is abandoned and its connection closed.
   */
  public discard(): void {
    let discardedBytes = 0;
    const write = (chunk: Buffer) => {
      discardedBytes += chunk.length;
      if (discardedBytes > MAX_DISCARDED_BYTES) this.dispose();
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

  /** @param chunk - Next chunk of the body. */
  public push(chunk: Buffer): void {
    if (this.ended) return;
    this.receivedBytes += chunk.length;
    if (!this.sink) {
      this.chunks.push(chunk);
      this.bufferedBytes += chunk.length;
      if (this.bufferedBytes > MAX_BUFFERED_BYTES) this.source.pause();
      return;
    }
    if (this.sink.write(chunk) || this.awaitingDrain) return;
    this.awaitingDrain = true;
    this.source.pause();
    this.sink.onDrain(() => {
      this.awaitingDrain = false;
      this.source.resume();
    });
  }

  /** Marks the body as complete. */
  public complete(): void {
    if (this.state !== 'open') return;
    this.state = 'complete';
    this.pipeResult?.resolve();
    this.notifyClosed();
  }

  /** @param reason - Why the body was truncated. */
  public fail(reason: string): void {
    if (this.state !== 'open') return;
    this.state = 'broken';
    this.failure = new BrokenAnswerError(reason);
    this.pipeResult?.reject(this.failure);
    this.notifyClosed();
  }

  private notifyClosed(): void {
    for (const listener of this.closeListeners.splice(0)) listener();
  }
}
