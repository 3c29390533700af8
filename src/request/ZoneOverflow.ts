import type { Clock, DaemonId, Logger, RouteName, ServiceName, ZoneName } from '../common/Types';
import { overflowShare, type RouteDemand, type ZoneState } from './overflowShare';
import type { Upstream, UpstreamLoad, ZoneKey } from './Types';
import zoneKey from './zoneKey';

/** Weight of the newest exchange in the moving average of a route's bytes. */
const BYTES_WEIGHT = 0.05;
const BYTES_PER_KILOBYTE = 1_000;
/**
 * Averages of bytes are rounded to a power of this, so that daemons whose averages differ a little
 * decide the same.
 */
const BYTES_ROUNDING = 2 ** 0.5;
/** Interval between decisions on a service, in milliseconds. */
const DECISION_INTERVAL_MS = 500;
/** Factor on the counted calls of each route at each decision; the counts span about ten seconds. */
const COUNT_DECAY = 0.95;
/** Smallest change of a share; smaller ones are within the error of measured rates. */
const MIN_CHANGE = 0.05;
/**
 * Time for which no call would leave before a share is lowered to nothing, in milliseconds; longer than
 * the time constant of the reported rates.
 */
const RELEASE_MS = 3_000;
/** Age of a load report from which its rates no longer count, in milliseconds. */
const RATES_STALE_MS = 10_000;
/** Share of the capacity of an upstream without a current report that counts as used. */
const UNKNOWN_UTILISATION = 0.5;
/** Time in seconds within which waiting calls should get a slot; they count as demand at this rate. */
const BACKLOG_SECONDS = 1;
/** Round trip to another zone assumed before one was measured, in milliseconds. */
const DEFAULT_ROUND_TRIP_MS = 5;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** What is known about the load of an upstream. */
export interface KnownLoad {
  readonly load: Pick<UpstreamLoad, 'slots' | 'waiting' | 'meanMs' | 'arrivals'>;
  /** Monotonic time in ms at which the report was made. */
  readonly loadAt: number;
}

/** Settings and measurements that the cost of leaving the zone depends on. */
export interface ZoneCosts {
  /** Milliseconds of callers' waiting that a kilobyte between zones is worth. */
  readonly kilobyteMs: number;
  /** Returns the mean round trip to a zone, in milliseconds; `undefined` before it was measured. */
  readonly roundTripMs: (zone: ZoneName) => number | undefined;
}

interface RouteTraffic {
  averageBytes: number;
  /** What the bytes of a call cost between zones, in milliseconds. */
  bytesMs: number;
  /** Number of recent calls, decayed at each decision. */
  calls: number;
  /** Share of the route's calls that leave the zone. */
  share: number;
  /** Sum of the shares of the calls since the last one that left. */
  credit: number;
}

interface ServiceState {
  readonly routes: Map<RouteName, RouteTraffic>;
  /** Share of the zone's demand that leaves; `undefined` before the demand is known. */
  share: number | undefined;
  decidedAt: number;
  /** Monotonic time in ms since which no call would leave; `undefined` while calls would. */
  idleSince: number | undefined;
}

/** Sums over the upstreams of one zone. */
interface ZoneSum {
  /** Calls per second from the zone, at upstreams in all zones. */
  demand: number;
  /** Calls that wait at the zone's upstreams, per second in which they should get a slot. */
  backlog: number;
  capacity: number;
  slots: number;
  upstreams: number;
}

/** Number of slots that effectively share one queue: between those of one upstream and of the zone. */
function pooledSlots(slots: number, upstreams: number): number {
  return upstreams === 0 ? 1 : slots / Math.sqrt(upstreams);
}

/**
 * Decides for each service which share of the zone's demand is sent to other zones, and which calls these
 * are.
 *
 * Designed for three zones and up to forty upstreams of a service, of which one or two zones have too
 * few. The decision depends only on what upstreams report to all daemons: the rates at which calls
 * arrive from each zone, the waiting calls, slots and durations. The demand of a zone is the sum of
 * these rates over all zones, so that it doesn't change when calls leave, and the decision has no
 * feedback that could oscillate. Leaving costs the round trip and the time that the bytes of a route
 * are worth; routes for which it costs least leave first.
 */
export default class ZoneOverflow {
  private readonly services = new Map<ServiceName, ServiceState>();

  private readonly roundTrips = new Map<ZoneName, number>();

  private changeCount = 0;

