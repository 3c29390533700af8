import type { Random } from '../common/Types';

/** Event loop lag, in milliseconds, above which a share of the calls is refused. */
const MIN_LAG_MS = 40;
/** Event loop lag, in milliseconds, at which the refused share reaches its maximum. */
const MAX_LAG_MS = 200;
/** Maximum share of refused calls; the rest is admitted so that a recovery can be observed. */
const MAX_REFUSED_SHARE = 0.9;
/**
 * Calls whose latency objective is at most this multiple of the shortest objective of all routes
 * are never refused.
 */
const EXEMPT_FACTOR = 1.5;
const RANDOM_STEPS = 1_000;

/**
 * Sheds load while this daemon's processor is saturated.
 *
 * Handles callers that retry immediately after each failure against a daemon without spare
 * processor time. Without load shedding every call is started and none finishes in time, and the
 * retries keep the daemon overloaded. A refusal takes a tenth of the processor time of a call, so
 * refusing a share of the calls early leaves enough time to finish the rest. Calls with the
 * shortest latency objectives are exempt: other calls wait for them and already occupy a slot of an
 * upstream.
 */
export default class OverloadGuard {
  /**
   * @param lagMs - Returns the current event loop lag, in milliseconds.
   * @param random - Random numbers that select the calls to refuse.
   */
  public constructor(
    private readonly lagMs: () => number,
    private readonly random: Random,
  ) {}

  /**
   * Decides at random whether to refuse a call, more likely the higher the event loop lag is.
   *
   * @param objectiveMs - Latency objective of the call's route, in milliseconds.
   * @param shortestObjectiveMs - Shortest objective of all routes, in milliseconds.
   * @returns Whether to refuse the call.
   */
  public shouldRefuse(objectiveMs: number, shortestObjectiveMs: number): boolean {
    const lagMs = this.lagMs();
    if (lagMs <= MIN_LAG_MS || objectiveMs <= EXEMPT_FACTOR * shortestObjectiveMs) return false;
    const share = Math.min(MAX_REFUSED_SHARE, (lagMs - MIN_LAG_MS) / (MAX_LAG_MS - MIN_LAG_MS));
    return this.random.below(RANDOM_STEPS) < share * RANDOM_STEPS;
  }
}
