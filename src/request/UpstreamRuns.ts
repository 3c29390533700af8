import type { Clock } from '../common/Types';
import type { LocalRuns } from './Types';

/** Time constant of the moving average of idle time, in milliseconds. */
const AVERAGE_MS = 2_000;
/**
 * Time in milliseconds for which a run counts as going on after it was given up. The upstream doesn't
 * notice at once that nobody waits for it, and may still make calls.
 */
const GIVEN_UP_MS = 1_000;

/** Counts the calls that an upstream is running, and how many of them are repeats. */
export default class UpstreamRuns implements LocalRuns {
  private running = 0;

  private repeats = 0;

  /** Runs that were given up and may still go on, in the order of their ends. */
  private readonly givenUp: { readonly until: number; readonly isRepeat: boolean }[] = [];

  /** Moving average of the share of time without a run, up to `averagedAt`. */
  private idleAverage = 1;

  private averagedAt: number;

  /** @param clock - Monotonic clock. */
  public constructor(private readonly clock: Clock) {
    this.averagedAt = clock.now();
  }

  public get isIdle(): boolean {
    this.update();
    return this.running === 0;
  }

  public get idleShare(): number {
    this.update();
    return this.idleAverage;
  }

  public get repeatShare(): number {
    this.update();
    return this.running === 0 ? 0 : this.repeats / this.running;
  }

  /** @param isRepeat - Whether the run that begins is a repeat. */
  public begin(isRepeat: boolean): void {
    this.update();
    this.add(1, isRepeat);
  }

  /**
   * @param isRepeat - Whether the run that ends was a repeat.
   * @param wasGivenUp - Whether the upstream may still be running it.
   */
  public end(isRepeat: boolean, wasGivenUp = false): void {
    this.update();
    if (wasGivenUp) this.givenUp.push({ until: this.clock.now() + GIVEN_UP_MS, isRepeat });
    else this.add(-1, isRepeat);
  }

  private add(change: number, isRepeat: boolean): void {
    this.running += change;
    if (isRepeat) this.repeats += change;
  }

  private update(): void {
    const now = this.clock.now();
    while (this.givenUp.length > 0 && this.givenUp[0]!.until <= now) {
      const { until, isRepeat } = this.givenUp.shift()!;
      this.average(until);
      this.add(-1, isRepeat);
    }
    this.average(now);
  }

  private average(now: number): void {
    const kept = Math.exp((this.averagedAt - now) / AVERAGE_MS);
    this.idleAverage = kept * this.idleAverage + (1 - kept) * (this.running === 0 ? 1 : 0);
    this.averagedAt = now;
  }
}
