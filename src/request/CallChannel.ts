import type { Socket } from 'node:net';
import { WebSocket } from 'ws';
import type { Address, Clock, DaemonId, Disposable } from '../common/Types';
import ReceiveWindow from './ReceiveWindow';
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

/**
 * Number of unsent bytes above which a channel accepts no further call, because its peer isn't
 * reading.
 */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;
/** Size in bytes of the fragments in which a larger frame is sent; each is copied to be masked. */
const FRAGMENT_BYTES = 256 * 1024;

/** A call to send; the channel assigns its number. */
export type OutgoingCall = Omit<CallFrame, 'kind' | 'number'>;

/** Reply to a call on a channel: an answer, whose body may still be arriving, or a refusal. */
export type ChannelReply = StreamedAnswer | RefusalFrame;

/** Handle of a call in progress on a channel. */
export interface ChannelCall {
  /**
   * Resolves with the reply of the other daemon.
   *
   * @throws ExchangeError - The channel closed before the reply arrived, or the call was aborted.
   */
  readonly reply: Promise<ChannelReply>;
  /** Whether the call was written to the connection, so that the other daemon may have received it. */
  readonly isSent: () => boolean;
  /** Aborts the call, and cancels it at the other daemon if it was sent. */
  readonly abort: () => void;
}

/** Options for opening a channel. */
export interface ChannelOptions {
  /** The daemon that opens the channel. */
  readonly localDaemon: DaemonId;
  /** Timeout of the connection attempt, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly clock: Clock;
  /** Called once, when the connection has closed or couldn't be opened. */
  readonly onEnd: (channel: CallChannel) => void;
}

interface PendingCall {
  readonly resolve: (reply: ChannelReply) => void;
  readonly reject: (error: ExchangeError) => void;
  readonly removeAbortListener: () => void;
  readonly onSilent: (() => void) | undefined;
  sent: boolean;
  answer: StreamedAnswer | undefined;
  receiveWindow: ReceiveWindow | undefined;
}

/** Sending side of a channel: one WebSocket connection to another daemon that multiplexes calls. */
export default class CallChannel implements Disposable {
  private readonly socket: WebSocket;

  private writeBatch: SocketBatch | undefined;

  private readonly calls = new Map<ChannelCallNumber, PendingCall>();

  /** Functions that send frames, to be called when the connection is open and no fragments are left. */
  private deferredSends: (() => void)[] = [];

  /** Number of bytes of a frame of which the other fragments were sent. */
  private unsentFragmentBytes = 0;

  private lastNumber = 0;

  private receivedAt: number;

  private isClosed = false;

  private closesWhenIdle = false;

