import type { Clock, DaemonId, Random, RouteName, ServiceName, ZoneName } from '../common/Types';
import daemonKey from './daemonKey';
import UpstreamStatistics from './UpstreamStatistics';
import type ZoneOverflow from './ZoneOverflow';
import type {
  AttemptResult,
  Balancer,
  RelayedReport,
  ReportedLoad,
  Liveness,
  PlacementCriteria,
  Upstream,
  UpstreamDirectory,
  UpstreamLoad,
} from './Types';

// All costs have the same unit: 1 is the value that a response in time has for the caller.

/** Latency assumed for a route's calls before enough responses were measured, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest response in the moving average of a route's latency at all upstreams. */
const SERVICE_LATENCY_WEIGHT = 0.05;
/**
 * Cost of a response that misses the latency objective: all of its value, as the configuration states
 * no time after the objective at which a response is still of use.
 */
const LATE_COST = 1;
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
const EXCEPTION_MARGIN = 1 / 3;
/**
 * Cost of the delay that a call causes to others, for each call that is expected to queue at the
 * upstream, as a ratio of its slots. Below 1, daemons crowd on the fastest upstreams at 80 % use.
 */
const CONGESTION_COST = 2;
/**
 * Cost of waiting for the average latency of the route. It only decides between upstreams that are
 * otherwise equal: a higher cost makes daemons crowd on the fastest upstreams.
 */
const TIME_COST = 0.02;
/**
 * Cost of choosing an upstream where the call is certain to fail: the value of the call, and that of
 * another which lacks the retry and the slot that this one then takes.
 */
const FAILURE_COST = 2;
/**
 * Upper bound of the random cost added to each candidate upstream, so that daemons with the same
 * information don't all choose the same one.
 */
const MAX_NOISE = 0.02;
/** Age up to which reported failures and lag count in full, in milliseconds. */
const REPORT_FRESH_MS = 250;
/** Age from which reported failures and lag no longer count, in milliseconds. */
const REPORT_STALE_MS = 2_000;
/**
 * Age from which a reported number of calls no longer counts, in milliseconds: an upstream of 4 slots
 * starts and ends about ten calls in that time.
 */
const LOAD_STALE_MS = 400;
/** Standard deviation of the number of calls at an upstream from its report while that is new. */
const MIN_LOAD_DEVIATION = 1;
/** The same for an upstream whose load is only known from that of the others. */
const MAX_LOAD_DEVIATION = 4;
/** Age at which the deviation reaches its maximum, in milliseconds. */
const MAX_DEVIATION_AGE_MS = 600;
/** Weight of the newest report in the moving average of the utilisation of a service's upstreams. */
const UTILISATION_WEIGHT = 0.02;
/** Steepness with which `softExcess` approximates the loss function of a normal distribution. */
const EXCESS_STEEPNESS = 1.6;
/** Number of deviations beyond which `softExcess` is exact within a thousandth. */
const MAX_DEVIATIONS = 4;
/** Latency as a ratio of the objective below which less than a thousandth of the responses is late. */
const MIN_LATE_RATIO = 0.2;
/**
 * Factor on the expected duration after which an upstream that has calls of this daemon, and answered
 * none since, counts as slow.
 */
const SILENCE_FACTOR = 2;
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
/**
 * Number of responses of which one passes on a report: 16 responses a second with load and reports
 * then carry less than 0.5 kB more.
 */
const RESPONSES_PER_RELAY = 3;
/** Age in milliseconds up to which a report is passed on. */
const MAX_RELAYED_AGE_MS = 3_000;
/** Upstreams that are looked at for a report to pass on. */
const MAX_RELAY_TRIES = 4;
/** Minimum number of responses before the moving average of a route's latency is used. */
const MIN_RESPONSES = 20;

/** Moving average of a route's latency, in milliseconds, and the number of responses in it. */
interface RouteLatency {
  averageMs: number;
  count: number;
}

