import SeededRandom from '../src/common/SeededRandom';
import type { DaemonId, RouteName, ServiceName, ZoneName } from '../src/common/Types';
import AdmissionController from '../src/request/AdmissionController';
import CancelController from '../src/request/CancelController';
import ForecastBalancer from '../src/request/ForecastBalancer';
import NotRunError from '../src/request/NotRunError';
import RetryAdvice from '../src/request/RetryAdvice';
import type { Balancer, Upstream, UpstreamLoad } from '../src/request/Types';
import ZoneOverflow from '../src/request/ZoneOverflow';
import createUpstream from './createUpstream';
import VirtualTimeline from './VirtualTimeline';

const QUEUE_PER_SLOT = 8;
/** Number of upstreams that a call is offered to before a refusal is final. */
const MAX_OFFERS = 2;
const ZONE = 'a' as ZoneName;
/** Time from one daemon to another, in milliseconds. */
const DELAY_MS = 1;
const RANDOM_STEPS = 1_000_000;
const MS_PER_SECOND = 1_000;

/** Upstreams of one service. */
export interface ReplayedService {
  readonly slots: number;
  /** Speed of each upstream relative to the durations of its calls. */
  readonly speeds: readonly number[];
}

/** Calls of one route. */
export interface ReplayedKind {
  readonly name: string;
  readonly service: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  /** Relative standard deviation of the work. */
  readonly spread: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Number of times that a refused or failed caller calls again. */
  readonly retries: number;
  /** Inner calls that a share of the runs make, all at once, before they end. */
  readonly inner?: { readonly kind: string; readonly times: number; readonly share: number };
  /** Time within which more calls come, in virtual milliseconds. */
  readonly burst?: { readonly from: number; readonly until: number; readonly factor: number };
}

/** Services and calls of a replay. */
export interface InnerCallScenario {
  readonly seed: number;
  readonly services: Readonly<Record<string, ReplayedService>>;
  readonly kinds: readonly ReplayedKind[];
  readonly runMs: number;
}

/** What became of the calls of one route, as counts. */
export interface ReplayedCounts {
  calls: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
}

interface ReplayedUpstream {
  readonly upstream: Upstream;
  readonly admission: AdmissionController;
  readonly speed: number;
  /** Places the inner calls of its runs, and the calls of callers on its VM. */
  readonly balancer: Balancer;
}

/**
 * Replays, in virtual time, services of which some call others during their runs, with the admission of real
 * daemons beside each upstream. A run whose inner call is refused or comes too late fails.
 */
export default class InnerCallReplay {
  public readonly counts = new Map<string, ReplayedCounts>();

  private readonly timeline = new VirtualTimeline();

  private readonly random: SeededRandom;

  private readonly advice: RetryAdvice;

  private readonly upstreams: readonly ReplayedUpstream[];

  /** @param scenario - Services and calls. */
  public constructor(private readonly scenario: InnerCallScenario) {
    this.random = new SeededRandom(scenario.seed);
    this.advice = new RetryAdvice(this.random);
    this.upstreams = Object.entries(scenario.services).flatMap(([service, { slots, speeds }]) =>
      speeds.map((speed, index) => ({
        speed,
        upstream: createUpstream(service, `${service}-${index}`, ZONE, slots),
        admission: this.createAdmission(slots),
        balancer: this.createBalancer(),
      })),
    );
  }

  /**
   * Runs the replay.
   *
   * @returns What became of the calls of each route.
   */
  public async run(): Promise<ReadonlyMap<string, ReplayedCounts>> {
    const { kinds, runMs } = this.scenario;
    for (let ms = 0; ms < runMs; ms += 1) {
      for (const kind of kinds) {
        const { from, until, factor } = kind.burst ?? { from: 0, until: 0, factor: 1 };
        const rate = kind.perSecond * (ms >= from && ms < until ? factor : 1);
        const arrivals = Math.floor(rate / MS_PER_SECOND + this.fraction());
        for (let call = 0; call < arrivals; call += 1) void this.call(kind);
      }
      await this.timeline.advance();
    }
    return this.counts;
  }

  private createAdmission(slots: number): AdmissionController {
    const limits = { slots, queue: QUEUE_PER_SLOT * slots, warmUpMs: 0 };
    return new AdmissionController(limits, this.timeline.clock, 0, () => true);
  }

  private createBalancer(): Balancer {
    const { clock } = this.timeline;
    const silent = { log: () => undefined };
    const overflow = new ZoneOverflow(
      ZONE,
      { kilobyteMs: 1, roundTripMs: () => 2 * DELAY_MS },
      clock,
      silent,
    );
    const directory = {
      upstreams: (service: ServiceName) =>
        this.upstreams
          .map(({ upstream }) => upstream)
          .filter((upstream) => upstream.service === service),
    };
    const random = new SeededRandom(this.random.below(RANDOM_STEPS));
    const liveness = { isUnresponsive: () => false };
    return new ForecastBalancer(directory, liveness, ZONE, overflow, clock, random);
  }

