import CallError from './CallError';

/** The organisation of a call is over its quota, and the call didn't run. */
export default class QuotaError extends CallError {
  /**
   * @param message - Reaches the caller.
   * @param retryAfterMs - Milliseconds after which the caller should retry.
   */
  public constructor(
    message: string,
    public readonly retryAfterMs: number,
  ) {
    super(message);
  }
}
