import type { Clock, DaemonId, Random, RouteName, ServiceName, ZoneName } from '../common/Types';
import Standing from './Standing';
import type {
  AttemptResult,
  Balancer,
  KnownLoad,
  Liveness,
  Placement,
  Upstream,
  UpstreamDirectory,
} from './Types';

/** Duration assumed of a service's calls before the first answer, in milliseconds. */
const FIRST_LATENCY_MS = 1;
/** Weight of the newest answer in a service's average. */
const SERVICE_LATENCY_WEIGHT = 0.05;
/** Part of a call's use that is lost when its answer is late; the users' sheets say 0.7. */
const LATE_LOSS = 0.7;
/** Steepness of the share of late answers over expected time by objective; fits a spread of 0.4. */
const LATE_STEEPNESS = 4.25;
/** Part of a call's use that its bytes between zones cost; from the users' price sheets. */
const ZONE_COST = 0.09;
/** Load above which further calls make those of others late, in parts of the slots. */
const CROWDED_LOAD = 0.75;
/** Cost of one more call at full slots, in parts of a call's use. */
const CROWDING_COST = 0.4;
/** Cost of a sure failure; above 1, as a repeat draws on the shared budget too. */
const FAILURE_COST = 1.5;
/** Costs closer than this count as equal, so that daemons with the same view don't all agree. */
const NOISE = 0.02;
/** How long a reported load counts in full, in milliseconds. */
const LOAD_FRESH_MS = 250;
/** Age at which a reported load counts no more, in milliseconds. */
const LOAD_STALE_MS = 2_000;
/** How much longer calls take at an upstream that has just started and showed nothing yet. */
const COLD_FACTOR = 2;
/** How long an upstream counts as just started, in milliseconds. */
const COLD_MS = 3_000;
/** A bad health hint counts as this share of failed calls until a call shows otherwise. */
const BAD_HINT_FAILURE_SHARE = 0.5;
const HINT_OUTWEIGHED_MS = 1_000;
/** Upstreams that weren't used this long are forgotten, in milliseconds. */
const FORGET_AFTER_MS = 600_000;
const NOISE_STEPS = 1_000;
/** Answers after which an average tells what is usual. */
const ENOUGH_ANSWERS = 20;

/** Average time of a route's answers, in milliseconds. */
interface Latency {
  averageMs: number;
  count: number;
}

/** Share of answers that come late where they take `part` of their objective on average. */
function lateShare(part: number): number {
  if (part <= 0) return 0;
  return 1 / (1 + part ** -LATE_STEEPNESS);
}

/** How much a report counts at its age. */
function reportWeight(ageMs: number): number {
  const faded = (ageMs - LOAD_FRESH_MS) / (LOAD_STALE_MS - LOAD_FRESH_MS);
  return 1 - Math.min(1, Math.max(0, faded));
}

/**
 * Places each call where the forecast of its answer costs least: what it loses by being late, by
 * failing, by crossing zones and by crowding others.
 *
 * Load it answers: upstreams of one service whose speeds differ by three times, unannounced; zones
 * that are loaded unevenly; upstreams that fail a part of their calls, are cold or out of reach.
 * The forecast takes the queue and duration that the daemon beside an upstream reports with each
 * answer, aged, and this daemon's own calls since then. The own zone is left as soon as another
 * zone's forecast gains more than its bytes cost.
 */
export default class ForecastBalancer implements Balancer {
  private readonly standings = new Map<DaemonId, Standing>();

  private readonly latencies = new Map<string, Latency>();

