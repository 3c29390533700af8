import type { Clock, DaemonId, Random, RouteName, ServiceName, ZoneName } from '../common/Types';
import UpstreamStatistics from './UpstreamStatistics';
import type {
  AttemptResult,
  Balancer,
  ReportedLoad,
  Liveness,
  PlacementCriteria,
  Upstream,
  UpstreamDirectory,
} from './Types';

// All costs have the same unit: 1 is the value that a response in time has for the caller.

/** Latency assumed for a route's calls before enough responses were measured, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest response in the moving average of a route's latency at all upstreams. */
const SERVICE_LATENCY_WEIGHT = 0.05;
/**
 * Cost of a response that misses the latency objective: the users' price sheets deduct 0.7 of what
 * a response in time is worth.
 */
const LATE_COST = 0.7;
/**
 * Steepness of the curve that models the share of late responses as a function of the expected time
 * divided by the latency objective; 4.25 fits durations with a relative spread of 0.4.
 */
const LATE_STEEPNESS = 4.25;
/** Cost of the traffic if a call is sent to another zone, from the users' price sheets. */
const CROSS_ZONE_COST = 0.09;
/** Utilisation of an upstream's slots, 0 to 1, above which a further call delays others. */
const CONGESTION_THRESHOLD = 0.75;
/** Cost of the delay that one more call causes to others at an upstream with all slots in use. */
const CONGESTION_COST = 0.4;
/**
 * Cost of choosing an upstream where the call is certain to fail; above 1, as a retry also draws on
 * the shared retry budget.
 */
const FAILURE_COST = 1.5;
/**
 * Upper bound of the random cost added to each candidate upstream, so that daemons with the same
 * information don't all choose the same one.
 */
const MAX_NOISE = 0.02;
/** Age up to which a load report counts in full, in milliseconds. */
const LOAD_FRESH_MS = 250;
/** Age from which a load report no longer counts, in milliseconds. */
const LOAD_STALE_MS = 2_000;
/** Factor on the expected duration at an upstream that started recently and has no measurements. */
const COLD_START_DURATION_FACTOR = 2;
/** Time after the start of an upstream during which it counts as cold, in milliseconds. */
const COLD_START_MS = 3_000;
/** Share of failing calls assumed for an upstream that the platform reports as unhealthy. */
const UNHEALTHY_HINT_FAILURE_SHARE = 0.5;
/**
 * Time after a successful call, in milliseconds, during which a report of the platform that the
 * upstream is unhealthy is ignored.
 */
const HINT_OVERRIDE_MS = 1_000;
/** Time without calls after which the statistics of an upstream are dropped, in milliseconds. */
const FORGET_AFTER_MS = 600_000;
/** Number of distinct values of the random cost that is added to each candidate upstream. */
const NOISE_STEPS = 1_000;
/** Minimum number of responses before the moving average of a route's latency is used. */
const MIN_RESPONSES = 20;

/** Moving average of a route's latency, in milliseconds, and the number of responses in it. */
interface RouteLatency {
  averageMs: number;
  count: number;
}

/** Modelled share of late responses for a given ratio of expected time to latency objective. */
function lateShare(ratio: number): number {
  if (ratio <= 0) return 0;
  return 1 / (1 + ratio ** -LATE_STEEPNESS);
}

/** Weight of a load report: 1 while it is fresh, falling linearly to 0 when it is stale. */
function reportWeight(ageMs: number): number {
  const decay = (ageMs - LOAD_FRESH_MS) / (LOAD_STALE_MS - LOAD_FRESH_MS);
  return 1 - Math.min(1, Math.max(0, decay));
}

/**
 * Places each call at the upstream with the lowest predicted cost: the cost of a late response, of
 * a failure, of traffic between zones and of congestion for other calls.
 *
 * Handles upstreams of one service whose speeds differ by a factor of three without configuration,
 * zones that are loaded unevenly, and upstreams that fail some of their calls, are cold or can't be
 * reached. The prediction combines the load and duration that an upstream's daemon reports with
 * each response, weighted by age, and the calls that this daemon has sent since then. A call goes
 * to another zone as soon as the lower predicted cost there outweighs the cost of the traffic
 * between zones.
 */
export default class ForecastBalancer implements Balancer {
  private readonly statistics = new Map<DaemonId, UpstreamStatistics>();

  private readonly latencies = new Map<string, RouteLatency>();

