import type { Socket } from 'node:net';
import { errors } from 'undici';

/**
 * Most bytes that a connection may bring between two parts of bodies: heads with their interim answers,
 * chunk extensions, trailers, anything behind an answer. Four times what the client takes of headers.
 */
const MAX_BYTES_BESIDE_BODIES = 64 * 1024;

/**
 * Closes a connection on which bytes come without end that belong to no body. The HTTP client bounds
 * the names and values of headers only: blanks, blank lines, reasons, interim answers and chunk
 * extensions could go on for ever.
 */
export default class ConnectionMeter {
  /** Bytes that the client had taken when the last part of a body, or its end, was seen. */
  private marked = 0;

  /** @param socket - The connection. */
  public constructor(private readonly socket: Socket) {}

  /** Called with each part of a body, and with a head and an end. */
  public mark(): void {
    this.marked = this.taken;
  }

  /** Called before the client takes what came in; closes the connection where it was too much. */
  public check(): void {
    if (this.taken - this.marked <= MAX_BYTES_BESIDE_BODIES) return;
    // Of a kind that makes the client send what it hasn't sent yet over another connection.
    this.socket.destroy(
      new errors.SocketError('the upstream sends bytes of no answer without end'),
    );
  }

  private get taken(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }
}
