/**
 * Simulates load balancing over four upstreams in virtual time: one healthy, one slow, one warming up
 * and one lying (it reports no load and fails a part of its calls). The forecasting balancer, round
 * robin and least in flight get the same arrivals. Deterministic: real time has no influence.
 * Usage: `balancer.ts [SEED]`; the raw results go to `bench/results/`.
 *
 * @packageDocumentation
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { build as buildHistogram } from 'hdr-histogram-js';
import SeededRandom from '../src/common/SeededRandom';
import type {
  Address,
  DaemonId,
  Incarnation,
  Random,
  RouteName,
  ServiceName,
  ZoneName,
} from '../src/common/Types';
import ForecastBalancer from '../src/request/ForecastBalancer';
import ZoneOverflow from '../src/request/ZoneOverflow';
import type {
  AttemptResult,
  Balancer,
  ReportedLoad,
  PlacementCriteria,
  Upstream,
  UpstreamLoad,
} from '../src/request/Types';
import type { Service } from '../src/version/Types';
import ManualClock from '../stand-in/ManualClock';

const SEED = Number(process.argv[2] ?? 7);
const CALLS = 60_000;
const CALLING_DAEMONS = 6;
const SLOTS = 18;
/** Mean time that a call takes; exponentially distributed. */
const MEAN_WORK_MS = 10;
const SLOW_FACTOR = 8;
const COLD_FACTOR = 4;
/** How long the cold (warming up) upstream is slow after its start. */
const WARM_UP_MS = 10_000;
/** Share of its calls that the lying upstream, which reports neither load nor failures, fails. */
const LYING_FAILURE_RATIO = 0.3;
const US_PER_MS = 1_000;
/** Number of distinct values of a random fraction between 0 and 1. */
const RANDOM_STEPS = 1_000_000;

const SERVICE: Service = {
  name: 'stock' as ServiceName,
  slots: SLOTS,
  connections: 120,
  queue: 10_000,
  warmUpMs: WARM_UP_MS,
  health: undefined,
};

const ROUTE = 'lookup' as RouteName;
const PLACEMENT: PlacementCriteria = {
  service: SERVICE.name,
  route: ROUTE,
  slots: SLOTS,
  objectiveMs: 10 * MEAN_WORK_MS,
  exclude: new Set(),
};

const ZONE_COSTS = { kilobyteMs: 1, roundTripMs: () => undefined };

type UpstreamKind = 'sound' | 'slow' | 'cold' | 'lying';

/** An upstream with concurrency slots and a FIFO queue, in virtual time. */
class SimulatedUpstream {
  public running = 0;

  private readonly queue: (() => void)[] = [];

  public constructor(public readonly kind: UpstreamKind) {}

  public run(startCall: () => void): void {
    if (this.running < SLOTS) {
      this.running += 1;
      startCall();
    } else {
      this.queue.push(startCall);
    }
  }

  public finish(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.running -= 1;
  }

  /** Load as the upstream reports it; a lying one reports neither load nor failures. */
  public get load(): UpstreamLoad {
    const lies = this.kind === 'lying';
    return {
      running: lies ? 0 : this.running,
      waiting: lies ? 0 : this.queue.length,
      slots: SLOTS,
      waitMs: lies ? 0 : (this.queue.length * MEAN_WORK_MS) / SLOTS,
      durationMs: undefined,
      failureShare: 0,
      lagMs: 0,
    };
  }

  public workMs(now: number, random: Random): number {
    const factor =
      (this.kind === 'slow' ? SLOW_FACTOR : 1) *
      (this.kind === 'cold' && now < WARM_UP_MS ? COLD_FACTOR : 1);
    return -Math.log(1 - random.below(RANDOM_STEPS) / RANDOM_STEPS) * MEAN_WORK_MS * factor;
  }
}

/**
 * Baseline balancer for comparison: round robin, or the upstream with the least calls in flight
 * from this daemon.
 */
class BaselineBalancer implements Balancer {
  private readonly inFlight = new Map<DaemonId, number>();

  private choices = 0;

  public constructor(
    private readonly upstreams: readonly Upstream[],
    private readonly leastInFlight: boolean,
  ) {}

  public choose(): Upstream {
    this.choices += 1;
    const inFlight = ({ daemon }: Upstream) => this.inFlight.get(daemon) ?? 0;
    const offset = this.choices % this.upstreams.length;
    const rotated = [...this.upstreams.slice(offset), ...this.upstreams.slice(0, offset)];
    return this.leastInFlight
      ? rotated.reduce((least, other) => (inFlight(other) < inFlight(least) ? other : least))
      : rotated[0]!;
  }

  public begin({ daemon }: Upstream): void {
    this.inFlight.set(daemon, (this.inFlight.get(daemon) ?? 0) + 1);
  }

