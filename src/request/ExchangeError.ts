import CallError from './CallError';

/** An HTTP request over one hop got no response. */
export default class ExchangeError extends CallError {
  /**
   * @param message - Cause of the failure.
   * @param sent - Whether the server may have received any part of the request.
   * @param aborted - Whether the request was cancelled by this daemon.
   * @param code - Error code of the socket, such as `ECONNREFUSED`, if any.
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