/** What is the same for all candidates of a choice. */
interface Conditions {
  readonly placement: PlacementCriteria;
  /** Monotonic time in ms. */
  readonly now: number;
  /** Calls at the service's upstreams, as a ratio of their slots, by recent reports. */
  readonly typicalUtilisation: number;
  /** Average latency of the route, in milliseconds. */
  readonly typicalMs: number;
  /** Cost of a millisecond; 0 while the route's latency isn't known. */
  readonly costPerMs: number;
}

/** What a call may expect at an upstream. */
interface Forecast {
  /** Cost that the call is late or fails. */
  readonly harm: number;
  /** Expected number of calls that queue there, as a ratio of the slots. */
  readonly queued: number;
  /** Whether all slots are expected to be in use. */
  readonly isFull: boolean;
  /** Expected time until the response, including the cost of leaving the zone, in milliseconds. */
  readonly expectedMs: number;
}

function routeKey(service: ServiceName, route: RouteName): string {
  return `${service} ${route}`;
}

/** Number of calls that a call of the same route as the report's waits for, or runs beside. */
function callsAhead({ ahead, running, waiting }: UpstreamLoad): number {
  return ahead ?? running + waiting;
}

/** Modelled share of late responses for a given ratio of expected time to latency objective. */
function lateShare(ratio: number): number {
  if (ratio < MIN_LATE_RATIO) return 0;
  return 1 / (1 + ratio ** -LATE_STEEPNESS);
}

/** Expected excess above 0 of a normally distributed number with a mean and a standard deviation. */
function softExcess(mean: number, deviation: number): number {
  const deviations = mean / deviation;
  if (deviations > MAX_DEVIATIONS) return mean;
  if (deviations < -MAX_DEVIATIONS) return 0;
  return (deviation * Math.log1p(Math.exp(EXCESS_STEEPNESS * deviations))) / EXCESS_STEEPNESS;
}

