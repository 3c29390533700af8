import type { Offset } from '../common/Types';
import LogError from './LogError';

/** The log keeps nothing as old as the offset asked for. */
export default class LogExpiredError extends LogError {
  public constructor(public readonly earliest: Offset) {
    super(`the log keeps nothing before offset ${earliest}`);
  }
}
