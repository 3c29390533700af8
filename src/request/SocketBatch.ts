import type { Socket } from 'node:net';

/**
 * Combines the writes that one callback makes to a socket into one system call. It doesn't combine the
 * writes of a whole event loop turn, because a turn takes half a second under load and would delay calls
 * by as much.
 */
export default class SocketBatch {
  private corked = false;

  /** @param socket - Socket whose writes are combined. */
  public constructor(private readonly socket: Socket) {}

  /** Holds writes until the end of the current callback; call it before each write. */
  public cork(): void {
    if (this.corked) return;
    this.corked = true;
    this.socket.cork();
    process.nextTick(() => {
      this.corked = false;
      this.socket.uncork();
    });
  }
}
