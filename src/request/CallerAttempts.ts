import type { AttemptNumber } from '../common/Types';
import type { AttemptState } from './Types';

/** A remembered attempt. */
export interface AttemptRecord {
  state: AttemptState;
  /** Monotonic time in milliseconds at which the attempt, or a fence for it, arrived. */
  readonly arrivedAt: number;
}

/** Attempts received from one incarnation of one daemon. */
export default class CallerAttempts {
  public readonly entries = new Map<AttemptNumber, AttemptRecord>();

  /** Highest number of a forgotten attempt. */
  private highestForgotten = 0;

  /**
   * Number up to which an attempt without an entry may have been forgotten. Such an attempt is refused,
   * as it may have run already.
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
