const LATENCY_WEIGHT = 0.2;
const FAILURES_BEFORE_ASIDE = 4;
const FAILURE_WEIGHT = 0.05;
const ASIDE_BASE_MS = 1_000;
const ASIDE_CAP_MS = 20_000;
const MAX_DOUBLINGS = 10;

/** Latency assumed of an upstream before its first answer, in milliseconds. */
export const FIRST_LATENCY_MS = 1;

/** What this daemon learned of one upstream by its own calls; times are monotonic, in ms. */
export default class Standing {
  public inFlight = 0;

  public latencyMs = FIRST_LATENCY_MS;

  /** Calls at the upstream in parts of its slots, as its last answer said. */
  public load = 0;

  public loadAt = 0;

  public asideUntil = 0;

  public lastUsed = 0;

  public lastSuccess = 0;

  /** Share of the latest attempts that failed, 0 to 1. */
  public failureShare = 0;

  private failures = 0;

  /**
   * @param latencyMs - What the answer took.
   * @param now - When it came.
   */
  public succeed(latencyMs: number, now: number): void {
    this.latencyMs += LATENCY_WEIGHT * (latencyMs - this.latencyMs);
    this.failures = 0;
    this.failureShare -= FAILURE_WEIGHT * this.failureShare;
    this.asideUntil = 0;
    this.lastSuccess = now;
  }

  /** @param now - When an attempt failed; repeated failures set the upstream aside for longer. */
  public fail(now: number): void {
    this.failures += 1;
    this.failureShare += FAILURE_WEIGHT * (1 - this.failureShare);
    const beyond = this.failures - FAILURES_BEFORE_ASIDE;
    if (beyond < 0) return;
    const asideMs = ASIDE_BASE_MS * 2 ** Math.min(beyond, MAX_DOUBLINGS);
    this.asideUntil = now + Math.min(ASIDE_CAP_MS, asideMs);
  }
}
