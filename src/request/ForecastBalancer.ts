import type { Clock, DaemonId, Random, RouteName, ServiceName, ZoneName } from '../common/Types';
import UpstreamStatistics from './UpstreamStatistics';
import type ZoneOverflow from './ZoneOverflow';
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
/**
 * Lowest difference of costs at which a call leaves the zone while the zone's demand isn't known; four
 * times the noise, as reports may be off by that much.
 */
const LEAVE_MARGIN = 0.08;
/**
 * Difference of the harm to one call, in value, from which it goes to another zone than its share has
 * it: where the upstreams of a zone fail a sixth of their calls or make them late.
 */
const EXCEPTION_MARGIN = 0.25;
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

/** What a call may expect at an upstream; times are in milliseconds. */
interface Forecast {
  /** Cost that the call is late or fails. */
  harm: number;
  /** Wait for a slot. */
  waitMs: number;
  /** Time until the response, including the cost of leaving the zone. */
  expectedMs: number;
  /** Calls at the upstream, as a ratio of its slots. */
  utilisation: number;
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
 * a failure and of congestion for other calls.
 *
 * Handles upstreams of one service whose speeds differ by a factor of three without configuration,
 * zones that are loaded unevenly, and upstreams that fail some of their calls, are cold or can't be
 * reached. The prediction combines the load and duration that an upstream's daemon reports with
 * each response, weighted by age, and the calls that this daemon has sent since then. How many calls
 * go to another zone is decided by {@link ZoneOverflow}; single calls deviate from it where the
 * upstreams of one zone fail or are late.
 */
export default class ForecastBalancer implements Balancer {
  private readonly statistics = new Map<DaemonId, UpstreamStatistics>();

  private readonly latencies = new Map<string, RouteLatency>();

  public constructor(
    private readonly directory: UpstreamDirectory,
    private readonly liveness: Pick<Liveness, 'isUnresponsive'>,
    private readonly zone: ZoneName,
    private readonly overflow: ZoneOverflow,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public choose(placement: PlacementCriteria): Upstream | undefined {
    const now = this.clock.now();
    const pool = this.eligible(this.directory.upstreams(placement.service), placement.exclude, now);
    const bytesMs = this.overflow.bytesCostMs(placement.service, placement.route);
    let home: Upstream | undefined;
    let homeCost = Infinity;
    let away: Upstream | undefined;
    let awayCost = Infinity;
    for (const candidate of pool) {
      const noise = (MAX_NOISE * this.random.below(NOISE_STEPS)) / NOISE_STEPS;
      if (candidate.zone === this.zone) {
        const cost = this.cost(candidate, placement, 0, now) + noise;
        if (cost < homeCost) {
          home = candidate;
          homeCost = cost;
        }
      } else {
        const leaveMs = bytesMs + this.overflow.roundTripMs(candidate.zone);
        const cost = this.cost(candidate, placement, leaveMs, now) + noise;
        if (cost < awayCost) {
          away = candidate;
          awayCost = cost;
        }
      }
    }
    if (!home || !away) return home ?? away;
    // A call that was refused or lost goes wherever it is expected to fare best.
    const leaves =
      placement.exclude.size > 0
        ? undefined
        : this.overflow.leaves(placement.service, placement.route, pool, (daemon) =>
            this.statistics.get(daemon),
          );
    if (leaves === undefined) return homeCost <= awayCost + LEAVE_MARGIN ? home : away;
    const leaveMs = bytesMs + this.overflow.roundTripMs(away.zone);
    const atHome = this.forecast(home, placement, 0, now);
    const abroad = this.forecast(away, placement, leaveMs, now);
    if (leaves) return ForecastBalancer.isException(atHome, abroad) ? home : away;
    return ForecastBalancer.isException(abroad, atHome) ? away : home;
  }

  public recordBytes(service: ServiceName, route: RouteName, bytes: number): void {
    this.overflow.recordBytes(service, route, bytes);
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
  private eligible(
    upstreams: readonly Upstream[],
    exclude: ReadonlySet<DaemonId>,
    now: number,
  ): readonly Upstream[] {
    let pool: Upstream[] = [];
    let lowest = Infinity;
    for (const upstream of upstreams) {
      if (!exclude.has(upstream.daemon)) {
        const exclusion = this.exclusion(upstream, now);
        if (exclusion < lowest) {
          lowest = exclusion;
          pool = [];
        }
        if (exclusion === lowest) pool.push(upstream);
      }
    }
    return pool;
  }

  /** Rank of the reason to exclude an upstream; 0 if there is none, the highest is lifted last. */
  private exclusion({ address, daemon, suspect }: Upstream, now: number): number {
    if (this.liveness.isUnresponsive(address)) return 3;
    if (now < (this.statistics.get(daemon)?.ejectedUntil ?? 0)) return 2;
    return suspect ? 1 : 0;
  }

  /** Cost of sending a call to an upstream: the harm to the call itself and to others. */
  private cost(
    upstream: Upstream,
    placement: PlacementCriteria,
    leaveMs: number,
    now: number,
  ): number {
    const { harm, utilisation } = this.forecast(upstream, placement, leaveMs, now);
    const congestion = Math.max(0, utilisation - CONGESTION_THRESHOLD) / (1 - CONGESTION_THRESHOLD);
    return harm + CONGESTION_COST * congestion;
  }

  /** Times that a call is expected to take at an upstream, and the harm to it alone. */
  private forecast(
    upstream: Upstream,
    placement: PlacementCriteria,
    leaveMs: number,
    now: number,
  ): Forecast {
    const stats = this.statistics.get(upstream.daemon);
    const slots = stats?.load?.slots ?? upstream.slots ?? placement.slots;
    const expectedLoad = this.expectedLoad(stats, now);
    const durationMs = this.durationMs(upstream, stats, placement, now);
    const waitMs = expectedLoad < slots ? 0 : ((expectedLoad - slots + 1) * durationMs) / slots;
    const expectedMs = waitMs + durationMs + leaveMs + this.lagMs(stats, now);
    const ratio = expectedMs / Math.max(1, placement.objectiveMs);
    const harm =
      LATE_COST * lateShare(ratio) + FAILURE_COST * this.failureShare(upstream, stats, now);
    return { harm, waitMs, expectedMs, utilisation: expectedLoad / slots };
  }

  /**
   * Whether a call goes to one upstream although the share of its zone has it that it goes to the
   * zone of another: because the other is likely to fail the call or to be late, or because all slots
   * of the other zone are in use and the call would wait longer there than leaving costs.
   */
  private static isException(chosen: Forecast, other: Forecast): boolean {
    if (other.harm - chosen.harm > EXCEPTION_MARGIN) return true;
    return other.waitMs > 0 && other.expectedMs > chosen.expectedMs;
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
