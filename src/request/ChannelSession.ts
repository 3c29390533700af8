import type { Socket } from 'node:net';
import type { WebSocket } from 'ws';
import type { Clock, DaemonId } from '../common/Types';
import BodyWindow from './BodyWindow';
import { answerHeaders } from './callHeaders';
import CALLER_LEFT from './callerLeft';
import CancelSource from './CancelSource';
import {
  decodeRequestFrame,
  encodeFrame,
  type CallFrame,
  type ChannelCallNumber,
  type ReplyFrame,
  type RequestFrame,
} from './channelFrames';
import SocketBatch from './SocketBatch';
import type { Answer, ChannelCalls, HeaderNames } from './Types';

/** A call of the other daemon that hasn't ended. */
interface OpenCall {
  readonly cancel: CancelSource;
  readonly window: BodyWindow;
}

/** The calls that another daemon makes over one connection that it opened. */
export default class ChannelSession {
  private readonly calls = new Map<ChannelCallNumber, OpenCall>();

  private readonly batch: SocketBatch;

  /**
   * @param socket - The connection.
   * @param raw - Its TCP socket.
   * @param daemon - Who opened it.
   * @param handler - Runs the calls.
   * @param names - Names of the upstreams' headers.
   * @param clock - Source of time.
   * @param waitedMs - How long a frame that is read now may have waited, in milliseconds.
   */
  public constructor(
    private readonly socket: WebSocket,
    raw: Socket,
    private readonly daemon: DaemonId,
    private readonly handler: ChannelCalls,
    private readonly names: HeaderNames,
    private readonly clock: Clock,
    private readonly waitedMs: () => number,
  ) {
    this.batch = new SocketBatch(raw);
    socket.on('message', (data: Buffer) => this.receive(data));
    socket.on('close', () => this.abandon());
    // The close that follows an error ends the calls.
    socket.on('error', () => undefined);
  }

  private receive(data: Buffer): void {
    let frame: RequestFrame;
    try {
      frame = decodeRequestFrame(data, this.daemon, this.clock.now() - this.waitedMs());
    } catch (error) {
      this.handler.noteBadFrame(this.daemon, error as Error);
      this.socket.terminate();
      return;
    }
    const call = this.calls.get(frame.number);
    if (frame.kind === 'call') void this.carry(frame);
    else if (frame.kind === 'cancel') call?.cancel.abort(CALLER_LEFT);
    else call?.window.credit(frame.bytes);
  }

  private async carry(frame: CallFrame): Promise<void> {
    const { number } = frame;
    const call: OpenCall = { cancel: new CancelSource(), window: new BodyWindow() };
    this.calls.set(number, call);
    try {
      const answer = await this.handler.run(frame, call.cancel);
      await this.relay(number, answer, call.window);
    } catch (error) {
      this.write({ kind: 'refusal', number, ...this.handler.refusalOf(frame, error as Error) });
    } finally {
      this.calls.delete(number);
    }
  }

  /** Passes an answer on; one that breaks off is told to have broken off. */
  private async relay(
    number: ChannelCallNumber,
    answer: Answer,
    window: BodyWindow,
  ): Promise<void> {
    const { whole } = answer;
    const headers = answerHeaders(answer.headers, this.names);
    const load = answer.load!;
    this.write({ kind: 'answer', number, status: answer.status, headers, load, whole });
    if (whole) return;
    let complete = true;
    try {
      await answer.pipe({
        write: (chunk) => {
          this.write({ kind: 'body', number, chunk });
          return window.send(chunk.length);
        },
        onDrain: (resume) => window.onDrain(resume),
      });
    } catch {
      // The other daemon is told; it logs what the call came to.
      complete = false;
    }
    this.write({ kind: 'end', number, complete });
  }

  private write(frame: ReplyFrame): void {
    if (this.socket.readyState !== this.socket.OPEN) return;
    this.batch.begin();
    this.socket.send(encodeFrame(frame, this.clock.now()));
  }

  private abandon(): void {
    for (const { cancel } of this.calls.values()) cancel.abort(CALLER_LEFT);
  }
}
