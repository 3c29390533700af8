import CallError from './CallError';

/** A caller's request is malformed or too large and wasn't forwarded. */
export default class RequestError extends CallError {
  /**
   * @param status - HTTP status of the response.
   * @param message - Description of the problem; reaches the caller.
   */
  public constructor(
    public readonly status: number,
    message: string,
  ) {
    super(message);
  }
}
