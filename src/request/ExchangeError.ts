import CallError from './CallError';

/** A request over one HTTP hop got no answer. */
export default class ExchangeError extends CallError {
  /**
   * @param message - What went wrong.
   * @param sent - Whether any of the request may have reached the other side.
   * @param aborted - Whether this side gave it up.
   * @param code - Code of the socket's error, if any.
   */
  public constructor(
    message: string,
    public readonly sent: boolean,
    public readonly aborted = false,
    public readonly code: string | undefined = undefined,
  ) {
    super(message);
  }
}
