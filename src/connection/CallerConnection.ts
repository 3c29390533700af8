import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { OUTCOME_HEADER } from '../request/callHeaders';
import PipelinedRequest from './PipelinedRequest';

/**
 * Lingering close: time in milliseconds that a caller has to close its side; data that it sends in
 * this time is discarded. Data that arrives at a closed socket, or is unread when it closes, causes a
 * TCP reset, which can lose response data that is still in transit.
 */
const LINGERING_CLOSE_TIMEOUT_MS = 1_000;

const REFUSAL_HEADERS = {
  [OUTCOME_HEADER]: 'not-run',
  connection: 'close',
  'content-length': '0',
};

/** A caller's HTTP/1.1 connection, with responses to pipelined requests in request order. */
export default class CallerConnection {
  /** Requests whose responses haven't been fully sent, in request order. */
  private readonly pipeline: PipelinedRequest[] = [];

  /**
   * Number of bytes received on the connection when the latest response was sent; `undefined`
   * before the first response.
   */
  private bytesAtLastResponse: number | undefined;

  /**
   * Whether the connection is closing: a response has announced its end to the caller, or a refusal
   * that does so is due.
   */
  private closing = false;

  /**
   * @param id - Number of the connection, unique in this process.
   * @param socket - Socket of the connection.
   */
  public constructor(
    public readonly id: number,
    private readonly socket: Socket,
  ) {
    socket.once('close', () => this.failPending());
    // Node.js calls this to close the connection after a response with `connection: close`.
    this.socket.destroySoon = () => this.closeGracefully();
  }

  /**
   * Adds a request to the pipeline.
   *
   * @param message - Request whose head has been read.
   * @param response - Response to the request.
   * @returns Position of the request; `undefined` if the connection is closing, so that the request
   *   must not be processed.
   * @see {@link https://www.rfc-editor.org/rfc/rfc9112#section-9.6}
   */
  public enqueue(message: IncomingMessage, response: ServerResponse): PipelinedRequest | undefined {
    if (this.closing) return undefined;
    const request = new PipelinedRequest(this, message, response, this.pipeline.length);
    this.pipeline.push(request);
    if (this.pipeline[0] === request) request.allowResponse();
    response.once('finish', () => this.finish(request));
    return request;
  }

  /**
   * Starts to close the connection unless a later request has already been accepted.
   *
   * @param request - Request whose response would be the last one.
   * @returns Whether its response is the last one; later requests are then ignored.
   */
  public tryCloseAfter(request: PipelinedRequest): boolean {
    if (this.closing || this.pipeline.at(-1) !== request) return false;
    this.closing = true;
    return true;
  }

  /**
   * Refuses a malformed or incomplete request after the responses to earlier requests, and closes the
   * connection.
   *
   * @param status - HTTP status of the refusal.
   */
  public refuse(status: number): void {
    if (this.closing) return;
    this.closing = true;
    const last = this.pipeline.at(-1);
    if (!last) this.writeRefusal(status);
    else if (!last.refuseIncomplete(status, REFUSAL_HEADERS)) {
      void last.whenSent().then((delivered) => delivered && this.writeRefusal(status));
    }
  }

  /**
   * Handles a caller that closed its side in the middle of a request, which is indistinguishable from
   * a caller that has gone.
   *
   * @param status - HTTP status of the refusal.
   */
  public handleHalfClose(status: number): void {
    if (this.pipeline.length > 1 || this.pipeline[0]?.isComplete) this.socket.destroySoon();
    else this.refuse(status);
  }

  /** Closes the connection if all responses are sent and no byte of a further request arrived. */
  public closeIfIdle(): void {
    const isIdle = this.pipeline.length === 0 && this.bytesAtLastResponse === this.socket.bytesRead;
    if (isIdle && !this.closing) this.socket.destroySoon();
  }

  private writeRefusal(status: number): void {
    // Node.js has already closed the connection if the caller requested that.
    if (!this.socket.writable) return;
    const headers = Object.entries(REFUSAL_HEADERS).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${headers.join('')}\r\n`);
    this.closeGracefully();
  }

  /** Closes this side after all data is sent, then waits for the caller's close with a timeout. */
  private closeGracefully(): void {
    if (!this.socket.writable) return;
    this.closing = true;
    this.socket.end();
    const timer = setTimeout(() => this.socket.destroy(), LINGERING_CLOSE_TIMEOUT_MS).unref();
    this.socket.once('close', () => clearTimeout(timer));
  }

  /** @param request - Request whose response was handed completely to the operating system. */
  private finish(request: PipelinedRequest): void {
    const index = this.pipeline.indexOf(request);
    if (index >= 0) this.pipeline.splice(index, 1);
    this.bytesAtLastResponse = this.socket.bytesRead;
    request.discardRemainder();
    request.settle(true);
    this.pipeline[0]?.allowResponse();
  }

  private failPending(): void {
    for (const request of this.pipeline.splice(0)) request.settle(false);
  }
}
