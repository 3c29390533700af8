import type { Clock, DaemonId, Random, RouteName, ServiceName } from '../common/Types';
import type {
  AttemptResult,
  Balancer,
  PlacementCriteria,
  ReportedLoad,
  Upstream,
} from '../request/Types';
import type Rollout from './Rollout';
import type Rollouts from './Rollouts';

const CREDIT_STEPS = 1_000;
const NO_DAEMONS: ReadonlySet<DaemonId> = new Set();

/** The daemons of a service's upstreams by what may be sent to them, for one list of upstreams. */
interface Partition {
  readonly upstreams: readonly Upstream[];
  readonly rollout: Rollout | undefined;
  readonly target: ReadonlySet<DaemonId>;
  readonly old: ReadonlySet<DaemonId>;
  readonly barred: ReadonlySet<DaemonId>;
}

function union(...sets: readonly ReadonlySet<DaemonId>[]): ReadonlySet<DaemonId> {
  const filled = sets.filter(({ size }) => size > 0);
  if (filled.length <= 1) return filled[0] ?? NO_DAEMONS;
  return new Set(filled.flatMap((set) => [...set]));
}

/**
 * Restricts each call of a service with a rollout to the upstreams of one version, before the balancer chooses
 * among them. Each daemon sends its share of calls to the target version by turns, from a random start, so
 * that the share of all daemons together is met with little variance. Retries and hedges go to old upstreams
 * until the target version gets all calls.
 */
export default class RolloutRouter implements Balancer {
  private readonly partitions = new Map<ServiceName, Partition>();

  private readonly credits = new Map<ServiceName, number>();

  /**
   * @param inner - Chooses among the permitted upstreams.
   * @param rollouts - The rollouts that this daemon knows.
   * @param upstreams - Lists the upstreams of a service; returns the same list until it changes.
   * @param holdMs - Time for which a version that appears beside another one gets no calls, as an order
   * that names it may not have arrived yet; `undefined` if it gets calls at once.
   * @param clock - Monotonic clock.
   * @param random - Draws the start of the turns.
   */
  public constructor(
    private readonly inner: Balancer,
    private readonly rollouts: Pick<Rollouts, 'get' | 'begin' | 'end'>,
    private readonly upstreams: (service: ServiceName) => readonly Upstream[],
    private readonly holdMs: () => number | undefined,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public choose(placement: PlacementCriteria): Upstream | undefined {
    const { service, exclude } = placement;
    const rollout = this.rollouts.get(service);
    if (!rollout) return this.chooseExcluding(placement, this.heldBack(service));
    const { target, old, barred } = this.partition(service, rollout);
    if (rollout.share >= 1) {
      const chosen = this.chooseExcluding(placement, union(old, barred));
      // Where an order is completed, another version serves only if there is nothing else.
      return chosen ?? (target.size === 0 ? this.chooseExcluding(placement, barred) : undefined);
    }
    if (target.size === 0) return this.chooseExcluding(placement, barred);
    const isFirstAttempt = exclude.size === 0;
    if (isFirstAttempt && this.isTargetTurn(service, rollout.share)) {
      const chosen = this.chooseExcluding(placement, union(old, barred));
      if (chosen) return chosen;
    }
    const chosen = this.chooseExcluding(placement, union(target, barred));
    if (chosen || old.size > 0) return chosen;
    return rollout.mayStandIn ? this.chooseExcluding(placement, barred) : undefined;
  }

  public begin(upstream: Upstream): void {
    this.rollouts.begin(upstream);
    this.inner.begin(upstream);
  }

  public end(upstream: Upstream, route: RouteName, result: AttemptResult): void {
    this.rollouts.end(upstream);
    this.inner.end(upstream, route, result);
  }

  public latencyMs(service: ServiceName, route: RouteName): number | undefined {
    return this.inner.latencyMs(service, route);
  }

  public reportedLoad(upstream: Upstream): ReportedLoad | undefined {
    return this.inner.reportedLoad(upstream);
  }

  public recordBytes(service: ServiceName, route: RouteName, bytes: number): void {
    this.inner.recordBytes?.(service, route, bytes);
  }

  private chooseExcluding(
    placement: PlacementCriteria,
    daemons: ReadonlySet<DaemonId>,
  ): Upstream | undefined {
    if (daemons.size === 0) return this.inner.choose(placement);
    return this.inner.choose({ ...placement, exclude: union(placement.exclude, daemons) });
  }

  private isTargetTurn(service: ServiceName, share: number): boolean {
    if (share <= 0) return false;
    const start = this.credits.get(service) ?? this.random.below(CREDIT_STEPS) / CREDIT_STEPS;
    const credit = start + share;
    const isTurn = credit >= 1;
    this.credits.set(service, isTurn ? credit - 1 : credit);
    return isTurn;
  }

  private partition(service: ServiceName, rollout: Rollout): Partition {
    const upstreams = this.upstreams(service);
    let partition = this.partitions.get(service);
    if (partition?.upstreams !== upstreams || partition.rollout !== rollout) {
      const idsOf = (isMember: (upstream: Upstream) => boolean) =>
        new Set(upstreams.filter(isMember).map(({ daemon }) => daemon));
      partition = {
        upstreams,
        rollout,
        target: idsOf(({ version }) => rollout.sideOf(version) === 'target'),
        old: idsOf(
          ({ version }) => rollout.sideOf(version) === 'old' && !rollout.isBarred(version),
        ),
        barred: idsOf(({ version }) => rollout.isBarred(version)),
      };
      this.partitions.set(service, partition);
    }
    return partition;
  }

  /** Upstreams of versions that have just appeared beside another version of a service without orders. */
  private heldBack(service: ServiceName): ReadonlySet<DaemonId> {
    const holdMs = this.holdMs();
    if (holdMs === undefined) return NO_DAEMONS;
    const upstreams = this.upstreams(service);
    const first = upstreams[0]?.version;
    if (upstreams.every(({ version }) => version === first)) return NO_DAEMONS;
    const since = new Map<string | undefined, number>();
    for (const { version, servingSince } of upstreams) {
      since.set(version, Math.min(servingSince, since.get(version) ?? Infinity));
    }
    const youngestAllowed = this.clock.now() - holdMs;
    const oldest = Math.min(...since.values());
    if (oldest > youngestAllowed) return NO_DAEMONS;
    return new Set(
      upstreams
        .filter(({ version }) => since.get(version)! > youngestAllowed)
        .map(({ daemon }) => daemon),
    );
  }
}
