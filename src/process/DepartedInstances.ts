import type { Clock, InstanceId } from '../common/Types';
import type { Departure } from './Types';

/** Maximum number of remembered instance ids; the one updated the longest ago is evicted. */
const MAX_INSTANCES = 64;

/** Departures of the processes that used one instance id. */
interface DepartureRecord {
  /** Start time of the newest departed process, in milliseconds since the epoch, if known. */
  readonly latestStartedAt: number | undefined;
  /**
   * Monotonic time in ms at which a departure was received that didn't include the start time of
   * the departed process; `undefined` if there was none.
   */
  readonly unspecifiedAt: number | undefined;
}

/**
 * Remembers upstream processes that left, so that delayed announcements can't register them again. An
 * instance id may be reused by a later process; the start time tells the processes apart. Departures of
 * upstreams unknown to this daemon count too: it may have restarted since their registration.
 */
export default class DepartedInstances {
  private readonly byInstance = new Map<InstanceId, DepartureRecord>();

  /**
   * @param clock - Monotonic clock.
   * @param timeOfDay - Milliseconds since the epoch, by the clock that upstreams take start times from.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly timeOfDay: () => number,
  ) {}

  /**
   * Records a departure.
   *
   * @param departure - Which process left. Without a start time it counts as a repetition of the known
   * departure of this instance, if there is one.
   */
  public add({ instance, startedAt }: Departure): void {
    const before = this.byInstance.get(instance);
    if (startedAt !== undefined) {
      const latestStartedAt = Math.max(startedAt, before?.latestStartedAt ?? startedAt);
      this.remember(instance, { latestStartedAt, unspecifiedAt: before?.unspecifiedAt });
    } else if (before?.latestStartedAt === undefined) {
      this.remember(instance, { latestStartedAt: undefined, unspecifiedAt: this.clock.now() });
    }
  }

  /**
   * @param instance - Instance id of an upstream.
   * @param startedAt - Its start time, in milliseconds since the epoch, if known.
   * @returns Whether this process, or a later one with the same id, left.
   */
  public has(instance: InstanceId, startedAt: number | undefined): boolean {
    const departed = this.byInstance.get(instance);
    if (!departed) return false;
    const { latestStartedAt, unspecifiedAt } = departed;
    if (startedAt === undefined) return true;
    if (latestStartedAt !== undefined && startedAt <= latestStartedAt) return true;
    if (unspecifiedAt === undefined) return false;
    const ageMs = this.timeOfDay() - startedAt;
    const left = this.clock.now() - ageMs <= unspecifiedAt;
    // The result is stored, so that a later step of the system clock can't revoke a registration.
    this.remember(
      instance,
      left
        ? { latestStartedAt: startedAt, unspecifiedAt }
        : { latestStartedAt, unspecifiedAt: undefined },
    );
    return left;
  }

  private remember(instance: InstanceId, departed: DepartureRecord): void {
    this.byInstance.delete(instance);
    this.byInstance.set(instance, departed);
    if (this.byInstance.size <= MAX_INSTANCES) return;
    const [oldest] = this.byInstance.keys();
    this.byInstance.delete(oldest!);
  }
}