/** Weight of reported failures and lag: 1 while they are fresh, falling linearly to 0. */
function reportWeight(ageMs: number): number {
  const decay = (ageMs - REPORT_FRESH_MS) / (REPORT_STALE_MS - REPORT_FRESH_MS);
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

  /** By service and route, as calls of different routes don't wait for the same ones. */
  private readonly utilisations = new Map<string, number>();

  /** Number of responses with which a report could be passed on. */
  private relayCalls = 0;

  /** Index of the upstream on which a report was last passed on. */
  private relayTurn = 0;

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
    const { service, route } = placement;
    const bytesMs = this.overflow.bytesCostMs(service, route);
    const latencyMs = this.latencyMs(service, route);
    const conditions: Conditions = {
      placement,
      now,
      typicalUtilisation: this.utilisations.get(routeKey(service, route)) ?? 0,
      typicalMs: latencyMs ?? INITIAL_LATENCY_MS,
      costPerMs: latencyMs ? TIME_COST / latencyMs : 0,
    };
    let home: Upstream | undefined;
    let homeCost = Infinity;
    let away: Upstream | undefined;
    let awayCost = Infinity;
    for (const candidate of pool) {
      const noise = (MAX_NOISE * this.random.below(NOISE_STEPS)) / NOISE_STEPS;
      if (candidate.zone === this.zone) {
        const cost = this.cost(candidate, conditions, 0) + noise;
        if (cost < homeCost) {
          home = candidate;
          homeCost = cost;
        }
      } else {
        const leaveMs = bytesMs + this.overflow.roundTripMs(candidate.zone);
        const cost = this.cost(candidate, conditions, leaveMs) + noise;
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
        : this.overflow.leaves(
            service,
            route,
            pool,
            (daemon) => this.statistics.get(daemon)?.knownLoad,
          );
    if (leaves === undefined) return homeCost <= awayCost + LEAVE_MARGIN ? home : away;
    const leaveMs = bytesMs + this.overflow.roundTripMs(away.zone);
    const atHome = this.forecast(home, conditions, 0);
    const abroad = this.forecast(away, conditions, leaveMs);
    if (leaves) return ForecastBalancer.isException(atHome, abroad) ? home : away;
    return ForecastBalancer.isException(abroad, atHome) ? away : home;
  }

  public recordBytes(service: ServiceName, route: RouteName, bytes: number): void {
    this.overflow.recordBytes(service, route, bytes);
  }

  public begin({ daemon }: Upstream): void {
    const stats = this.stats(daemon);
    if (stats.inFlight === 0) stats.silentSince = this.clock.now();
    stats.inFlight += 1;
    stats.startedSinceReport += 1;
    stats.lastUsed = this.clock.now();
  }

  public end({ daemon, service }: Upstream, route: RouteName, result: AttemptResult): void {
    const stats = this.stats(daemon);
    const now = this.clock.now();
    stats.inFlight -= 1;
    stats.silentSince = now;
    if (result.kind === 'answered') {
      stats.recordSuccess(route, result.latencyMs, now);
      this.recordLatency(service, route, result.latencyMs);
    }
    if (result.kind === 'failed') stats.recordFailure(now);
    if (result.kind !== 'answered' && result.kind !== 'refused') return;
    if (!result.load) return;
    stats.recordLoad(route, result.load, now);
    const { slots, relayed } = result.load;
    if (relayed) this.learn(service, relayed, now);
    const key = routeKey(service, route);
    const known = this.utilisations.get(key) ?? 0;
    const change = UTILISATION_WEIGHT * (callsAhead(result.load) / slots - known);
    this.utilisations.set(key, known + change);
  }

  public latencyMs(service: ServiceName, route: RouteName): number | undefined {
    const latency = this.latencies.get(routeKey(service, route));
    return latency && latency.count >= MIN_RESPONSES ? latency.averageMs : undefined;
  }

  public reportedLoad({ daemon }: Upstream): ReportedLoad | undefined {
    const stats = this.statistics.get(daemon);
    if (!stats?.load) return undefined;
    return { load: stats.load, ageMs: this.clock.now() - stats.loadAt };
  }

  /**
   * Returns a report on an upstream to be passed on with a response, each time on another upstream.
   *
   * @param service - Name of the service.
   * @returns A recent report; `undefined` if none is due.
   */
  public relay(service: ServiceName): RelayedReport | undefined {
    this.relayCalls += 1;
    if (this.relayCalls % RESPONSES_PER_RELAY !== 0) return undefined;
    const upstreams = this.directory.upstreams(service);
    const now = this.clock.now();
    for (let tries = 0; tries < Math.min(MAX_RELAY_TRIES, upstreams.length); tries += 1) {
      this.relayTurn = (this.relayTurn + 1) % upstreams.length;
      const { daemon } = upstreams[this.relayTurn]!;
      const known = this.statistics.get(daemon)?.knownLoad;
      if (known?.load.arrivals && known.load.meanMs !== undefined) {
        const { slots, waiting, meanMs, arrivals } = known.load;
        const ageMs = now - known.loadAt;
        if (ageMs < MAX_RELAYED_AGE_MS) {
          return { key: daemonKey(daemon), ageMs, slots, waiting, meanMs, arrivals };
        }
      }
    }
    return undefined;
  }

  /** Stores a report that another daemon passed on, unless a newer one is known. */
  private learn(service: ServiceName, report: RelayedReport, now: number): void {
    const upstream = this.directory
      .upstreams(service)
      .find(({ daemon }) => daemonKey(daemon) === report.key);
    if (!upstream) return;
    const stats = this.stats(upstream.daemon);
    const at = now - report.ageMs;
    if (at > (stats.relayed?.at ?? -Infinity)) stats.relayed = { report, at };
  }

  /** Drops the statistics of upstreams without recent calls. */
  public forgetUnused(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [daemon, { lastUsed, inFlight }] of this.statistics) {
      if (inFlight === 0 && lastUsed < oldest) this.statistics.delete(daemon);
    }
  }

  private recordLatency(service: ServiceName, route: RouteName, latencyMs: number): void {
    const key = routeKey(service, route);
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
  private cost(upstream: Upstream, conditions: Conditions, leaveMs: number): number {
    const { harm, queued, expectedMs } = this.forecast(upstream, conditions, leaveMs);
    return harm + CONGESTION_COST * queued + conditions.costPerMs * expectedMs;
  }

  /** Times that a call is expected to take at an upstream, and the harm to it alone. */
  private forecast(upstream: Upstream, conditions: Conditions, leaveMs: number): Forecast {
    const { placement, now, typicalUtilisation } = conditions;
    const stats = this.statistics.get(upstream.daemon);
    const slots = stats?.load?.slots ?? upstream.slots ?? placement.slots;
    const ageMs = stats?.load ? now - stats.loadAt : Infinity;
    const expectedLoad = ForecastBalancer.expectedLoad(stats, typicalUtilisation * slots, ageMs);
    const deviation =
      MIN_LOAD_DEVIATION +
      (MAX_LOAD_DEVIATION - MIN_LOAD_DEVIATION) * Math.min(1, ageMs / MAX_DEVIATION_AGE_MS);
    const queued = softExcess(expectedLoad + 1 - slots, deviation) / slots;
    const durationMs = ForecastBalancer.durationMs(upstream, stats, conditions);
    const expectedMs = (1 + queued) * durationMs + leaveMs + this.lagMs(stats, now);
    const ratio = expectedMs / Math.max(1, placement.objectiveMs);
    const harm =
      LATE_COST * lateShare(ratio) + FAILURE_COST * this.failureShare(upstream, stats, now);
    return { harm, queued, isFull: expectedLoad >= slots, expectedMs };
  }

  /**
   * Whether a call goes to one upstream although the share of its zone has it that it goes to the
   * zone of another: because the other is likely to fail the call or to be late, or because all slots
   * of the other zone are in use and the call would wait longer there than leaving costs.
   */
  private static isException(chosen: Forecast, other: Forecast): boolean {
    if (other.harm - chosen.harm > EXCEPTION_MARGIN) return true;
    return other.isFull && other.expectedMs > chosen.expectedMs;
  }

  /** Event loop lag that the upstream's daemon reported, in ms, weighted by the report's age. */
  private lagMs(stats: UpstreamStatistics | undefined, now: number): number {
    if (!stats?.load) return 0;
    return stats.load.lagMs * reportWeight(now - stats.loadAt);
  }

  /** Expected duration of a call; longer at an upstream that holds calls and answers none. */
  private static durationMs(
    upstream: Upstream,
    stats: UpstreamStatistics | undefined,
    { placement, now, typicalMs }: Conditions,
  ): number {
    const isCold = now - upstream.servingSince < COLD_START_MS;
    const usualMs =
      stats?.durationMs(placement.route) ??
      (isCold ? COLD_START_DURATION_FACTOR * typicalMs : typicalMs);
    if (!stats || stats.inFlight === 0) return usualMs;
    const silentMs = now - stats.silentSince;
    return silentMs > SILENCE_FACTOR * usualMs ? silentMs : usualMs;
  }

  /**
   * Expected number of calls at an upstream: those in its load report and those that this daemon
   * sent afterwards; the older the report, the more the typical load of the service's upstreams
   * counts instead. At least the calls that this daemon has in flight there.
   */
  private static expectedLoad(
    stats: UpstreamStatistics | undefined,
    typicalLoad: number,
    ageMs: number,
  ): number {
    if (!stats) return typicalLoad;
    if (!stats.load) return Math.max(stats.inFlight, typicalLoad);
    const weight = Math.max(0, 1 - ageMs / LOAD_STALE_MS);
    const reported = callsAhead(stats.load) + stats.startedSinceReport;
    return Math.max(stats.inFlight, weight * reported + (1 - weight) * typicalLoad);
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
