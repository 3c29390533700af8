import AzurestreamError from '../common/AzurestreamError';
import type { VersionNumber } from '../common/Types';

/** A configuration version from a peer or the log is invalid and can't be put in force. */
export default class InvalidHeadError extends AzurestreamError {
  /**
   * @param version - The invalid version.
   * @param reason - Why it is invalid.
   */
  public constructor(
    public readonly version: VersionNumber,
    reason: string,
  ) {
    super(`version ${version} can't be put in force: ${reason}`);
  }
}
