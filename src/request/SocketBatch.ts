import type { Socket } from 'node:net';

/**
 * Gathers what one callback writes to a socket into one system call. Not what a whole turn of the
 * event loop writes: under load a turn takes half a second, and a call would wait for its end.
 */
export default class SocketBatch {
  private open = false;

  /** @param socket - Where it is written. */
  public constructor(private readonly socket: Socket) {}

  /** Called before each write. */
  public begin(): void {
    if (this.open) return;
    this.open = true;
    this.socket.cork();
    process.nextTick(() => {
      this.open = false;
      this.socket.uncork();
    });
  }
}
