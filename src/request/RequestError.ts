import CallError from './CallError';

/** A caller's request is malformed or too large; nothing of it was sent on. */
export default class RequestError extends CallError {
  /**
   * @param status - HTTP status to answer with.
   * @param message - What is wrong.
   */
  public constructor(
    public readonly status: number,
    message: string,
  ) {
    super(message);
  }
}
