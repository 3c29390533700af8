import type { Clock } from '../common/Types';

/**
 * Time in milliseconds for which one turn of the event loop starts calls. What remains of the turn is
 * input: responses, and one connection from the accept queue.
 */
const TURN_BUDGET_MS = 4;

/** A call that waits to be started. */
interface Arrival {
  readonly arrivedAt: number;
  readonly start: () => void;
}

/**
 * Spreads the start of calls over turns of the event loop.
 *
 * Handles a daemon to which more calls arrive at once than it has processor time for, as after a power
 * cut or while callers retry immediately. The event loop accepts one connection per turn; if a turn starts
 * all calls that have arrived, turns become long, and callers give up connections that nobody accepts.
 * While calls wait here, turns stay short, urgent calls overtake others, and the length of the wait tells
 * how many calls to refuse.
 */
export default class ArrivalQueue {
  private readonly urgent: Arrival[] = [];

  private readonly others: Arrival[] = [];

  /** Monotonic time in ms at which the current turn began to start calls; `undefined` if it hasn't. */
  private turnStartedAt: number | undefined;

  /**
   * @param clock - Monotonic clock.
   * @param afterTurn - Calls a function in the next turn of the event loop, after input was handled.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly afterTurn: (next: () => void) => void = setImmediate,
  ) {}

  /** Number of calls that wait. */
  public get length(): number {
    return this.urgent.length + this.others.length;
  }

  /** Time in milliseconds for which the call that starts next has waited; 0 if none waits. */
  public get waitMs(): number {
    const next = this.urgent[0] ?? this.others[0];
    return next ? this.clock.now() - next.arrivedAt : 0;
  }

  /**
   * Starts a call in this turn of the event loop if the turn has time left, else in a later one.
   *
   * @param isUrgent - Whether the call is started before those that aren't urgent.
   * @param start - Starts the call.
   */
  public add(isUrgent: boolean, start: () => void): void {
    const now = this.clock.now();
    if (this.length === 0 && this.hasTime(now)) {
      start();
      return;
    }
    (isUrgent ? this.urgent : this.others).push({ arrivedAt: now, start });
  }

  /** Whether the current turn may start another call; begins to measure the turn at its first call. */
  private hasTime(now: number): boolean {
    if (this.turnStartedAt !== undefined) return now - this.turnStartedAt < TURN_BUDGET_MS;
    this.turnStartedAt = now;
    this.afterTurn(() => this.endTurn());
    return true;
  }

  private endTurn(): void {
    this.turnStartedAt = undefined;
    this.startNext();
  }

  /** Starts waiting calls one after the other, each once the work of the one before is done. */
  private startNext(): void {
    const next = this.urgent[0] ?? this.others[0];
    if (!next || !this.hasTime(this.clock.now())) return;
    (this.urgent.length > 0 ? this.urgent : this.others).shift();
    next.start();
    // The work of a started call runs in microtasks, before the tick after it.
    process.nextTick(() => queueMicrotask(() => process.nextTick(() => this.startNext())));
  }
}