  public end({ daemon }: Upstream): void {
    this.inFlight.set(daemon, this.inFlight.get(daemon)! - 1);
  }

  public latencyMs(): number {
    return MEAN_WORK_MS;
  }

  public reportedLoad(): ReportedLoad | undefined {
    return undefined;
  }
}

/** An event of the simulation, at a virtual time in milliseconds. */
interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Runs one balancer at an arrival rate in calls per second. */
function simulate(
  name: string,
  rate: number,
  createBalancer: (clock: ManualClock, random: Random, upstreams: Upstream[]) => Balancer,
) {
  const clock = new ManualClock();
  const random = new SeededRandom(SEED);
  const kinds: UpstreamKind[] = ['sound', 'slow', 'cold', 'lying'];
  const simulatedUpstreams = new Map(
    kinds.map((kind) => [kind as string as DaemonId, new SimulatedUpstream(kind)]),
  );
  const upstreams = kinds.map((kind): Upstream => ({
    service: SERVICE.name,
    daemon: kind as string as DaemonId,
    incarnation: 1 as Incarnation,
    address: kind as string as Address,
    zone: 'coq' as ZoneName,
    suspect: false,
    healthHint: true,
    servingSince: kind === 'cold' ? 0 : -WARM_UP_MS,
    slots: undefined,
  }));
  const balancers = Array.from({ length: CALLING_DAEMONS }, () =>
    createBalancer(clock, random, upstreams),
  );
  const histogram = buildHistogram();
  // Pending events by descending time: the next event is the last in the list.
  const events: ScheduledEvent[] = [];
  let failed = 0;
  const schedule = (time: number, run: () => void) => {
    let index = events.length;
    while (index > 0 && events[index - 1]!.at < time) index -= 1;
    events.splice(index, 0, { at: time, run });
  };
  const call = (balancer: Balancer) => {
    const upstream = balancer.choose(PLACEMENT)!;
    const server = simulatedUpstreams.get(upstream.daemon)!;
    const startedAt = clock.now();
    balancer.begin(upstream);
    const end = (result: AttemptResult) => {
      server.finish();
      balancer.end(upstream, ROUTE, result);
    };
    server.run(() => {
      const fails =
        server.kind === 'lying' && random.below(RANDOM_STEPS) < LYING_FAILURE_RATIO * RANDOM_STEPS;
      const workMs = fails ? 1 : server.workMs(clock.now(), random);
      schedule(clock.now() + workMs, () => {
        if (fails) {
          failed += 1;
          end({ kind: 'failed' });
          return;
        }
        const latencyMs = clock.now() - startedAt;
        histogram.recordValue(Math.round(latencyMs * US_PER_MS));
        end({ kind: 'answered', latencyMs, load: server.load });
      });
    });
  };
  // Calls arrive as a Poisson process.
  let nextArrival = 0;
  for (let index = 0; index < CALLS; index += 1) {
    nextArrival += (-Math.log(1 - random.below(RANDOM_STEPS) / RANDOM_STEPS) * US_PER_MS) / rate;
    const arrivalTime = nextArrival;
    const balancer = balancers[index % CALLING_DAEMONS]!;
    events.push({ at: arrivalTime, run: () => call(balancer) });
  }
  events.reverse();
  for (let next = events.pop(); next; next = events.pop()) {
    clock.advance(next.at - clock.now());
    next.run();
  }
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS;
  const goodput = Math.round((histogram.totalCount * US_PER_MS) / clock.now());
  return {
    name,
    rate,
    p50: percentileMs(50),
    p99: percentileMs(99),
    p999: percentileMs(99.9),
    goodput,
    failedPercent: (failed * 100) / CALLS,
  };
}

/** Calls per second that four upstreams can run if all are healthy. */
const capacityPerSecond = (4 * SLOTS * US_PER_MS) / MEAN_WORK_MS;
const results = [0.3, 0.6].flatMap((loadFactor) => [
  simulate(
    'forecast',
    loadFactor * capacityPerSecond,
    (clock, random, upstreams) =>
      new ForecastBalancer(
        { upstreams: () => upstreams },
        { isUnresponsive: () => false },
        'coq' as ZoneName,
        new ZoneOverflow('coq' as ZoneName, ZONE_COSTS, clock, { log: () => undefined }),
        clock,
        random,
      ),
  ),
  simulate(
    'round robin',
    loadFactor * capacityPerSecond,
    (_clock, _random, upstreams) => new BaselineBalancer(upstreams, false),
  ),
  simulate(
    'least in flight',
    loadFactor * capacityPerSecond,
    (_clock, _random, upstreams) => new BaselineBalancer(upstreams, true),
  ),
]);
console.table(results);
mkdirSync('bench/results', { recursive: true });
writeFileSync(`bench/results/balancer-${SEED}.json`, `${JSON.stringify(results, undefined, 1)}\n`);
