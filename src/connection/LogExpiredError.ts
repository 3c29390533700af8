import type { Offset } from '../common/Types';
import LogError from './LogError';

/** The log no longer retains the requested offset. */
export default class LogExpiredError extends LogError {
  public constructor(public readonly earliest: Offset) {
    super(`the log keeps nothing before offset ${earliest}`);
  }
}
