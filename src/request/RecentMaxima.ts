import type { Clock } from '../common/Types';

/**
 * Length of one of the two windows, in milliseconds. A value is kept for one to two windows, which
 * is long enough for routes with as little as one call per second.
 */
const WINDOW_MS = 30_000;

/** Maximum recent value of each key, over the current window and the previous one. */
export default class RecentMaxima<Key> {
  private current = new Map<Key, number>();

  private previous = new Map<Key, number>();

  private windowStart: number;

  /** @param clock - Source of time. */
  public constructor(private readonly clock: Clock) {
    this.windowStart = clock.now();
  }

  /**
   * Records a value.
   *
   * @param key - The key that the value belongs to.
   * @param value - The value.
   */
  public record(key: Key, value: number): void {
    this.rotateWindows();
    this.current.set(key, Math.max(value, this.current.get(key) ?? -Infinity));
  }

  /**
   * @param key - A key.
   * @returns Its maximum recent value; `undefined` if none was recorded in the two windows.
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
