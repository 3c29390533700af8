/** Weight of the latest round trip in the mean, and in the mean deviation. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Number of mean deviations above the mean at which a response counts as late. */
const DEVIATIONS = 4;
/** Lower bound in ms, many round trips between zones. */
const MIN_LATE_MS = 300;
/** Upper bound in ms; a peer that is slower than this can't be told from a lost one in time. */
const MAX_LATE_MS = 700;

/**
 * Estimates after which time a response on a connection is late: at a busy peer, whose responses always take
 * long, later than at an idle one.
 *
 * @see {@link https://www.rfc-editor.org/rfc/rfc6298}
 */
export default class RoundTripEstimate {
  private meanMs = 0;

  private deviationMs = 0;

  /** Mean round trip in ms; 0 before the first. */
  public get averageMs(): number {
    return this.meanMs;
  }

  /** Time in ms after which a response is late. */
  public get lateMs(): number {
    const expectedMs = this.meanMs + DEVIATIONS * this.deviationMs;
    return Math.min(MAX_LATE_MS, Math.max(MIN_LATE_MS, expectedMs));
  }

  /** @param ms - Time that a response took, in milliseconds. */
  public add(ms: number): void {
    this.deviationMs += DEVIATION_GAIN * (Math.abs(ms - this.meanMs) - this.deviationMs);
    this.meanMs += MEAN_GAIN * (ms - this.meanMs);
  }
}
