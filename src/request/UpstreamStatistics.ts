import type { RouteName } from '../common/Types';
import type { RelayedReport, UpstreamLoad } from './Types';
import type { KnownLoad } from './ZoneOverflow';

/** Weight of the newest response in the moving average of a route's durations. */
const DURATION_WEIGHT = 0.2;
/** Consecutive failures after which an upstream is ejected. */
const FAILURES_BEFORE_EJECTION = 4;
/** Weight of the newest attempt in the moving average of the failure share. */
const FAILURE_WEIGHT = 0.1;
/** Duration of the first ejection, in milliseconds; each further failure in a row doubles it. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
const MAX_DOUBLINGS = 10;
/**
 * Half-life of the failure share after the last failure, in milliseconds. The decay makes sure that
 * a failed upstream is tried again.
 */
const FAILURE_HALF_LIFE_MS = 2_000;

/**
 * Statistics of one upstream from the calls of this daemon: durations, failures, load reports and
 * outlier ejection. Times are monotonic, in milliseconds.
 */
export default class UpstreamStatistics {
  /** Number of attempts of this daemon that are under way. */
  public inFlight = 0;

  /**
   * Monotonic time in ms since which the attempts under way have had no response: the end of the last
   * attempt, or the start of the first one.
   */
  public silentSince = 0;

  /** Number of attempts that this daemon began after the last load report; not included in it. */
  public startedSinceReport = 0;

  /** The last load report of the upstream's daemon. */
  public load: UpstreamLoad | undefined;

  /** Monotonic time in ms at which the last load report of the upstream arrived. */
  public loadAt = 0;

  /** The last report on the upstream that another daemon passed on, and when it was made. */
  public relayed: { readonly report: RelayedReport; readonly at: number } | undefined;

  /** Monotonic time in ms until which the upstream is ejected. */
  public ejectedUntil = 0;

  /** Monotonic time in ms at which this daemon last sent an attempt to the upstream. */
  public lastUsed = 0;

  /** Monotonic time in ms of the upstream's last successful response. */
  public lastSuccess = -Infinity;

  /** Share of the recent attempts that failed, as of the last failure. */
  private failureShare = 0;

  private failedAt = 0;

  private consecutiveFailures = 0;

  private readonly durations = new Map<RouteName, number>();

  /**
   * @param route - Name of the route.
   * @returns Average duration in ms of the route's calls at the upstream; `undefined` before
   * the first call.
   */
  public durationMs(route: RouteName): number | undefined {
    return this.durations.get(route);
  }

  /** What is known of demand and capacity: the newer of the last load and the last relayed report. */
  public get knownLoad(): KnownLoad | undefined {
    if (this.relayed && (!this.load || this.relayed.at > this.loadAt)) {
      return { load: this.relayed.report, loadAt: this.relayed.at };
    }
    return this.load && { load: this.load, loadAt: this.loadAt };
  }

  /**
   * @param now - Monotonic time in ms.
   * @returns Share of the recent attempts that failed, 0 to 1; it decays with time.
   */
  public failureShareAt(now: number): number {
    if (this.failureShare === 0) return 0;
    return this.failureShare * 2 ** ((this.failedAt - now) / FAILURE_HALF_LIFE_MS);
  }

  /**
   * Records a successful attempt, which ends an ejection.
   *
   * @param route - Route of the call.
   * @param latencyMs - Time from the request to the response, in milliseconds.
   * @param now - Monotonic time of the response, in ms.
   */
  public recordSuccess(route: RouteName, latencyMs: number, now: number): void {
    const known = this.durations.get(route) ?? latencyMs;
    this.durations.set(route, known + DURATION_WEIGHT * (latencyMs - known));
    this.consecutiveFailures = 0;
    this.failureShare -= FAILURE_WEIGHT * this.failureShare;
    this.ejectedUntil = 0;
    this.lastSuccess = now;
  }

  /**
   * Records a failed attempt. Consecutive failures eject the upstream for a time that doubles with
   * each of them.
   *
   * @param now - Monotonic time of the failure, in ms.
   */
  public recordFailure(now: number): void {
    this.consecutiveFailures += 1;
    const share = this.failureShareAt(now);
    this.failureShare = share + FAILURE_WEIGHT * (1 - share);
    this.failedAt = now;
    const doublings = this.consecutiveFailures - FAILURES_BEFORE_EJECTION;
    if (doublings < 0) return;
    const ejectionMs = MIN_EJECTION_MS * 2 ** Math.min(doublings, MAX_DOUBLINGS);
    this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, ejectionMs);
  }

  /**
   * Records a load report of the upstream's daemon.
   *
   * @param route - Route of the call whose response carried the report.
   * @param load - Load that the daemon reported.
   * @param now - Monotonic time at which the report arrived, in ms.
   */
  public recordLoad(route: RouteName, load: UpstreamLoad, now: number): void {
    this.load = load;
    this.loadAt = now;
    this.startedSinceReport = 0;
    if (load.durationMs !== undefined) this.durations.set(route, load.durationMs);
  }
}
