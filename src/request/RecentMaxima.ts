import type { Clock } from '../common/Types';

/**
 * Length of the current and of the previous time window, in milliseconds. A value is kept for one
 * to two windows, which is long enough for routes with as little as one call per second.
 */
const WINDOW_MS = 30_000;

/** Maximum of the values recorded for each key in the current time window and the previous one. */
export default class RecentMaxima<Key> {
  private current = new Map<Key, number>();

  private previous = new Map<Key, number>();

  private windowStart: number;

  /** @param clock - Monotonic clock, by which the time windows begin and end. */
  public constructor(private readonly clock: Clock) {
    this.windowStart = clock.now();
  }

  /**
   * Records a value, which is kept for one to two time windows.
   *
   * @param key - Key that the value belongs to, such as a route.
   * @param value - Value to include in the maximum of the key.
   */
  public record(key: Key, value: number): void {
    this.rotateWindows();
    this.current.set(key, Math.max(value, this.current.get(key) ?? -Infinity));
  }

  /**
   * @param key - Key to look up.
   * @returns Maximum of the key's values; `undefined` if none was recorded in the two time windows.
   */
  public maximumOf(key: Key): number | undefined {
    this.rotateWindows();
    const values = [this.current.get(key), this.previous.get(key)];
    const known = values.filter((value) => value !== undefined);
    return known.length > 0 ? Math.max(...known) : undefined;
  }

  private rotateWindows(): void {
    const ageMs = this.clock.now() - this.windowStart;
    if (ageMs < WINDOW_MS) return;
    this.previous = ageMs < 2 * WINDOW_MS ? this.current : new Map();
    this.current = new Map();
    this.windowStart = this.clock.now();
  }
}
