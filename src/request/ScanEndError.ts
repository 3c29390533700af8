import AzurestreamError from '../common/AzurestreamError';

/** Ends the parsing of received bytes at the end of a response. */
export default class ScanEndError extends AzurestreamError {
  public constructor() {
    super('the response has ended');
  }
}
