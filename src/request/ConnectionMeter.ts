import type { Socket } from 'node:net';
import { errors } from 'undici';

/**
 * Maximum number of consecutive bytes received on a connection that belong to no body: heads,
 * interim responses, chunk extensions, trailers and anything after a response. Four times the HTTP
 * client's limit on headers.
 */
const MAX_NON_BODY_BYTES = 64 * 1024;

/**
 * Closes a connection that receives an endless stream of bytes outside of response bodies. The HTTP
 * client limits only the names and values of headers, so whitespace, blank lines, reason phrases, interim
 * responses and chunk extensions could otherwise continue forever.
 */
export default class ConnectionMeter {
  /**
   * Number of received bytes that the HTTP client had consumed at the last call of `resetCount`.
   */
  private consumedAtReset = 0;

  /** @param socket - Connection to the upstream. */
  public constructor(private readonly socket: Socket) {}

  /**
   * Restarts the count of bytes outside of bodies; called for each head, part of a body and end of
   * a response.
   */
  public resetCount(): void {
    this.consumedAtReset = this.consumedBytes;
  }

  /**
   * Closes the connection if too many bytes outside of bodies were received; called before the HTTP
   * client consumes received data.
   */
  public enforceLimit(): void {
    if (this.consumedBytes - this.consumedAtReset > MAX_NON_BODY_BYTES) {
      this.closeConnection('the upstream sends bytes of no answer without end');
    }
  }

  /** @param reason - Why the connection is closed. */
  public closeConnection(reason: string): void {
    // On a `SocketError` the HTTP client sends requests that are still queued over another
    // connection.
    this.socket.destroy(new errors.SocketError(reason));
  }

  /** Number of received bytes that the HTTP client has consumed. */
  private get consumedBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }
}
