import AzurestreamError from '../common/AzurestreamError';
import type { DaemonId } from '../common/Types';

/** A peer didn't answer, answered in error, or isn't who it should be. */
export default class PeerError extends AzurestreamError {
  public constructor(
    public readonly peer: DaemonId,
    reason: string,
  ) {
    super(`peer ${peer}: ${reason}`);
  }
}
