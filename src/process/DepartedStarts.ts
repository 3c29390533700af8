import type { Clock, InstanceId } from '../common/Types';
import type { Departure } from './Types';

/** Upstreams that left and are remembered. */
const REMEMBERED = 64;

interface Departed {
  /** Starts up to this time left, in milliseconds since the epoch; `undefined` while none is known. */
  readonly until: number | undefined;
  /** When a departure came that didn't tell its start; monotonic, in milliseconds. */
  readonly untoldAt: number | undefined;
}

/**
 * The starts of upstreams that left, so that late news can't bring them back. A departure binds also
 * where this daemon didn't know the upstream, as after its own restart.
 */
export default class DepartedStarts {
  private readonly byInstance = new Map<InstanceId, Departed>();

  /**
   * @param clock - Source of monotonic time.
   * @param timeOfDay - Milliseconds since the epoch, by the clock that upstreams tell their starts by.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly timeOfDay: () => number,
  ) {}

  /** @param departure - What left; without its start it is the one that left before, if any did. */
  public add({ instance, startedAt }: Departure): void {
    const before = this.byInstance.get(instance);
    if (startedAt !== undefined) {
      const until = Math.max(startedAt, before?.until ?? startedAt);
      this.put(instance, { until, untoldAt: before?.untoldAt });
    } else if (before?.until === undefined) {
      this.put(instance, { until: undefined, untoldAt: this.clock.now() });
    }
  }

  /**
   * @param instance - Id of an upstream.
   * @param startedAt - Its start, in milliseconds since the epoch; `undefined` where it told none.
   * @returns Whether it left, or is an earlier start than one that left.
   */
  public has(instance: InstanceId, startedAt: number | undefined): boolean {
    const departed = this.byInstance.get(instance);
    if (!departed) return false;
    const { until, untoldAt } = departed;
    if (startedAt === undefined) return true;
    if (until !== undefined && startedAt <= until) return true;
    if (untoldAt === undefined) return false;
    const ageMs = this.timeOfDay() - startedAt;
    const left = this.clock.now() - ageMs <= untoldAt;
    // A start is judged once; no later step of the time of day takes one out that was taken in.
    this.put(instance, left ? { until: startedAt, untoldAt } : { until, untoldAt: undefined });
    return left;
  }

  private put(instance: InstanceId, departed: Departed): void {
    this.byInstance.delete(instance);
    this.byInstance.set(instance, departed);
    if (this.byInstance.size <= REMEMBERED) return;
    const [oldest] = this.byInstance.keys();
    this.byInstance.delete(oldest!);
  }
}