  /** One call of an ordinary caller, which calls again if it is refused or fails. */
  private async call(kind: ReplayedKind): Promise<void> {
    const { clock } = this.timeline;
    const counts = this.countsOf(kind.name);
    const startedAt = clock.now();
    const deadline = startedAt + kind.deadlineMs;
    const { balancer } = this.upstreams[this.random.below(this.upstreams.length)]!;
    counts.calls += 1;
    for (let tries = 0; ; tries += 1) {
      const result = await this.attempt(kind, balancer, deadline, clock.now() + kind.objectiveMs);
      const elapsedMs = clock.now() - startedAt;
      if (result === 'answered') {
        if (elapsedMs <= kind.objectiveMs) counts.inTime += 1;
        else counts.late += 1;
        return;
      }
      const waitMs = result === 'failed' ? 0 : this.advice.delayWhenFullMs(result);
      const leftMs = deadline - clock.now();
      if (tries >= kind.retries || leftMs <= 0) {
        if (result === 'failed') counts.failed += 1;
        else counts.refused += 1;
        return;
      }
      await this.timeline.until(clock.now() + Math.min(waitMs, leftMs / 3));
    }
  }

  /** Offers a call to upstreams; returns after how many milliseconds to come again if it is refused. */
  private async attempt(
    kind: ReplayedKind,
    balancer: Balancer,
    deadline: number,
    objective: number,
  ): Promise<'answered' | 'failed' | number> {
    const { clock } = this.timeline;
    const route = kind.name as RouteName;
    const tried = new Set<DaemonId>();
    let retryAfterMs = 0;
    while (tried.size < MAX_OFFERS) {
      const upstream = balancer.choose({
        service: kind.service as ServiceName,
        route,
        slots: 1,
        objectiveMs: objective - clock.now(),
        exclude: tried,
      })!;
      tried.add(upstream.daemon);
      balancer.begin(upstream);
      const sentAt = clock.now();
      const target = this.upstreams.find((candidate) => candidate.upstream === upstream)!;
      await this.timeline.until(sentAt + DELAY_MS);
      try {
        const times = { deadline, objective, attempts: tried.size };
        const result = await this.offer(kind, target, times);
        const load = InnerCallReplay.loadOf(target, kind);
        await this.timeline.until(clock.now() + DELAY_MS);
        const latencyMs = clock.now() - sentAt;
        balancer.end(
          upstream,
          route,
          result === 'failed' ? { kind: 'failed' } : { kind: 'answered', latencyMs, load },
        );
        return result;
      } catch (error) {
        if (!(error instanceof NotRunError)) throw error;
        const load = InnerCallReplay.loadOf(target, kind);
        await this.timeline.until(clock.now() + DELAY_MS);
        balancer.end(upstream, route, { kind: 'refused', load });
        retryAfterMs = error.details.retryAfterMs ?? 0;
      }
    }
    return retryAfterMs;
  }

  private static loadOf(
    { admission }: ReplayedUpstream,
    { name, priority }: ReplayedKind,
  ): UpstreamLoad {
    const route = name as RouteName;
    return {
      ...admission.slotLoad,
      ahead: admission.callsAhead({ route, priority }),
      durationMs: admission.durationMs(route),
      failureShare: 0,
      lagMs: admission.silentMs,
      meanMs: admission.meanDurationMs,
      arrivals: undefined,
      relayed: undefined,
    };
  }

  private async offer(
    kind: ReplayedKind,
    { admission, speed, balancer }: ReplayedUpstream,
    times: { readonly deadline: number; readonly objective: number; readonly attempts: number },
  ): Promise<'answered' | 'failed'> {
    const { clock } = this.timeline;
    const { name, priority, inner } = kind;
    const request = { route: name as RouteName, priority, ...times };
    const release = await admission.acquire(request, new CancelController());
    await this.timeline.until(clock.now() + this.workMs(kind) / speed);
    let succeeded = clock.now() <= times.deadline;
    if (inner && this.fraction() < inner.share) {
      const calls = Array.from({ length: inner.times }, () => this.innerCall(inner.kind, balancer));
      succeeded = (await Promise.all(calls)).every(Boolean) && succeeded;
    }
    release();
    return succeeded ? 'answered' : 'failed';
  }

  private async innerCall(name: string, balancer: Balancer): Promise<boolean> {
    const { clock } = this.timeline;
    const kind = this.scenario.kinds.find((candidate) => candidate.name === name)!;
    const counts = this.countsOf(name);
    counts.calls += 1;
    const startedAt = clock.now();
    const deadline = startedAt + kind.deadlineMs;
    const answer = this.attempt(kind, balancer, deadline, startedAt + kind.objectiveMs);
    const result = await Promise.race([answer, this.timeline.until(deadline)]);
    if (result !== 'answered') counts.refused += 1;
    else if (clock.now() - startedAt <= kind.objectiveMs) counts.inTime += 1;
    else counts.late += 1;
    return result === 'answered';
  }

  private countsOf(name: string): ReplayedCounts {
    let counts = this.counts.get(name);
    if (!counts) {
      counts = { calls: 0, inTime: 0, late: 0, refused: 0, failed: 0 };
      this.counts.set(name, counts);
    }
    return counts;
  }

  /** Log-normally distributed work. */
  private workMs({ workMs, spread }: ReplayedKind): number {
    const variance = Math.log(1 + spread ** 2);
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.fraction())) * Math.cos(2 * Math.PI * this.fraction());
    return workMs * Math.exp(Math.sqrt(variance) * normal - variance / 2);
  }

  private fraction(): number {
    return this.random.below(RANDOM_STEPS) / RANDOM_STEPS;
  }
}
