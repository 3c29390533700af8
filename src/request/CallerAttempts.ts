import type { AttemptNumber } from '../common/Types';
import type { AttemptState } from './Types';

/** State and arrival time of an attempt that a daemon sent or fenced. */
export interface AttemptRecord {
  state: AttemptState;
  /** Monotonic time in milliseconds at which the attempt, or a request to fence it, arrived. */
  readonly arrivedAt: number;
}

/** Remembered attempts that one incarnation of one daemon sent. */
export default class CallerAttempts {
  public readonly entries = new Map<AttemptNumber, AttemptRecord>();

  /** Highest number of an attempt whose entry was deleted; 0 before the first. */
  private highestForgotten = 0;

  /**
   * Highest attempt number that was forgotten. An attempt with this or a lower number and without
   * an entry is refused, as it may have run already.
   */
  public get forgottenUpTo(): number {
    return this.highestForgotten;
  }

  /** @param number - Number of a finished attempt, whose entry is deleted. */
  public forget(number: AttemptNumber): void {
    this.entries.delete(number);
    this.highestForgotten = Math.max(this.highestForgotten, number);
  }
}
