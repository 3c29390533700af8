import type { Socket } from 'node:net';
import type { WebSocket } from 'ws';
import type { Clock, DaemonId } from '../common/Types';
import SendWindow from './SendWindow';
import { forwardedAnswerHeaders } from './callHeaders';
import CALLER_LEFT from './callerLeft';
import CancelController from './CancelController';
import {
  decodeRequestFrame,
  encodeFrame,
  type CallFrame,
  type ChannelCallNumber,
  type ReplyFrame,
  type RequestFrame,
} from './channelFrames';
import SocketBatch from './SocketBatch';
import type { Answer, ChannelCallHandler, HeaderNames } from './Types';

/** A call in progress that the peer sent. */
interface ActiveCall {
  readonly cancel: CancelController;
  readonly window: SendWindow;
}

/** Receiving side of a channel: runs the calls sent by the daemon that opened the channel. */
export default class ChannelSession {
  private readonly calls = new Map<ChannelCallNumber, ActiveCall>();

  private readonly batch: SocketBatch;

  /**
   * @param socket - The WebSocket connection.
   * @param tcpSocket - The TCP socket under it.
   * @param daemon - The daemon that opened the channel.
   * @param handler - Runs the calls.
   * @param names - Configured names of the HTTP headers exchanged with upstreams.
   * @param clock - Source of monotonic time.
   * @param waitedMs - Returns the longest time, in milliseconds, for which a frame read now may
   * have waited in the socket; it is subtracted from the time left for the call.
   */
  public constructor(
    private readonly socket: WebSocket,
    tcpSocket: Socket,
    private readonly daemon: DaemonId,
    private readonly handler: ChannelCallHandler,
    private readonly names: HeaderNames,
    private readonly clock: Clock,
    private readonly waitedMs: () => number,
  ) {
    this.batch = new SocketBatch(tcpSocket);
    socket.on('message', (data: Buffer) => this.receive(data));
    socket.on('close', () => this.cancelAll());
    // An error is always followed by 'close', which cancels the calls.
    socket.on('error', () => undefined);
  }

  private receive(data: Buffer): void {
    let frame: RequestFrame;
    try {
      frame = decodeRequestFrame(data, this.daemon, this.clock.now() - this.waitedMs());
    } catch (error) {
      this.handler.reportInvalidFrame(this.daemon, error as Error);
      this.socket.terminate();
      return;
    }
    const call = this.calls.get(frame.number);
    if (frame.kind === 'call') void this.runCall(frame);
    else if (frame.kind === 'cancel') call?.cancel.abort(CALLER_LEFT);
    else call?.window.addCredit(frame.bytes);
  }

  private async runCall(frame: CallFrame): Promise<void> {
    const { number } = frame;
    const call: ActiveCall = { cancel: new CancelController(), window: new SendWindow() };
    this.calls.set(number, call);
    try {
      const answer = await this.handler.run(frame, call.cancel);
      await this.sendAnswer(number, answer, call.window);
    } catch (error) {
      this.write({ kind: 'refusal', number, ...this.handler.refusalOf(frame, error as Error) });
    } finally {
      this.calls.delete(number);
    }
  }

  /** Sends an answer; the final `end` frame reports whether its body was complete. */
  private async sendAnswer(
    number: ChannelCallNumber,
    answer: Answer,
    window: SendWindow,
  ): Promise<void> {
    const { completeBody } = answer;
    const headers = forwardedAnswerHeaders(answer.headers, this.names);
    const load = answer.load!;
    this.write({ kind: 'answer', number, status: answer.status, headers, load, completeBody });
    if (completeBody) return;
    let complete = true;
    try {
      await answer.pipe({
        write: (chunk) => {
          this.write({ kind: 'body', number, chunk });
          return window.consume(chunk.length);
        },
        onDrain: (resume) => window.onDrain(resume),
      });
    } catch {
      // The end frame reports the truncation to the peer, which logs the outcome of the call.
      complete = false;
    }
    this.write({ kind: 'end', number, complete });
  }

  private write(frame: ReplyFrame): void {
    if (this.socket.readyState !== this.socket.OPEN) return;
    this.batch.cork();
    this.socket.send(encodeFrame(frame, this.clock.now()));
  }

  private cancelAll(): void {
    for (const { cancel } of this.calls.values()) cancel.abort(CALLER_LEFT);
  }
}