  public constructor(
    private readonly directory: UpstreamDirectory,
    private readonly liveness: Pick<Liveness, 'isUnresponsive'>,
    private readonly zone: ZoneName,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public choose(placement: PlacementCriteria): Upstream | undefined {
    const now = this.clock.now();
    const untried = this.directory
      .upstreams(placement.service)
      .filter(({ daemon }) => !placement.exclude.has(daemon));
    const pool = this.eligible(untried, now);
    let best: Upstream | undefined;
    let bestCost = Infinity;
    for (const candidate of pool) {
      const noise = (MAX_NOISE * this.random.below(NOISE_STEPS)) / NOISE_STEPS;
      const cost = this.cost(candidate, placement, now) + noise;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  public begin({ daemon }: Upstream): void {
    const stats = this.stats(daemon);
    stats.inFlight += 1;
    stats.startedSinceReport += 1;
    stats.lastUsed = this.clock.now();
  }

  public end({ daemon, service }: Upstream, route: RouteName, result: AttemptResult): void {
    const stats = this.stats(daemon);
    const now = this.clock.now();
    stats.inFlight -= 1;
    if (result.kind === 'answered') {
      stats.recordSuccess(route, result.latencyMs, now);
      this.recordLatency(service, route, result.latencyMs);
    }
    if (result.kind === 'failed') stats.recordFailure(now);
    if (result.kind !== 'answered' && result.kind !== 'refused') return;
    if (result.load) stats.recordLoad(route, result.load, now);
  }

  public latencyMs(service: ServiceName, route: RouteName): number | undefined {
    const latency = this.latencies.get(`${service} ${route}`);
    return latency && latency.count >= MIN_RESPONSES ? latency.averageMs : undefined;
  }

  public reportedLoad({ daemon }: Upstream): ReportedLoad | undefined {
    const stats = this.statistics.get(daemon);
    if (!stats?.load) return undefined;
    return { load: stats.load, ageMs: this.clock.now() - stats.loadAt };
  }

  /** Drops the statistics of upstreams without recent calls. */
  public forgetUnused(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [daemon, { lastUsed, inFlight }] of this.statistics) {
      if (inFlight === 0 && lastUsed < oldest) this.statistics.delete(daemon);
    }
  }

  private recordLatency(service: ServiceName, route: RouteName, latencyMs: number): void {
    const key = `${service} ${route}`;
    const latency = this.latencies.get(key) ?? { averageMs: latencyMs, count: 0 };
    this.latencies.set(key, latency);
    latency.averageMs += SERVICE_LATENCY_WEIGHT * (latencyMs - latency.averageMs);
    latency.count += 1;
  }

  /**
   * Excludes upstreams whose daemon is unresponsive, that are ejected, or that gossip suspects. If
   * none is left, these exclusions are lifted in reverse order.
   */
  private eligible(upstreams: readonly Upstream[], now: number): readonly Upstream[] {
    const responsive = upstreams.filter(({ address }) => !this.liveness.isUnresponsive(address));
    const notEjected = responsive.filter(
      ({ daemon }) => now >= (this.statistics.get(daemon)?.ejectedUntil ?? 0),
    );
    const unsuspected = notEjected.filter(({ suspect }) => !suspect);
    return [unsuspected, notEjected, responsive, upstreams].find(({ length }) => length > 0) ?? [];
  }

  private cost(upstream: Upstream, placement: PlacementCriteria, now: number): number {
    const stats = this.statistics.get(upstream.daemon);
    const durationMs = this.durationMs(upstream, stats, placement, now);
    const slots = stats?.load?.slots ?? upstream.slots ?? placement.slots;
    const expectedLoad = this.expectedLoad(stats, now);
    const waitMs = expectedLoad < slots ? 0 : ((expectedLoad - slots + 1) * durationMs) / slots;
    const expectedMs = waitMs + durationMs + this.lagMs(stats, now);
    const ratio = expectedMs / Math.max(1, placement.objectiveMs);
    const congestion =
      Math.max(0, expectedLoad / slots - CONGESTION_THRESHOLD) / (1 - CONGESTION_THRESHOLD);
    return (
      LATE_COST * lateShare(ratio) +
      CONGESTION_COST * congestion +
      FAILURE_COST * this.failureShare(upstream, stats, now) +
      (upstream.zone === this.zone ? 0 : CROSS_ZONE_COST)
    );
  }

  /** Event loop lag that the upstream's daemon reported, in ms, weighted by the report's age. */
  private lagMs(stats: UpstreamStatistics | undefined, now: number): number {
    if (!stats?.load) return 0;
    return stats.load.lagMs * reportWeight(now - stats.loadAt);
  }

  private durationMs(
    upstream: Upstream,
    stats: UpstreamStatistics | undefined,
    { service, route }: PlacementCriteria,
    now: number,
  ): number {
    const measured = stats?.durationMs(route);
    if (measured !== undefined) return measured;
    const typicalMs = this.latencyMs(service, route) ?? INITIAL_LATENCY_MS;
    return now - upstream.servingSince < COLD_START_MS
      ? COLD_START_DURATION_FACTOR * typicalMs
      : typicalMs;
  }

  /**
   * Expected number of calls at an upstream: those in its load report and those that this daemon
   * sent afterwards, weighted by the report's age; at least those that this daemon has in flight.
   */
  private expectedLoad(stats: UpstreamStatistics | undefined, now: number): number {
    if (!stats) return 0;
    if (!stats.load) return stats.inFlight;
    const weight = reportWeight(now - stats.loadAt);
    const reported = stats.load.running + stats.load.waiting + stats.startedSinceReport;
    return Math.max(stats.inFlight, weight * reported);
  }

  private failureShare(
    upstream: Upstream,
    stats: UpstreamStatistics | undefined,
    now: number,
  ): number {
    const lastSuccess = stats?.lastSuccess ?? -Infinity;
    const isPresumedHealthy = upstream.healthHint || lastSuccess > now - HINT_OVERRIDE_MS;
    const own = stats?.failureShareAt(now) ?? 0;
    const reported = stats?.load ? stats.load.failureShare * reportWeight(now - stats.loadAt) : 0;
    const share = Math.max(own, reported);
    return isPresumedHealthy ? share : Math.max(share, UNHEALTHY_HINT_FAILURE_SHARE);
  }

  private stats(daemon: DaemonId): UpstreamStatistics {
    let stats = this.statistics.get(daemon);
    if (!stats) {
      stats = new UpstreamStatistics();
      this.statistics.set(daemon, stats);
    }
    return stats;
  }
}
