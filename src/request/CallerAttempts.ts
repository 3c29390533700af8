import type { AttemptNumber } from '../common/Types';
import type { AttemptState } from './Types';

/** What is remembered of one attempt. */
export interface RememberedAttempt {
  state: AttemptState;
  /** Monotonic time in ms at which it came. */
  readonly at: number;
}

/** Attempts of one incarnation of one caller's daemon. */
export default class CallerAttempts {
  public readonly entries = new Map<AttemptNumber, RememberedAttempt>();

  private highestDropped = 0;

  /** Every attempt up to this number that isn't remembered is turned away. */
  public get floor(): number {
    return this.highestDropped;
  }

  /** @param number - An ended attempt, to be forgotten. */
  public drop(number: AttemptNumber): void {
    this.entries.delete(number);
    this.highestDropped = Math.max(this.highestDropped, number);
  }
}
