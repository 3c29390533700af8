import type { Socket } from 'node:net';

/** Gathers what is written to a socket within one turn of the event loop into one system call. */
export default class SocketBatch {
  private open = false;

  /** @param socket - Where it is written. */
  public constructor(private readonly socket: Socket) {}

  /** Called before each write. */
  public begin(): void {
    if (this.open) return;
    this.open = true;
    this.socket.cork();
    setImmediate(() => {
      this.open = false;
      this.socket.uncork();
    });
  }
}
