import ArrivalRates from '../src/request/ArrivalRates';
import type { Upstream, UpstreamLoad } from '../src/request/Types';
import type { ReplayUpstream } from './PlacementReplay';

/** Calls that may queue for each slot, as at upstreams that announce their slots. */
const QUEUE_PER_SLOT = 8;
/** Weight of the newest call in an upstream's average duration. */
const DURATION_WEIGHT = 0.1;

interface Waiting {
  readonly arrivedAt: number;
  readonly start: (waitMs: number) => void;
}

/** An upstream of a replay, with slots and a bounded queue, and the daemon beside it. */
export default class ReplayServer {
  private running = 0;

  private readonly queue: Waiting[] = [];

  public readonly arrivals = new ArrivalRates();

  /** Virtual time in ms until which the upstream is slow. */
  public slowUntil = 0;

  private meanMs: number | undefined;

  /**
   * @param upstream - The upstream as balancers see it.
   * @param spec - Slots and speed.
   */
  public constructor(
    public readonly upstream: Upstream,
    public readonly spec: ReplayUpstream,
  ) {}

  /** @param until - Virtual time in ms until which the upstream is slow. */
  public slowDown(until: number): void {
    this.slowUntil = until;
  }

  /**
   * Starts or queues a call.
   *
   * @param start - Called with the time that the call waited, in ms, when it gets a slot.
   * @param now - Virtual time in ms.
   * @returns False if the queue is full.
   */
  public admit(start: (waitMs: number) => void, now: number): boolean {
    const { slots } = this.spec;
    if (this.running < slots) {
      this.running += 1;
      start(0);
      return true;
    }
    if (this.queue.length >= QUEUE_PER_SLOT * slots) return false;
    this.queue.push({ arrivedAt: now, start });
    return true;
  }

  /**
   * Ends a call; the next one in the queue gets its slot.
   *
   * @param workMs - Time that the call held the slot, in milliseconds.
   * @param now - Virtual time in ms.
   */
  public finish(workMs: number, now: number): void {
    const known = this.meanMs ?? workMs;
    this.meanMs = known + DURATION_WEIGHT * (workMs - known);
    const next = this.queue.shift();
    if (next) next.start(now - next.arrivedAt);
    else this.running -= 1;
  }

  /**
   * @param now - Virtual time in ms.
   * @returns The load that the daemon beside the upstream reports.
   */
  public load(now: number): UpstreamLoad {
    const { slots } = this.spec;
    return {
      running: this.running,
      waiting: this.queue.length,
      slots,
      waitMs: (this.queue.length * (this.meanMs ?? 0)) / slots,
      durationMs: this.meanMs,
      failureShare: 0,
      lagMs: 0,
      meanMs: this.meanMs,
      arrivals: this.arrivals.report(now),
    };
  }
}
