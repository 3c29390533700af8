import type { Clock } from '../common/Types';

/** Half of the time that is looked back on, at most, in milliseconds; rare calls come once a second. */
const WINDOW_MS = 30_000;

/** Keeps the largest recent value of each key, over the current window and the one before it. */
export default class RecentMaxima<Key> {
  private current = new Map<Key, number>();

  private previous = new Map<Key, number>();

  private since: number;

  /** @param clock - Source of time. */
  public constructor(private readonly clock: Clock) {
    this.since = clock.now();
  }

  /**
   * @param key - What the value is of.
   * @param value - The value.
   */
  public note(key: Key, value: number): void {
    this.turn();
    this.current.set(key, Math.max(value, this.current.get(key) ?? -Infinity));
  }

  /**
   * @param key - A key.
   * @returns Its largest recent value; `undefined` where none was noted.
   */
  public of(key: Key): number | undefined {
    this.turn();
    const values = [this.current.get(key), this.previous.get(key)];
    const known = values.filter((value) => value !== undefined);
    return known.length > 0 ? Math.max(...known) : undefined;
  }

  private turn(): void {
    const ageMs = this.clock.now() - this.since;
    if (ageMs < WINDOW_MS) return;
    this.previous = ageMs < 2 * WINDOW_MS ? this.current : new Map();
    this.current = new Map();
    this.since = this.clock.now();
  }
}
