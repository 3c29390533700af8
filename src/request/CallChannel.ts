import type { Socket } from 'node:net';
import { WebSocket } from 'ws';
import type { Address, Clock, DaemonId, Disposable } from '../common/Types';
import ChannelBody from './ChannelBody';
import {
  decodeReplyFrame,
  encodeFrame,
  MAX_FRAME_BYTES,
  type AnswerFrame,
  type CallFrame,
  type ChannelCallNumber,
  type RefusalFrame,
  type ReplyFrame,
  type RequestFrame,
} from './channelFrames';
import channelUrl from './channelUrl';
import ExchangeError from './ExchangeError';
import SocketBatch from './SocketBatch';
import StreamedAnswer from './StreamedAnswer';
import type { CancelSignal } from './Types';

/** Unsent bytes above which a channel takes no further call; its peer doesn't read. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** A call to be sent; the channel numbers it. */
export type OutgoingCall = Omit<CallFrame, 'kind' | 'number'>;

/** What a call on a channel comes to: an answer whose body may still come, or none. */
export type ChannelReply = StreamedAnswer | RefusalFrame;

/** A call on a channel. */
export interface ChannelCall {
  /**
   * Resolves with what the other daemon says.
   *
   * @throws ExchangeError - The channel ended before that, or the call was given up.
   */
  readonly reply: Promise<ChannelReply>;
  /** Whether the other daemon may have received it. */
  readonly isSent: () => boolean;
  /** Gives it up. */
  readonly abort: () => void;
}

/** How a channel is opened. */
export interface ChannelOptions {
  /** Daemon that opens it. */
  readonly own: DaemonId;
  /** Longest wait for the connection, in milliseconds. */
  readonly connectMs: number;
  readonly clock: Clock;
  /** Called once the connection has ended or couldn't be opened. */
  readonly onEnd: (channel: CallChannel) => void;
}

interface PendingCall {
  readonly resolve: (reply: ChannelReply) => void;
  readonly reject: (error: ExchangeError) => void;
  readonly settle: () => void;
  readonly onSilent: (() => void) | undefined;
  sent: boolean;
  answer: StreamedAnswer | undefined;
  body: ChannelBody | undefined;
}

/** One connection to another daemon, which carries all calls to it. */
export default class CallChannel implements Disposable {
  private readonly socket: WebSocket;

  private batch: SocketBatch | undefined;

  private readonly calls = new Map<ChannelCallNumber, PendingCall>();

  /** What was asked for before the connection was open. */
  private unsent: (() => void)[] = [];

  private lastNumber = 0;

  private heardAt: number;

  private ended = false;

  private retiring = false;

