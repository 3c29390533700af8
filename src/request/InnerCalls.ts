import type { RouteName } from '../common/Types';
import type { LocalRuns } from './Types';

/**
 * Evidence, in expected calls at idle times, that is assumed for each route before any call: all calls of
 * the route are then inner ones. Without it, a few calls that came while the upstream was idle would end
 * the charges of a route.
 */
const PRIOR_EVIDENCE = 3;
/** Evidence at which what was seen of a route is halved, so that later calls can change the estimate. */
const MAX_EVIDENCE = 60;

/** What was seen of the calls of one route. */
interface RouteEvidence {
  /** Number of calls that came while the upstream was idle. */
  seen: number;
  /** The same number as expected if all calls were independent of the upstream. */
  expected: number;
}

/**
 * Estimates which of the calls that a daemon gets from this VM are made by the upstream beside it, and
 * how many of those exist only because the run that made them was a repeat. Upstreams forward no header
 * that would say so, and all callers of a VM have the same address.
 *
 * Calls of ordinary callers come at idle times of the upstream in proportion to those times; inner calls
 * never do. The ratio of both numbers is the share of ordinary calls of a route. A call that comes while
 * the upstream is always busy changes neither number, so an estimate made at lower load is kept.
 *
 * Designed for 8 to 60 daemons with 5 to 20 calls a second each, and 0.7 to 2 inner calls for each run.
 */
export default class InnerCalls {
  private readonly routes = new Map<RouteName, RouteEvidence>();

  /** @param runs - What the upstream beside this daemon is running. */
  public constructor(private readonly runs: LocalRuns) {}

  /**
   * Records a call from this VM that has no organisation.
   *
   * @param route - Route of the call.
   * @returns Probability that the call exists only because a run of the upstream was a repeat.
   */
  public recordCall(route: RouteName): number {
    const { isIdle, idleShare, repeatShare } = this.runs;
    const evidence = this.evidence(route);
    evidence.expected += idleShare;
    if (isIdle) evidence.seen += 1;
    if (evidence.expected > MAX_EVIDENCE) {
      evidence.expected /= 2;
      evidence.seen /= 2;
    }
    return repeatShare * this.innerShare(route);
  }

  /**
   * @param route - Name of a route.
   * @returns Estimated share of inner calls among the calls of the route, 0 to 1.
   */
  public innerShare(route: RouteName): number {
    const { seen, expected } = this.evidence(route);
    return Math.max(0, 1 - seen / (expected + PRIOR_EVIDENCE));
  }

  private evidence(route: RouteName): RouteEvidence {
    let evidence = this.routes.get(route);
    if (!evidence) {
      evidence = { seen: 0, expected: 0 };
      this.routes.set(route, evidence);
    }
    return evidence;
  }
}
