import type { Socket } from 'node:net';
import type { Clock } from '../common/Types';

/**
 * Tells how long connections may have waited to be accepted.
 *
 * Load it answers: many callers that connect at once, as after a power cut. The event loop accepts one
 * connection a turn, so that a second may pass before the last is accepted and its request is read,
 * although each turn is short and no timer is late.
 *
 * @see {@link https://github.com/libuv/libuv/pull/3696}
 */
export default class AcceptQueue {
  private readonly waits = new WeakMap<Socket, number>();

  /** When the queue was last seen empty, while connections come in turn after turn. */
  private emptyAt: number | undefined;

  private accepted = 0;

  /** @param clock - Source of time. */
  public constructor(private readonly clock: Clock) {}

  /** @param socket - A connection that was just accepted. */
  public note(socket: Socket): void {
    this.accepted += 1;
    const now = this.clock.now();
    this.emptyAt ??= now;
    this.waits.set(socket, now - this.emptyAt);
    const { accepted } = this;
    // The turn between the two would have accepted one more, had there been one.
    setImmediate(() =>
      setImmediate(() => {
        if (this.accepted === accepted) this.emptyAt = undefined;
      }),
    );
  }

  /**
   * @param socket - A connection.
   * @returns Longest time in ms that it may have waited to be accepted; 0 from its second request on.
   */
  public waitedMs(socket: Socket): number {
    const waitedMs = this.waits.get(socket) ?? 0;
    this.waits.delete(socket);
    return waitedMs;
  }
}
