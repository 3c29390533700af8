import CallError from './CallError';

/** A request over one HTTP hop got no answer. */
export default class ExchangeError extends CallError {
  /**
   * @param message - What went wrong.
   * @param sent - Whether any of the request may have reached the other side.
   */
  public constructor(
    message: string,
    public readonly sent: boolean,
  ) {
    super(message);
  }
}
