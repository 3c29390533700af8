import type { Socket } from 'node:net';

/** Byte counts of a group of sockets. */
export interface SocketBytes {
  readonly received: number;
  readonly sent: number;
}

/** Counts the bytes of a group of sockets, both open and closed. */
export default class SocketMeter {
  private readonly open = new Set<Socket>();

  private received = 0;

  private sent = 0;

  /** @param socket - Socket to add to the counts. */
  public track(socket: Socket): void {
    if (this.open.has(socket)) return;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.received += socket.bytesRead;
      this.sent += socket.bytesWritten;
    });
  }

  /** Total bytes so far. */
  public get bytes(): SocketBytes {
    let { received, sent } = this;
    for (const socket of this.open) {
      received += socket.bytesRead;
      sent += socket.bytesWritten;
    }
    return { received, sent };
  }
}
