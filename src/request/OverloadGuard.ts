import type { Random } from '../common/Types';

/** Lag of the event loop, in milliseconds, from which calls are turned away. */
const FIRST_LAG_MS = 40;
/** Lag, in milliseconds, at which most calls are turned away. */
const FULL_LAG_MS = 200;
/** Largest share of calls that is turned away; some must show when it gets better. */
const MAX_SHARE = 0.9;
/** Calls with an objective up to this many times the shortest one are never turned away. */
const SPARED_FACTOR = 1.5;
const PARTS = 1_000;

/**
 * Turns calls away while this daemon's processor can't keep up.
 *
 * Load it answers: callers that come again at once after each failure, on a daemon whose processor
 * is used up. Every call is then begun and none is finished in time, and the failures bring the
 * load that keeps it so. A refusal costs a tenth of a call, so turning a share away early frees the
 * time to finish the rest. Calls with the shortest objectives are spared: other calls wait for them
 * and have used an upstream's slot already.
 */
export default class OverloadGuard {
  /**
   * @param lagMs - Current lag of the event loop, in milliseconds.
   * @param random - Source of chance.
   */
  public constructor(
    private readonly lagMs: () => number,
    private readonly random: Random,
  ) {}

  /**
   * @param objectiveMs - Objective of the call's route, in milliseconds.
   * @param shortestObjectiveMs - Shortest objective of all routes.
   * @returns Whether to turn the call away.
   */
  public refuses(objectiveMs: number, shortestObjectiveMs: number): boolean {
    const lagMs = this.lagMs();
    if (lagMs <= FIRST_LAG_MS || objectiveMs <= SPARED_FACTOR * shortestObjectiveMs) return false;
    const share = Math.min(MAX_SHARE, (lagMs - FIRST_LAG_MS) / (FULL_LAG_MS - FIRST_LAG_MS));
    return this.random.below(PARTS) < share * PARTS;
  }
}