  /**
   * @param zone - Zone of this daemon.
   * @param costs - Settings and measurements that the cost of leaving the zone depends on.
   * @param clock - Monotonic clock.
   * @param logger - Logs each change of a share.
   */
  public constructor(
    private readonly zone: ZoneName,
    private readonly costs: ZoneCosts,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Number of changes of shares since the start. */
  public get changes(): number {
    return this.changeCount;
  }

  /** Share of the demand that leaves the zone, by service; services of unknown demand are left out. */
  public get shares(): ReadonlyMap<ServiceName, number> {
    const shares = new Map<ServiceName, number>();
    for (const [service, { share }] of this.services) {
      if (share !== undefined) shares.set(service, share);
    }
    return shares;
  }

  /**
   * @param service - Name of the service.
   * @param route - Route to the service.
   * @param bytes - Size of the bodies of the request and the response of a call.
   */
  public recordBytes(service: ServiceName, route: RouteName, bytes: number): void {
    const traffic = this.traffic(service, route);
    const known = traffic.averageBytes || bytes;
    traffic.averageBytes = known + BYTES_WEIGHT * (bytes - known);
    if (traffic.averageBytes < 1) return;
    const step = Math.round(Math.log(traffic.averageBytes) / Math.log(BYTES_ROUNDING));
    traffic.bytesMs = (this.costs.kilobyteMs * BYTES_ROUNDING ** step) / BYTES_PER_KILOBYTE;
  }

  /**
   * @param service - Name of the service.
   * @param route - Route to the service.
   * @returns What the bytes of a call cost between zones, in milliseconds of waiting.
   */
  public bytesCostMs(service: ServiceName, route: RouteName): number {
    return this.services.get(service)?.routes.get(route)?.bytesMs ?? 0;
  }

  /**
   * @param zone - Name of another zone.
   * @returns Round trip to the zone in milliseconds, as of the last decision on a service.
   */
  public roundTripMs(zone: ZoneName): number {
    let roundTripMs = this.roundTrips.get(zone);
    if (roundTripMs === undefined) {
      roundTripMs = this.costs.roundTripMs(zone) ?? DEFAULT_ROUND_TRIP_MS;
      this.roundTrips.set(zone, roundTripMs);
    }
    return roundTripMs;
  }

  /**
   * Decides whether the next call of a route leaves the zone.
   *
   * @param service - Name of the service.
   * @param route - Route to the service.
   * @param upstreams - Upstreams that may get the call.
   * @param loadOf - Returns what is known about the load of an upstream.
   * @returns Whether the call leaves; `undefined` while the zone's demand isn't known.
   */
  public leaves(
    service: ServiceName,
    route: RouteName,
    upstreams: readonly Upstream[],
    loadOf: (daemon: DaemonId) => KnownLoad | undefined,
  ): boolean | undefined {
    const state = this.state(service);
    const traffic = this.traffic(service, route);
    traffic.calls += 1;
    const now = this.clock.now();
    if (now - state.decidedAt >= DECISION_INTERVAL_MS) {
      state.decidedAt = now;
      this.decide(service, upstreams, loadOf);
    }
    if (state.share === undefined) return undefined;
    traffic.credit += traffic.share;
    if (traffic.credit < 1) return false;
    traffic.credit -= 1;
    return true;
  }

  private decide(
    service: ServiceName,
    upstreams: readonly Upstream[],
    loadOf: (daemon: DaemonId) => KnownLoad | undefined,
  ): void {
    const now = this.clock.now();
    const state = this.state(service);
    this.roundTrips.clear();
    const zones = ZoneOverflow.zoneStates(upstreams, loadOf, now);
    const own = zoneKey(this.zone);
    const ownState = zones.find(({ zone }) => zone === own);
    const routes = this.routeDemands(state, upstreams);
    for (const traffic of state.routes.values()) traffic.calls *= COUNT_DECAY;
    if (!ownState || ownState.demand <= 0) {
      state.share = undefined;
      return;
    }
    const target = overflowShare(own, zones, routes);
    const before = state.share ?? 0;
    if (target > 0) state.idleSince = undefined;
    else state.idleSince ??= now;
    const isReleased = state.idleSince !== undefined && now - state.idleSince >= RELEASE_MS;
    const isChanged =
      target === 0 ? before > 0 && isReleased : Math.abs(target - before) >= MIN_CHANGE;
    state.share = isChanged ? target : before;
    ZoneOverflow.shareAmongRoutes(state, ZoneOverflow.sortedRoutes(state));
    if (!isChanged) return;
    this.changeCount += 1;
    this.logger.log('Changed the share of calls that leaves the zone.', {
      service,
      fromPercent: Math.round(before * PERCENT),
      toPercent: Math.round(target * PERCENT),
      demandPerSecond: Math.round(ownState.demand),
      capacityPerSecond: Math.round(ownState.capacity),
      leaveCostMs: Math.round(routes[0]?.leaveCostMs ?? 0),
    });
  }

  /** Demand and capacity of each zone, from the reports of all upstreams. */
  private static zoneStates(
    upstreams: readonly Upstream[],
    loadOf: (daemon: DaemonId) => KnownLoad | undefined,
    now: number,
  ): ZoneState[] {
    const reports = upstreams.map(({ zone, daemon, slots }) => {
      const known = loadOf(daemon);
      const isCurrent = known?.load.arrivals && now - known.loadAt < RATES_STALE_MS;
      return { key: zoneKey(zone), slots, load: isCurrent ? known.load : undefined };
    });
    const durations = reports.flatMap(({ load }) => load?.meanMs ?? []);
    const typicalMs = durations.reduce((sum, ms) => sum + ms, 0) / Math.max(1, durations.length);
    const typicalSlots = reports.find(({ load }) => load)?.load?.slots ?? 1;
    const sums = new Map<ZoneKey, ZoneSum>();
    const sumOf = (key: ZoneKey) => {
      const sum = sums.get(key) ?? { demand: 0, backlog: 0, capacity: 0, slots: 0, upstreams: 0 };
      sums.set(key, sum);
      return sum;
    };
    for (const { key, load, slots: announced } of reports) {
      const sum = sumOf(key);
      const slots = load?.slots ?? announced ?? typicalSlots;
      const capacity = (slots * MS_PER_SECOND) / Math.max(1, load?.meanMs ?? typicalMs);
      sum.slots += slots;
      sum.upstreams += 1;
      sum.capacity += load ? capacity : capacity * UNKNOWN_UTILISATION;
      sum.backlog += (load?.waiting ?? 0) / BACKLOG_SECONDS;
      const arrivals = load?.arrivals ?? [];
      for (let index = 0; index + 1 < arrivals.length; index += 2) {
        sumOf(arrivals[index]! as ZoneKey).demand += arrivals[index + 1]!;
      }
    }
    return [...sums].map(([zone, { demand, backlog, capacity, slots, upstreams: count }]) => ({
      zone,
      demand,
      backlog,
      capacity,
      pooledSlots: pooledSlots(slots, count),
      durationMs: typicalMs,
    }));
  }

  /** Routes of a service, those first for which leaving costs least. */
  private static sortedRoutes(state: ServiceState): RouteTraffic[] {
    return [...state.routes.values()].sort((a, b) => a.bytesMs - b.bytesMs);
  }

  private routeDemands(state: ServiceState, upstreams: readonly Upstream[]): RouteDemand[] {
    const others = upstreams.filter(({ zone }) => zone !== this.zone);
    const roundTripMs = [...new Set(others.map(({ zone }) => zone))]
      .map((zone) => this.roundTripMs(zone))
      .reduce((shortest, ms) => Math.min(shortest, ms), Infinity);
    const routes = ZoneOverflow.sortedRoutes(state);
    const calls = routes.reduce((sum, route) => sum + route.calls, 0);
    return routes.map((route) => ({
      share: calls === 0 ? 0 : route.calls / calls,
      leaveCostMs: roundTripMs + route.bytesMs,
    }));
  }

  /** Divides the share that leaves among the routes; those for which leaving costs least go first. */
  private static shareAmongRoutes({ share = 0 }: ServiceState, routes: RouteTraffic[]): void {
    const calls = routes.reduce((sum, route) => sum + route.calls, 0);
    let leaving = share * calls;
    for (const route of routes) {
      const part = Math.min(route.calls, leaving);
      route.share = route.calls === 0 ? 0 : part / route.calls;
      leaving -= part;
    }
  }

  private state(service: ServiceName): ServiceState {
    let state = this.services.get(service);
    if (!state) {
      state = { routes: new Map(), share: undefined, decidedAt: -Infinity, idleSince: undefined };
      this.services.set(service, state);
    }
    return state;
  }

  private traffic(service: ServiceName, route: RouteName): RouteTraffic {
    const { routes } = this.state(service);
    let traffic = routes.get(route);
    if (!traffic) {
      traffic = { averageBytes: 0, bytesMs: 0, calls: 0, share: 0, credit: 0 };
      routes.set(route, traffic);
    }
    return traffic;
  }
}
