import CallError from './CallError';
import type { UpstreamLoad } from './Types';

/** What is known beside the proof. */
export interface NotRunDetails {
  /** Load of the upstream whose daemon refused. */
  readonly load?: UpstreamLoad;
  /** Milliseconds after which room is expected. */
  readonly retryAfterMs?: number;
  /** The upstream itself received the attempt and turned it away. */
  readonly reachedUpstream?: boolean;
  /** Its connection failed or fell silent under it; the other daemon didn't refuse it. */
  readonly lost?: boolean;
  /** This daemon itself can't carry the call yet, or can't just now. */
  readonly unready?: boolean;
}

/** It is proved that the upstream didn't run the attempt, and that it never will. */
export default class NotRunError extends CallError {
  /**
   * @param message - The proof, for people.
   * @param details - What is known beside it.
   */
  public constructor(
    message: string,
    public readonly details: NotRunDetails = {},
  ) {
    super(message);
  }
}
