import SeededRandom from '../src/common/SeededRandom';
import type { DaemonId, RouteName, ServiceName, ZoneName } from '../src/common/Types';
import ForecastBalancer from '../src/request/ForecastBalancer';
import type { Upstream, UpstreamLoad } from '../src/request/Types';
import ZoneOverflow from '../src/request/ZoneOverflow';
import createUpstream from './createUpstream';
import ReplayServer from './ReplayServer';
import TickSchedule from './TickSchedule';

/** Relative spread of durations around their mean. */
const SPREAD = 0.4;
const RANDOM_STEPS = 1_000_000;
const MS_PER_SECOND = 1_000;
/** Time until a call to a zone that is cut off has failed, in milliseconds. */
const CUT_FAILURE_MS = 300;

/** An upstream of the replay. */
export interface ReplayUpstream {
  readonly zone: string;
  readonly slots: number;
  /** Speed relative to the mean duration of calls. */
  readonly speed: number;
  readonly service?: string;
}

/** A route of the replay. */
export interface ReplayRoute {
  readonly name: string;
  /** Share of the calls that are on this route. */
  readonly share: number;
  readonly bytes: number;
}

/** Load that is replayed. */
export interface ReplayOptions {
  readonly seed: number;
  /** Zones of the daemons that callers send to. */
  readonly daemonZones: readonly string[];
  readonly upstreams: readonly ReplayUpstream[];
  readonly routes?: readonly ReplayRoute[];
  /** Mean duration of a call at an upstream of speed 1, in milliseconds. */
  readonly meanMs: number;
  /** Returns the calls per second that callers send to each daemon of a zone. */
  readonly rateAt: (zone: string, now: number) => number;
  /** Chooses the service of a call, before an upstream is chosen. */
  readonly pickService?: () => string;
  /** Whether two zones can't reach each other. */
  readonly isCut?: (from: string, to: string, now: number) => boolean;
  readonly objectiveMs?: number;
  /** One-way delay between two daemons, in milliseconds, within a zone and between two. */
  readonly delayMs?: { readonly near: number; readonly far: number };
  /** Periods in which an upstream is slower. */
  readonly slowPeriods?: {
    readonly share: number;
    readonly factor: number;
    readonly lastsMs: number;
  };
}

/** One call of the replay, once it has ended. */
export interface ReplayResult {
  readonly at: number;
  readonly from: string;
  readonly to: string | undefined;
  readonly service: string;
  readonly route: string;
  readonly waitMs: number;
  readonly latencyMs: number;
  readonly served: boolean;
}

/** A daemon that callers send to. */
interface Caller {
  readonly zone: string;
  readonly balancer: ForecastBalancer;
  readonly overflow: ZoneOverflow;
}

interface Attempt {
  readonly caller: Caller;
  readonly service: ServiceName;
  readonly route: ReplayRoute;
  readonly startedAt: number;
  readonly tried: Set<DaemonId>;
}

/**
 * Replays calls of many daemons to upstreams in several zones on a virtual clock, without a network.
 * Each daemon has the balancer of a real one; a refused call is sent to one other upstream.
 */
export default class PlacementReplay {
  public readonly results: ReplayResult[] = [];

  /** Messages of each change of a share. */
  public readonly changes: string[] = [];

  public readonly callers: readonly Caller[];

  private readonly schedule = new TickSchedule();

  private readonly random: SeededRandom;

  private readonly servers: ReadonlyMap<DaemonId, ReplayServer>;

  private readonly upstreams = new Map<ServiceName, readonly Upstream[]>();

  /** The daemon beside each upstream. */
  private readonly besides = new Map<ReplayServer, Caller>();

  private readonly routes: readonly ReplayRoute[];

  private readonly delayMs: { readonly near: number; readonly far: number };

  /** @param options - Load that is replayed. */
  public constructor(private readonly options: ReplayOptions) {
    this.random = new SeededRandom(options.seed);
    this.routes = options.routes ?? [{ name: 'lookup', share: 1, bytes: 400 }];
    this.delayMs = options.delayMs ?? { near: 0.3, far: 1 };
    this.servers = new Map(
      options.upstreams.map((spec, index) => {
        const { zone, slots, service = 'stock' } = spec;
        const upstream = createUpstream(service, `${zone}-${index}`, zone, slots);
        return [upstream.daemon, new ReplayServer(upstream, spec)];
      }),
    );
    this.callers = options.daemonZones.map((zone) => this.createCaller(zone));
    [...this.servers.values()].forEach((server, index) => {
      const sameZone = this.callers.filter(({ zone }) => zone === server.spec.zone);
      if (sameZone.length > 0) this.besides.set(server, sameZone[index % sameZone.length]!);
    });
    for (const caller of this.callers) this.scheduleArrival(caller);
    for (const server of this.servers.values()) this.scheduleSlowPeriod(server);
  }

  /** Virtual time in milliseconds. */
  public get now(): number {
    return this.schedule.clock.now();
  }

  /** @param ms - Virtual time to run for, in milliseconds. */
  public run(ms: number): void {
    this.schedule.run(ms);
  }

  /**
   * @param zone - Name of a zone.
   * @param service - Name of a service.
   * @returns The share of the zone's demand that leaves, as each daemon of the zone decided.
   */
  public shares(zone: string, service = 'stock'): (number | undefined)[] {
    return this.callers
      .filter((caller) => caller.zone === zone)
      .map(({ overflow }) => overflow.shares.get(service as ServiceName));
  }

  private upstreamsOf(service: ServiceName): readonly Upstream[] {
    let upstreams = this.upstreams.get(service);
    if (!upstreams) {
      upstreams = [...this.servers.values()]
        .map(({ upstream }) => upstream)
        .filter((upstream) => upstream.service === service);
      this.upstreams.set(service, upstreams);
    }
    return upstreams;
  }

