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

  /** Monotonic times in ms of the latest accepts, the earliest first; as many as may wait at once. */
  private readonly latestAccepts: number[] = [];

  /**
   * @param clock - Monotonic clock.
   * @param backlog - Number of connections that may wait to be accepted.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly backlog: number,
  ) {}

  /** @param socket - A connection that was just accepted. */
  public recordAccept(socket: Socket): void {
    this.acceptedCount += 1;
    const now = this.clock.now();
    this.lastEmptyAt ??= now;
    this.maxDelaysMs.set(socket, now - Math.max(this.lastEmptyAt, this.lastFullAt()));
    this.latestAccepts.push(now);
    const { acceptedCount } = this;
    // A full event loop turn passes between the callbacks; it accepts a connection if one is queued.
    setImmediate(() =>
      setImmediate(() => {
        if (this.acceptedCount === acceptedCount) this.lastEmptyAt = undefined;
      }),
    );
  }

  /**
   * Monotonic time in ms at which the connection that is accepted now was not yet in the queue: since
   * then, more connections were accepted than fit into it.
   */
  private lastFullAt(): number {
    // The kernel lets one connection more wait than the backlog.
    if (this.latestAccepts.length <= this.backlog + 1) return -Infinity;
    return this.latestAccepts.shift()!;
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
