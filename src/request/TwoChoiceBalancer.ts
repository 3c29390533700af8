import type { Clock, DaemonId, Random, ServiceName, ZoneName } from '../common/Types';
import type { Service } from '../version/Types';
import Standing, { FIRST_LATENCY_MS } from './Standing';
import type { AttemptResult, Balancer, Upstream, UpstreamDirectory } from './Types';

const SERVICE_LATENCY_WEIGHT = 0.05;
const ZONE_SPILL_LOAD = 0.8;
const LOAD_FRESH_MS = 1_000;
const BAD_HINT_FACTOR = 4;
const SMALL_POOL = 4;
const COLD_SHARE = 0.25;
const FAILURE_AVERSION = 3;
const MAX_FAILURE_SHARE = 0.9;
const FORGET_AFTER_MS = 600_000;

/** How much less a cold upstream is chosen. */
function coldFactor({ servingSince }: Upstream, { warmUpMs }: Service, now: number): number {
  const age = now - servingSince;
  if (age >= warmUpMs) return 1;
  return 1 / Math.max(COLD_SHARE, age / warmUpMs);
}

/**
 * Takes the better of two random upstreams, by its own calls in flight, the latency they showed
 * and the load that answers carry. Its own zone comes first until that is loaded.
 *
 * @see {@link https://www.eecs.harvard.edu/~michaelm/postscripts/tpds2001.pdf}
 */
export default class TwoChoiceBalancer implements Balancer {
  private readonly standings = new Map<DaemonId, Standing>();

  private readonly latencies = new Map<ServiceName, number>();

  public constructor(
    private readonly directory: UpstreamDirectory,
    private readonly zone: ZoneName,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public choose(service: Service, exclude: ReadonlySet<DaemonId>): Upstream | undefined {
    const now = this.clock.now();
    const all = this.directory.upstreams(service.name);
    const untried = all.filter(
      ({ daemon }) => !exclude.has(daemon) && !this.isFull(daemon, service),
    );
    const pool = this.nearest(this.fit(untried, now), service, now);
    const sample = pool.length <= SMALL_POOL ? pool : this.pair(pool);
    return this.cheapest(sample, service, now);
  }

  public begin({ daemon }: Upstream): void {
    const standing = this.standing(daemon);
    standing.inFlight += 1;
    standing.lastUsed = this.clock.now();
  }

  public end({ daemon, service }: Upstream, result: AttemptResult): void {
    const standing = this.standing(daemon);
    const now = this.clock.now();
    standing.inFlight -= 1;
    if (result.kind === 'answered') {
      standing.succeed(result.latencyMs, now);
      this.noteLatency(service, result.latencyMs);
    }
    if (result.kind === 'failed') standing.fail(now);
    if (result.kind === 'answered' || result.kind === 'refused') {
      standing.load = result.load ?? (result.kind === 'refused' ? 1 : standing.load);
      standing.loadAt = now;
    }
  }

  public latencyMs(service: ServiceName): number {
    return this.latencies.get(service) ?? FIRST_LATENCY_MS;
  }

  /** Forgets upstreams that weren't used for long. */
  public sweep(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [daemon, { lastUsed, inFlight }] of this.standings) {
      if (inFlight === 0 && lastUsed < oldest) this.standings.delete(daemon);
    }
  }

  private noteLatency(service: ServiceName, latencyMs: number): void {
    const known = this.latencies.get(service) ?? latencyMs;
    this.latencies.set(service, known + SERVICE_LATENCY_WEIGHT * (latencyMs - known));
  }

  private pair(pool: readonly Upstream[]): readonly Upstream[] {
    const first = this.random.below(pool.length);
    const second = (first + 1 + this.random.below(pool.length - 1)) % pool.length;
    return [pool[first]!, pool[second]!];
  }

  /** The first of equals is a random one, so that daemons that know nothing don't all agree. */
  private cheapest(
    sample: readonly Upstream[],
    service: Service,
    now: number,
  ): Upstream | undefined {
    let best: Upstream | undefined;
    let bestCost = Infinity;
    const start = sample.length > 1 ? this.random.below(sample.length) : 0;
    for (let index = 0; index < sample.length; index += 1) {
      const candidate = sample[(start + index) % sample.length]!;
      const cost = this.cost(candidate, service, now);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Leaves out those set aside and those lost from sight, but never all. */
  private fit(upstreams: readonly Upstream[], now: number): readonly Upstream[] {
    const usable = upstreams.filter(
      ({ daemon, suspect }) => !suspect && now >= (this.standings.get(daemon)?.asideUntil ?? 0),
    );
    if (usable.length > 0) return usable;
    const unproven = upstreams.filter(
      ({ daemon }) => now >= (this.standings.get(daemon)?.asideUntil ?? 0),
    );
    return unproven.length > 0 ? unproven : upstreams;
  }

  private nearest(
    upstreams: readonly Upstream[],
    service: Service,
    now: number,
  ): readonly Upstream[] {
    const near = upstreams.filter(({ zone }) => zone === this.zone);
    const spared = near.some(({ daemon }) => this.loadOf(daemon, service, now) < ZONE_SPILL_LOAD);
    return spared ? near : upstreams;
  }

  /** What goes beyond slots and queue would only be sent to be refused. */
  private isFull(daemon: DaemonId, { slots, queue }: Service): boolean {
    return (this.standings.get(daemon)?.inFlight ?? 0) >= slots + queue;
  }

  /** Own calls count at once; what the answers said of others' calls counts while it is fresh. */
  private loadOf(daemon: DaemonId, service: Service, now: number): number {
    const standing = this.standings.get(daemon);
    if (!standing) return 0;
    const reported = now - standing.loadAt < LOAD_FRESH_MS ? standing.load : 0;
    return Math.max(reported, standing.inFlight / service.slots);
  }

  private cost(upstream: Upstream, service: Service, now: number): number {
    const standing = this.standings.get(upstream.daemon);
    const inFlight = standing?.inFlight ?? 0;
    const latency = standing?.latencyMs ?? FIRST_LATENCY_MS;
    const load = this.loadOf(upstream.daemon, service, now);
    const cold = coldFactor(upstream, service, now);
    // A bad hint counts only as long as no call of this daemon showed otherwise.
    const hinted = upstream.healthHint || (standing?.lastSuccess ?? 0) > now - LOAD_FRESH_MS;
    const failing =
      (1 - Math.min(standing?.failureShare ?? 0, MAX_FAILURE_SHARE)) ** -FAILURE_AVERSION;
    return (inFlight + 1) * latency * (1 + load) * cold * failing * (hinted ? 1 : BAD_HINT_FACTOR);
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
