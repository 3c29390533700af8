import AzurestreamError from '../common/AzurestreamError';
import type { DaemonId } from '../common/Types';

/** A peer did not respond, responded with an error, or has an unexpected id. */
export default class PeerError extends AzurestreamError {
  public constructor(
    public readonly peer: DaemonId,
    reason: string,
  ) {
    super(`peer ${peer}: ${reason}`);
  }
}
