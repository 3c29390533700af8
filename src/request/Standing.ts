import type { RouteName } from '../common/Types';
import type { UpstreamLoad } from './Types';

/** Weight of the newest answer in the duration of a route's calls. */
const DURATION_WEIGHT = 0.2;
/** Failures in a row after which an upstream is set aside. */
const FAILURES_BEFORE_ASIDE = 4;
/** Weight of the newest attempt in the share of failed ones. */
const FAILURE_WEIGHT = 0.1;
/** First and longest time that an upstream is set aside, in milliseconds. */
const ASIDE_BASE_MS = 500;
const ASIDE_CAP_MS = 4_000;
const MAX_DOUBLINGS = 10;
/** Failures count half after this time without a success, so that an upstream is tried again. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** What this daemon learned of one upstream by its own calls; times are monotonic, in ms. */
export default class Standing {
  public inFlight = 0;

  /** Own calls begun since the last report, which therefore doesn't count them. */
  public beganSinceReport = 0;

  /** What the daemon beside it reported last. */
  public load: UpstreamLoad | undefined;

  public loadAt = 0;

  public asideUntil = 0;

  public lastUsed = 0;

  public lastSuccess = -Infinity;

  /** Share of the latest attempts that failed, as it was at the last of them. */
  private failureShare = 0;

  private failedAt = 0;

  private failures = 0;

  private readonly durations = new Map<RouteName, number>();

  /**
   * @param route - A route.
   * @returns Milliseconds that its calls take there; `undefined` before any was seen.
   */
  public durationMs(route: RouteName): number | undefined {
    return this.durations.get(route);
  }

  /**
   * @param now - The time.
   * @returns Share of the latest attempts that failed, 0 to 1; old failures fade.
   */
  public failureShareAt(now: number): number {
    return this.failureShare * 2 ** ((this.failedAt - now) / FAILURE_HALF_LIFE_MS);
  }

  /**
   * @param route - Route of the call.
   * @param latencyMs - What the answer took.
   * @param now - When it came.
   */
  public succeed(route: RouteName, latencyMs: number, now: number): void {
    const known = this.durations.get(route) ?? latencyMs;
    this.durations.set(route, known + DURATION_WEIGHT * (latencyMs - known));
    this.failures = 0;
    this.failureShare -= FAILURE_WEIGHT * this.failureShare;
    this.asideUntil = 0;
    this.lastSuccess = now;
  }

  /** @param now - When an attempt failed; repeated failures set the upstream aside for longer. */
  public fail(now: number): void {
    this.failures += 1;
    const share = this.failureShareAt(now);
    this.failureShare = share + FAILURE_WEIGHT * (1 - share);
    this.failedAt = now;
    const beyond = this.failures - FAILURES_BEFORE_ASIDE;
    if (beyond < 0) return;
    const asideMs = ASIDE_BASE_MS * 2 ** Math.min(beyond, MAX_DOUBLINGS);
    this.asideUntil = now + Math.min(ASIDE_CAP_MS, asideMs);
  }

  /**
   * @param route - Route of the call that brought the report.
   * @param load - The report.
   * @param now - When it came.
   */
  public report(route: RouteName, load: UpstreamLoad, now: number): void {
    this.load = load;
    this.loadAt = now;
    this.beganSinceReport = 0;
    if (load.durationMs !== undefined) this.durations.set(route, load.durationMs);
  }
}