  private createCaller(zone: string): Caller {
    const { isCut } = this.options;
    const { clock } = this.schedule;
    const overflow = new ZoneOverflow(
      zone as ZoneName,
      {
        kilobyteMs: 1.15,
        roundTripMs: (other) => 2 * (other === zone ? this.delayMs.near : this.delayMs.far),
      },
      clock,
      { log: (_message, fields) => this.changes.push(`${zone}: ${JSON.stringify(fields)}`) },
    );
    const balancer = new ForecastBalancer(
      {
        upstreams: (service) => this.upstreamsOf(service),
      },
      {
        isUnresponsive: (address) =>
          isCut !== undefined &&
          isCut(zone, this.servers.get(address as string as DaemonId)!.spec.zone, clock.now()),
      },
      zone as ZoneName,
      overflow,
      clock,
      new SeededRandom(this.random.below(RANDOM_STEPS)),
    );
    return { zone, balancer, overflow };
  }

  private scheduleArrival(caller: Caller): void {
    const rate = this.options.rateAt(caller.zone, this.now);
    const gapMs = (-Math.log(1 - this.fraction()) * MS_PER_SECOND) / Math.max(0.001, rate);
    this.schedule.after(gapMs, () => {
      this.scheduleArrival(caller);
      this.send({
        caller,
        service: (this.options.pickService?.() ?? 'stock') as ServiceName,
        route: this.pickRoute(),
        startedAt: this.now,
        tried: new Set(),
      });
    });
  }

  private scheduleSlowPeriod(server: ReplayServer): void {
    const { slowPeriods } = this.options;
    if (!slowPeriods) return;
    const { share, lastsMs } = slowPeriods;
    const pauseMs = -Math.log(1 - this.fraction()) * ((lastsMs * (1 - share)) / share);
    this.schedule.after(pauseMs, () => {
      server.slowDown(this.now + lastsMs);
      this.schedule.after(lastsMs, () => this.scheduleSlowPeriod(server));
    });
  }

  private send(attempt: Attempt): void {
    const { caller, service, route, tried } = attempt;
    const upstream = caller.balancer.choose({
      service,
      route: route.name as RouteName,
      slots: 4,
      objectiveMs: (this.options.objectiveMs ?? 1_000) - (this.now - attempt.startedAt),
      exclude: tried,
    });
    if (!upstream) {
      this.end(attempt, undefined, 0, false);
      return;
    }
    tried.add(upstream.daemon);
    caller.balancer.begin(upstream);
    const server = this.servers.get(upstream.daemon)!;
    if (this.options.isCut?.(caller.zone, upstream.zone, this.now)) {
      this.schedule.after(CUT_FAILURE_MS, () => {
        caller.balancer.end(upstream, route.name as RouteName, { kind: 'failed' });
        this.end(attempt, upstream.zone, 0, false);
      });
      return;
    }
    const delayMs = caller.zone === upstream.zone ? this.delayMs.near : this.delayMs.far;
    this.schedule.after(delayMs, () => this.arrive(attempt, server, delayMs));
  }

  private arrive(attempt: Attempt, server: ReplayServer, delayMs: number): void {
    const { caller, route, tried } = attempt;
    const { upstream } = server;
    server.arrivals.record(caller.zone as ZoneName, this.now);
    const start = (waitMs: number) => {
      const workMs = this.workMs(server);
      this.schedule.after(workMs, () => {
        server.finish(workMs, this.now);
        const load = this.loadOf(server);
        this.schedule.after(delayMs, () => {
          const latencyMs = this.now - attempt.startedAt;
          const result = { kind: 'answered' as const, latencyMs, load };
          caller.balancer.end(upstream, route.name as RouteName, result);
          caller.balancer.recordBytes(attempt.service, route.name as RouteName, route.bytes);
          this.end(attempt, upstream.zone, waitMs, true);
        });
      });
    };
    if (!server.admit(start, this.now)) {
      const load = this.loadOf(server);
      this.schedule.after(delayMs, () => {
        caller.balancer.end(upstream, route.name as RouteName, { kind: 'refused', load });
        if (tried.size < 2) this.send(attempt);
        else this.end(attempt, upstream.zone, 0, false);
      });
    }
  }

  /** Load that the daemon beside an upstream reports, with what it passes on of another. */
  private loadOf(server: ReplayServer): UpstreamLoad {
    const { service } = server.upstream;
    const beside = this.besides.get(server);
    return { ...server.load(this.now), relayed: beside?.balancer.relay(service) };
  }

  private end(attempt: Attempt, to: string | undefined, waitMs: number, served: boolean): void {
    const { startedAt, caller, service, route } = attempt;
    this.results.push({
      at: startedAt,
      from: caller.zone,
      to,
      service,
      route: route.name,
      waitMs,
      latencyMs: this.now - startedAt,
      served,
    });
  }

  private workMs({ spec, slowUntil }: ReplayServer): number {
    const { meanMs, slowPeriods } = this.options;
    const factor = this.now < slowUntil ? (slowPeriods?.factor ?? 1) : 1;
    const spread = 1 + SPREAD * Math.sqrt(3) * (2 * this.fraction() - 1);
    return (meanMs * factor * spread) / spec.speed;
  }

  private pickRoute(): ReplayRoute {
    let rest = this.fraction();
    for (const route of this.routes) {
      rest -= route.share;
      if (rest < 0) return route;
    }
    return this.routes.at(-1)!;
  }

  private fraction(): number {
    return this.random.below(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
