import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { OUTCOME_HEADER } from '../request/callHeaders';
import CallerTurn from './CallerTurn';

/**
 * How long a caller may take to close its side, in milliseconds. What it sends meanwhile is dropped: bytes
 * that come to a closed connection, or are unread as it closes, reset it, and what is on its way is lost.
 */
const LINGER_MS = 1_000;

const REFUSAL_HEADERS = {
  [OUTCOME_HEADER]: 'not-run',
  connection: 'close',
  'content-length': '0',
};

/** A caller's connection, whose requests are answered in the order in which they came. */
export default class CallerConnection {
  /** Requests whose answers haven't left, in order. */
  private readonly turns: CallerTurn[] = [];

  /** Bytes that had come when the last answer left; `undefined` before any did. */
  private settledBytes: number | undefined;

  /** Whether some answer announced the end of the connection, or a refusal will. */
  private closing = false;

  /**
   * @param id - Its number, unique in this process.
   * @param socket - The connection.
   */
  public constructor(
    public readonly id: number,
    private readonly socket: Socket,
  ) {
    socket.once('close', () => this.close());
    // Node ends a connection by this behind an answer that announces it.
    this.socket.destroySoon = () => this.end();
  }

  /**
   * @param message - A request whose head was just read.
   * @param response - Where its answer goes.
   * @returns The place of the request; `undefined` where it came too late to be begun.
   * @see {@link https://www.rfc-editor.org/rfc/rfc9112#section-9.6}
   */
  public take(message: IncomingMessage, response: ServerResponse): CallerTurn | undefined {
    if (this.closing) return undefined;
    const turn = new CallerTurn(this, message, response, this.turns.length);
    this.turns.push(turn);
    if (this.turns[0] === turn) turn.begin();
    response.once('finish', () => this.finish(turn));
    return turn;
  }

  /**
   * @param turn - The request whose answer would end the connection.
   * @returns Whether it does: nothing behind it was begun, and nothing will be.
   */
  public closeWith(turn: CallerTurn): boolean {
    if (this.closing || this.turns.at(-1) !== turn) return false;
    this.closing = true;
    return true;
  }

  /**
   * Refuses what is no request, or doesn't come whole, once the requests before it are answered, and
   * ends the connection.
   *
   * @param status - HTTP status.
   */
  public refuse(status: number): void {
    if (this.closing) return;
    this.closing = true;
    const last = this.turns.at(-1);
    if (!last) this.endWith(status);
    else if (!last.refuseRest(status, REFUSAL_HEADERS)) {
      void last.left().then((delivered) => delivered && this.endWith(status));
    }
  }

  /** The caller closed its side within a request, so that it can't be told from one that left. */
  public breakOff(status: number): void {
    if (this.turns.length > 1 || this.turns[0]?.isWhole) this.socket.destroySoon();
    else this.refuse(status);
  }

  /** Ends the connection if its requests are answered and nothing of another has come. */
  public closeIfIdle(): void {
    const isIdle = this.turns.length === 0 && this.settledBytes === this.socket.bytesRead;
    if (isIdle && !this.closing) this.socket.destroySoon();
  }

  private endWith(status: number): void {
    // Node ends the connection of a caller that asked for it.
    if (!this.socket.writable) return;
    const headers = Object.entries(REFUSAL_HEADERS).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${headers.join('')}\r\n`);
    this.end();
  }

  /** Ends this side once all is sent, and the other when the caller does so or took too long. */
  private end(): void {
    if (!this.socket.writable) return;
    this.closing = true;
    this.socket.end();
    const timer = setTimeout(() => this.socket.destroy(), LINGER_MS).unref();
    this.socket.once('close', () => clearTimeout(timer));
  }

  /** @param turn - Its answer was handed to the network. */
  private finish(turn: CallerTurn): void {
    const index = this.turns.indexOf(turn);
    if (index >= 0) this.turns.splice(index, 1);
    this.settledBytes = this.socket.bytesRead;
    turn.dropRest();
    turn.end(true);
    this.turns[0]?.begin();
  }

  private close(): void {
    for (const turn of this.turns.splice(0)) turn.end(false);
  }
}
