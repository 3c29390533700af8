import type { Socket } from 'node:net';
import type { Clock } from '../common/Types';

/**
 * Estimates how long connections waited in the kernel's accept queue.
 *
 * The event loop accepts one connection per turn. When many callers connect at once, as after a power
 * cut, the last connection may be accepted and its request read a second late, although each turn is
 * short and no timer is late.
 *
 * @see {@link https://github.com/libuv/libuv/pull/3696}
 */
export default class AcceptDelays {
  private readonly maxDelaysMs = new WeakMap<Socket, number>();

  /**
   * Monotonic time in ms at which the accept queue was last known to be empty; `undefined` if the
   * latest event loop turns accepted no connection.
   */
  private lastEmptyAt: number | undefined;

  private acceptedCount = 0;

  /** @param clock - Monotonic clock. */
  public constructor(private readonly clock: Clock) {}

  /** @param socket - A connection that was just accepted. */
  public recordAccept(socket: Socket): void {
    this.acceptedCount += 1;
    const now = this.clock.now();
    this.lastEmptyAt ??= now;
    this.maxDelaysMs.set(socket, now - this.lastEmptyAt);
    const { acceptedCount } = this;
    // A full event loop turn passes between the callbacks; it accepts a connection if one is queued.
    setImmediate(() =>
      setImmediate(() => {
        if (this.acceptedCount === acceptedCount) this.lastEmptyAt = undefined;
      }),
    );
  }

  /**
   * Returns the accept delay of a connection once: later requests on the same connection
   * did not wait to be accepted.
   *
   * @param socket - An accepted connection.
   * @returns Upper bound of its time in the accept queue, in ms; 0 from its second request on.
   */
  public takeMaxDelayMs(socket: Socket): number {
    const maxDelayMs = this.maxDelaysMs.get(socket) ?? 0;
    this.maxDelaysMs.delete(socket);
    return maxDelayMs;
  }
}
