import CallError from './CallError';
import type { UpstreamLoad } from './Types';

/** Additional information about an attempt that didn't run. */
export interface NotRunDetails {
  /** Load of the upstream whose daemon refused the attempt. */
  readonly load?: UpstreamLoad;
  /** Milliseconds after which the upstream is expected to have free capacity. */
  readonly retryAfterMs?: number;
  /** Whether the upstream itself received the attempt and refused it. */
  readonly reachedUpstream?: boolean;
  /** Whether the attempt was lost because its connection failed or fell silent, not refused. */
  readonly connectionLost?: boolean;
  /** Whether this daemon itself is not ready to route the call, or is temporarily unable to. */
  readonly daemonNotReady?: boolean;
}

/** The upstream provably didn't run the attempt and never will. */
export default class NotRunError extends CallError {
  /**
   * @param message - Why the attempt didn't run; reaches the caller.
   * @param details - Additional information for retries.
   */
  public constructor(
    message: string,
    public readonly details: NotRunDetails = {},
  ) {
    super(message);
  }
}