  /**
   * Starts to open the connection.
   *
   * @param address - Address of the other daemon.
   * @param options - Options for opening the channel.
   */
  public constructor(
    address: Address,
    private readonly options: ChannelOptions,
  ) {
    this.receivedAt = options.clock.now();
    this.socket = new WebSocket(channelUrl(address, options.localDaemon), {
      handshakeTimeout: options.connectTimeoutMs,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    this.socket.on('upgrade', ({ socket }) => this.initSocket(socket));
    this.socket.on('open', () => {
      this.markReceived();
      this.flushDeferred();
    });
    this.socket.on('message', (data: Buffer) => this.receive(data));
    this.socket.on('pong', () => this.markReceived());
    this.socket.on('error', (error: NodeJS.ErrnoException) =>
      this.handleClose(error.message, error.code),
    );
    this.socket.on('close', () => this.handleClose('the connection was closed'));
  }

  /** Monotonic time in ms at which a frame or pong was last received on this channel. */
  public get lastReceivedAt(): number {
    return this.receivedAt;
  }

  /** Whether the connection is open. */
  public get isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Number of calls whose answers aren't complete. */
  public get openCalls(): number {
    return this.calls.size;
  }

  /**
   * Sends a call as soon as the connection is open.
   *
   * @param call - The call to send.
   * @param signal - Cancels the call.
   * @param onSilent - Called, possibly repeatedly, while nothing is received on this channel though
   * the other daemon responds on other connections. The call continues and may still be answered.
   * @returns The reply to come, and functions to check whether the call was sent and to abort it.
   */
  public send(call: OutgoingCall, signal: CancelSignal, onSilent?: () => void): ChannelCall {
    this.lastNumber += 1;
    const number = this.lastNumber as ChannelCallNumber;
    const abort = () => this.abortCall(number);
    let pending: PendingCall | undefined;
    const reply = new Promise<ChannelReply>((resolve, reject) => {
      pending = {
        resolve,
        reject,
        removeAbortListener: () => signal.removeEventListener('abort', abort),
        onSilent,
        sent: false,
        answer: undefined,
        receiveWindow: undefined,
      };
    });
    this.calls.set(number, pending!);
    if (this.isClosed || this.unsentBytes > MAX_UNSENT_BYTES) {
      this.failCall(number, 'the channel takes no call', false);
    } else if (signal.aborted) abort();
    else {
      signal.addEventListener('abort', abort, { once: true });
      this.whenWritable(() => {
        if (!this.calls.has(number)) return;
        pending!.sent = true;
        this.write({ kind: 'call', number, ...call });
      });
    }
    return { reply, isSent: () => pending!.sent, abort };
  }

  /** Sends a WebSocket ping, to which the other daemon responds with a pong. */
  public ping(): void {
    if (this.isOpen) this.socket.ping();
  }

  /** Closes the connection once the calls on it have ended. */
  public closeWhenIdle(): void {
    this.closesWhenIdle = true;
    if (this.calls.size === 0) this.dispose();
  }

  /** Notifies the calls that wait for the head of an answer that the channel is silent. */
  public notifySilent(): void {
    for (const { answer, onSilent } of [...this.calls.values()]) {
      if (!answer) onSilent?.();
    }
  }

  public dispose(): void {
    this.socket.terminate();
    this.handleClose('the channel was closed');
  }

  private initSocket(socket: Socket): void {
    socket.setNoDelay(true);
    this.writeBatch = new SocketBatch(socket);
  }

  private markReceived(): void {
    this.receivedAt = this.options.clock.now();
  }

  private get unsentBytes(): number {
    return this.socket.bufferedAmount + this.unsentFragmentBytes;
  }

  /** Whether a frame can be sent now; between the fragments of one, no other frame may be sent. */
  private get isWritable(): boolean {
    return this.isOpen && this.unsentFragmentBytes === 0;
  }

  private flushDeferred(): void {
    const { deferredSends } = this;
    this.deferredSends = [];
    for (const send of deferredSends) this.whenWritable(send);
  }

  private whenWritable(send: () => void): void {
    if (this.isWritable) send();
    else this.deferredSends.push(send);
  }

  /** Sends a frame, unless the connection isn't open. */
  private write(frame: RequestFrame): void {
    if (!this.isOpen) return;
    this.whenWritable(() => {
      const bytes = encodeFrame(frame, this.options.clock.now());
      this.writeBatch?.cork();
      if (bytes.length <= FRAGMENT_BYTES) this.socket.send(bytes);
      else void this.sendFragments(bytes);
    });
  }

  /** Sends a large frame part by part, so that only one part at a time is copied. */
  private async sendFragments(bytes: Uint8Array): Promise<void> {
    this.unsentFragmentBytes = bytes.length;
    while (this.unsentFragmentBytes > 0) {
      const start = bytes.length - this.unsentFragmentBytes;
      const fragment = bytes.subarray(start, start + FRAGMENT_BYTES);
      const fin = start + fragment.length === bytes.length;
      // An error closes the connection, which fails the calls on it.
      await new Promise<unknown>((resolve) => {
        this.socket.send(fragment, { binary: true, fin }, resolve);
      });
      if (this.isClosed) return;
      this.unsentFragmentBytes -= fragment.length;
    }
    this.flushDeferred();
  }

  private receive(data: Buffer): void {
    this.markReceived();
    let frame: ReplyFrame;
    try {
      frame = decodeReplyFrame(data);
    } catch (error) {
      this.socket.terminate();
      this.handleClose((error as Error).message);
      return;
    }
    const pending = this.calls.get(frame.number);
    // Frames for an aborted call may still arrive; they are dropped.
    if (pending) this.handleReply(frame, pending);
  }

  private handleReply(frame: ReplyFrame, pending: PendingCall): void {
    switch (frame.kind) {
      case 'answer':
        this.startAnswer(frame, pending);
        break;
      case 'body':
        pending.answer?.push(frame.chunk);
        pending.receiveWindow?.onReceived(frame.chunk.length);
        break;
      case 'end':
        this.removeCall(frame.number);
        if (frame.complete) pending.answer?.complete();
        else pending.answer?.fail('the answer broke off at the other daemon');
        break;
      default:
        this.removeCall(frame.number);
        pending.resolve(frame);
    }
  }

  private startAnswer(frame: AnswerFrame, pending: PendingCall): void {
    const { number } = frame;
    const receiveWindow = new ReceiveWindow(
      (bytes) => this.write({ kind: 'credit', number, bytes }),
      () => this.abortCall(number),
    );
    const answer = new StreamedAnswer(frame.status, frame.headers, receiveWindow);
    answer.load = frame.load;
    Object.assign(pending, { answer, receiveWindow });
    if (frame.completeBody) {
      this.removeCall(number);
      answer.push(frame.completeBody);
      answer.complete();
    }
    pending.resolve(answer);
  }

  private abortCall(number: ChannelCallNumber): void {
    const pending = this.calls.get(number);
    if (!pending) return;
    if (pending.sent) this.write({ kind: 'cancel', number });
    this.failCall(number, 'aborted', true);
  }

  private failCall(
    number: ChannelCallNumber,
    reason: string,
    aborted: boolean,
    code?: string | undefined,
  ): void {
    const pending = this.calls.get(number)!;
    this.removeCall(number);
    if (pending.answer) pending.answer.fail(reason);
    else pending.reject(new ExchangeError(reason, pending.sent, aborted, code));
  }

  private removeCall(number: ChannelCallNumber): void {
    this.calls.get(number)?.removeAbortListener();
    this.calls.delete(number);
    if (this.closesWhenIdle && this.calls.size === 0) this.dispose();
  }

  private handleClose(reason: string, code?: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.deferredSends = [];
    for (const number of [...this.calls.keys()]) this.failCall(number, reason, false, code);
    this.options.onEnd(this);
  }
}