  public constructor(
    private readonly directory: UpstreamDirectory,
    private readonly liveness: Pick<Liveness, 'isUnresponsive'>,
    private readonly zone: ZoneName,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public choose(placement: Placement): Upstream | undefined {
    const now = this.clock.now();
    const untried = this.directory
      .upstreams(placement.service)
      .filter(({ daemon }) => !placement.exclude.has(daemon));
    const pool = this.fit(untried, now);
    let best: Upstream | undefined;
    let bestCost = Infinity;
    for (const candidate of pool) {
      const noise = (NOISE * this.random.below(NOISE_STEPS)) / NOISE_STEPS;
      const cost = this.cost(candidate, placement, now) + noise;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  public begin({ daemon }: Upstream): void {
    const standing = this.standing(daemon);
    standing.inFlight += 1;
    standing.beganSinceReport += 1;
    standing.lastUsed = this.clock.now();
  }

  public end({ daemon, service }: Upstream, route: RouteName, result: AttemptResult): void {
    const standing = this.standing(daemon);
    const now = this.clock.now();
    standing.inFlight -= 1;
    if (result.kind === 'answered') {
      standing.succeed(route, result.latencyMs, now);
      this.noteLatency(service, route, result.latencyMs);
    }
    if (result.kind === 'failed') standing.fail(now);
    if (result.kind !== 'answered' && result.kind !== 'refused') return;
    if (result.load) standing.report(route, result.load, now);
  }

  public latencyMs(service: ServiceName, route: RouteName): number | undefined {
    const latency = this.latencies.get(`${service} ${route}`);
    return latency && latency.count >= ENOUGH_ANSWERS ? latency.averageMs : undefined;
  }

  public known({ daemon }: Upstream): KnownLoad | undefined {
    const standing = this.standings.get(daemon);
    if (!standing?.load) return undefined;
    return { load: standing.load, ageMs: this.clock.now() - standing.loadAt };
  }

  /** Forgets upstreams that weren't used for long. */
  public sweep(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [daemon, { lastUsed, inFlight }] of this.standings) {
      if (inFlight === 0 && lastUsed < oldest) this.standings.delete(daemon);
    }
  }

  private noteLatency(service: ServiceName, route: RouteName, latencyMs: number): void {
    const key = `${service} ${route}`;
    const latency = this.latencies.get(key) ?? { averageMs: latencyMs, count: 0 };
    this.latencies.set(key, latency);
    latency.averageMs += SERVICE_LATENCY_WEIGHT * (latencyMs - latency.averageMs);
    latency.count += 1;
  }

  /** Leaves out those out of reach, set aside or lost from sight, but never all. */
  private fit(upstreams: readonly Upstream[], now: number): readonly Upstream[] {
    const reached = upstreams.filter(({ address }) => !this.liveness.isUnresponsive(address));
    const unproven = reached.filter(
      ({ daemon }) => now >= (this.standings.get(daemon)?.asideUntil ?? 0),
    );
    const usable = unproven.filter(({ suspect }) => !suspect);
    return [usable, unproven, reached, upstreams].find(({ length }) => length > 0) ?? [];
  }

  private cost(upstream: Upstream, placement: Placement, now: number): number {
    const standing = this.standings.get(upstream.daemon);
    const durationMs = this.durationMs(upstream, standing, placement, now);
    const slots = standing?.load?.slots ?? upstream.slots ?? placement.slots;
    const busy = this.busy(standing, now);
    const waitMs = busy < slots ? 0 : ((busy - slots + 1) * durationMs) / slots;
    const expectedMs = waitMs + durationMs + this.lagMs(standing, now);
    const part = expectedMs / Math.max(1, placement.objectiveMs);
    const crowding = Math.max(0, busy / slots - CROWDED_LOAD) / (1 - CROWDED_LOAD);
    return (
      LATE_LOSS * lateShare(part) +
      CROWDING_COST * crowding +
      FAILURE_COST * this.failureShare(upstream, standing, now) +
      (upstream.zone === this.zone ? 0 : ZONE_COST)
    );
  }

  /** Time that a daemon without processor time adds, as it reported, fading with age. */
  private lagMs(standing: Standing | undefined, now: number): number {
    if (!standing?.load) return 0;
    return standing.load.lagMs * reportWeight(now - standing.loadAt);
  }

  private durationMs(
    upstream: Upstream,
    standing: Standing | undefined,
    { service, route }: Placement,
    now: number,
  ): number {
    const seen = standing?.durationMs(route);
    if (seen !== undefined) return seen;
    const typicalMs = this.latencyMs(service, route) ?? FIRST_LATENCY_MS;
    return now - upstream.servingSince < COLD_MS ? COLD_FACTOR * typicalMs : typicalMs;
  }

  /** Calls at an upstream: those it reported, fading with age, and own ones that it hasn't seen. */
  private busy(standing: Standing | undefined, now: number): number {
    if (!standing) return 0;
    if (!standing.load) return standing.inFlight;
    const weight = reportWeight(now - standing.loadAt);
    const reported = standing.load.running + standing.load.waiting + standing.beganSinceReport;
    return Math.max(standing.inFlight, weight * reported);
  }

  private failureShare(upstream: Upstream, standing: Standing | undefined, now: number): number {
    const lastSuccess = standing?.lastSuccess ?? -Infinity;
    const hinted = upstream.healthHint || lastSuccess > now - HINT_OUTWEIGHED_MS;
    const own = standing?.failureShareAt(now) ?? 0;
    const reported = standing?.load
      ? standing.load.failureShare * reportWeight(now - standing.loadAt)
      : 0;
    const seen = Math.max(own, reported);
    return hinted ? seen : Math.max(seen, BAD_HINT_FAILURE_SHARE);
  }

  private standing(daemon: DaemonId): Standing {
    let standing = this.standings.get(daemon);
    if (!standing) {
      standing = new Standing();
      this.standings.set(daemon, standing);
    }
    return standing;
  }
}