  /**
   * @param address - Of the other daemon.
   * @param options - How to open it.
   */
  public constructor(
    address: Address,
    private readonly options: ChannelOptions,
  ) {
    this.heardAt = options.clock.now();
    this.socket = new WebSocket(channelUrl(address, options.own), {
      handshakeTimeout: options.connectMs,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    this.socket.on('upgrade', ({ socket }) => this.attach(socket));
    this.socket.on('open', () => this.flush());
    this.socket.on('message', (data: Buffer) => this.receive(data));
    this.socket.on('pong', () => this.hear());
    this.socket.on('error', (error: NodeJS.ErrnoException) => this.end(error.message, error.code));
    this.socket.on('close', () => this.end('the connection was closed'));
  }

  /** Monotonic time in ms at which the other daemon last sent anything. */
  public get lastHeardAt(): number {
    return this.heardAt;
  }

  /** Whether the connection is open. */
  public get isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Calls whose answers aren't complete. */
  public get openCalls(): number {
    return this.calls.size;
  }

  /**
   * @param call - What to send.
   * @param signal - Cancels it.
   * @param onSilent - Called, perhaps again, while nothing comes on this channel though the other
   * daemon answers elsewhere. The call goes on and may still be answered.
   * @returns The call on this channel.
   */
  public send(call: OutgoingCall, signal: CancelSignal, onSilent?: () => void): ChannelCall {
    this.lastNumber += 1;
    const number = this.lastNumber as ChannelCallNumber;
    const abort = () => this.abort(number);
    let pending: PendingCall | undefined;
    const reply = new Promise<ChannelReply>((resolve, reject) => {
      pending = {
        resolve,
        reject,
        settle: () => signal.removeEventListener('abort', abort),
        onSilent,
        sent: false,
        answer: undefined,
        body: undefined,
      };
    });
    this.calls.set(number, pending!);
    if (this.ended || this.socket.bufferedAmount > MAX_UNSENT_BYTES) {
      this.fail(number, 'the channel takes no call', false);
    } else if (signal.aborted) abort();
    else {
      signal.addEventListener('abort', abort, { once: true });
      this.whenOpen(() => {
        if (!this.calls.has(number)) return;
        pending!.sent = true;
        this.write({ kind: 'call', number, ...call });
      });
    }
    return { reply, isSent: () => pending!.sent, abort };
  }

  /** Asks the other daemon for a sign of life. */
  public ping(): void {
    if (this.isOpen) this.socket.ping();
  }

  /** Ends the connection once the calls on it have ended. */
  public retire(): void {
    this.retiring = true;
    if (this.calls.size === 0) this.dispose();
  }

  /** Tells the calls that wait for an answer that nothing comes. */
  public tellSilent(): void {
    for (const { answer, onSilent } of [...this.calls.values()]) {
      if (!answer) onSilent?.();
    }
  }

  public dispose(): void {
    this.socket.terminate();
    this.end('the channel was closed');
  }

  private attach(socket: Socket): void {
    socket.setNoDelay(true);
    this.batch = new SocketBatch(socket);
  }

  private hear(): void {
    this.heardAt = this.options.clock.now();
  }

  private flush(): void {
    this.hear();
    const { unsent } = this;
    this.unsent = [];
    for (const send of unsent) send();
  }

  private whenOpen(send: () => void): void {
    if (this.isOpen) send();
    else this.unsent.push(send);
  }

  private write(frame: RequestFrame): void {
    if (!this.isOpen) return;
    this.batch?.begin();
    this.socket.send(encodeFrame(frame, this.options.clock.now()));
  }

  private receive(data: Buffer): void {
    this.hear();
    let frame: ReplyFrame;
    try {
      frame = decodeReplyFrame(data);
    } catch (error) {
      this.socket.terminate();
      this.end((error as Error).message);
      return;
    }
    const pending = this.calls.get(frame.number);
    // A call that was given up may still be answered.
    if (pending) this.take(frame, pending);
  }

  private take(frame: ReplyFrame, pending: PendingCall): void {
    switch (frame.kind) {
      case 'answer':
        this.begin(frame, pending);
        break;
      case 'body':
        pending.answer?.push(frame.chunk);
        pending.body?.note(frame.chunk.length);
        break;
      case 'end':
        this.remove(frame.number);
        if (frame.complete) pending.answer?.complete();
        else pending.answer?.fail('the answer broke off at the other daemon');
        break;
      default:
        this.remove(frame.number);
        pending.resolve(frame);
    }
  }

  private begin(frame: AnswerFrame, pending: PendingCall): void {
    const { number } = frame;
    const body = new ChannelBody(
      (bytes) => this.write({ kind: 'credit', number, bytes }),
      () => this.abort(number),
    );
    const answer = new StreamedAnswer(frame.status, frame.headers, body);
    answer.load = frame.load;
    Object.assign(pending, { answer, body });
    if (frame.whole) {
      this.remove(number);
      answer.push(frame.whole);
      answer.complete();
    }
    pending.resolve(answer);
  }

  private abort(number: ChannelCallNumber): void {
    const pending = this.calls.get(number);
    if (!pending) return;
    if (pending.sent) this.write({ kind: 'cancel', number });
    this.fail(number, 'aborted', true);
  }

  private fail(
    number: ChannelCallNumber,
    reason: string,
    aborted: boolean,
    code?: string | undefined,
  ): void {
    const pending = this.calls.get(number)!;
    this.remove(number);
    if (pending.answer) pending.answer.fail(reason);
    else pending.reject(new ExchangeError(reason, pending.sent, aborted, code));
  }

  private remove(number: ChannelCallNumber): void {
    this.calls.get(number)?.settle();
    this.calls.delete(number);
    if (this.retiring && this.calls.size === 0) this.dispose();
  }

  private end(reason: string, code?: string): void {
    if (this.ended) return;
    this.ended = true;
    this.unsent = [];
    for (const number of [...this.calls.keys()]) this.fail(number, reason, false, code);
    this.options.onEnd(this);
  }
}
