import AzurestreamError from '../common/AzurestreamError';
import type { VersionNumber } from '../common/Types';

/** A head that a peer or the log offered can't be put in force as it stands. */
export default class InvalidHeadError extends AzurestreamError {
  public constructor(
    public readonly version: VersionNumber,
    reason: string,
  ) {
    super(`version ${version} can't be put in force: ${reason}`);
  }
}
