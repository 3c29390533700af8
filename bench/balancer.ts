/**
 * Choice among four upstreams of which one is slow, one cold and one lying (it reports no load and
 * answers a share of its calls with failures), by virtual time: the forecast, round robin and plain
 * least in flight see the same arrivals. Deterministic; the machine's noise has no part in it.
 * Usage: `balancer.ts [SEED]`.
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
const CALLERS = 6;
const SLOTS = 18;
const WORK_MS = 10;
const SLOW_FACTOR = 8;
const COLD_FACTOR = 4;
const COLD_MS = 10_000;
const LYING_FAILURES = 0.3;
const US_PER_MS = 1_000;
const PARTS = 1_000_000;

const SERVICE: Service = {
  name: 'stock' as ServiceName,
  slots: SLOTS,
  connections: 120,
  queue: 10_000,
  warmUpMs: COLD_MS,
  health: undefined,
};

const ROUTE = 'lookup' as RouteName;
const PLACEMENT: PlacementCriteria = {
  service: SERVICE.name,
  route: ROUTE,
  slots: SLOTS,
  objectiveMs: 10 * WORK_MS,
  exclude: new Set(),
};

type Kind = 'sound' | 'slow' | 'cold' | 'lying';

/** A server with slots and a first-come queue, in virtual time. */
class Server {
  public running = 0;

  private readonly queue: (() => void)[] = [];

  public constructor(public readonly kind: Kind) {}

  public run(begin: () => void): void {
    if (this.running < SLOTS) {
      this.running += 1;
      begin();
    } else {
      this.queue.push(begin);
    }
  }

  public finish(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.running -= 1;
  }

  /** A lying server tells of no load and no failures. */
  public get load(): UpstreamLoad {
    const lies = this.kind === 'lying';
    return {
      running: lies ? 0 : this.running,
      waiting: lies ? 0 : this.queue.length,
      slots: SLOTS,
      waitMs: lies ? 0 : (this.queue.length * WORK_MS) / SLOTS,
      durationMs: undefined,
      failureShare: 0,
      lagMs: 0,
    };
  }

  public workMs(now: number, random: Random): number {
    const factor =
      (this.kind === 'slow' ? SLOW_FACTOR : 1) *
      (this.kind === 'cold' && now < COLD_MS ? COLD_FACTOR : 1);
    return -Math.log(1 - random.below(PARTS) / PARTS) * WORK_MS * factor;
  }
}

/** What takes turns, and what counts only its own open calls. */
class PlainBalancer implements Balancer {
  private readonly inFlight = new Map<DaemonId, number>();

  private turn = 0;

  public constructor(
    private readonly upstreams: readonly Upstream[],
    private readonly byLoad: boolean,
  ) {}

  public choose(): Upstream {
    this.turn += 1;
    const open = ({ daemon }: Upstream) => this.inFlight.get(daemon) ?? 0;
    const offset = this.turn % this.upstreams.length;
    const turned = [...this.upstreams.slice(offset), ...this.upstreams.slice(0, offset)];
    return this.byLoad
      ? turned.reduce((least, other) => (open(other) < open(least) ? other : least))
      : turned[0]!;
  }

  public begin({ daemon }: Upstream): void {
    this.inFlight.set(daemon, (this.inFlight.get(daemon) ?? 0) + 1);
  }

  public end({ daemon }: Upstream): void {
    this.inFlight.set(daemon, this.inFlight.get(daemon)! - 1);
  }

  public latencyMs(): number {
    return WORK_MS;
  }

  public reportedLoad(): ReportedLoad | undefined {
    return undefined;
  }
}

interface Moment {
  readonly at: number;
  readonly happen: () => void;
}

function play(
  name: string,
  rate: number,
  create: (clock: ManualClock, random: Random, upstreams: Upstream[]) => Balancer,
) {
  const clock = new ManualClock();
  const random = new SeededRandom(SEED);
  const kinds: Kind[] = ['sound', 'slow', 'cold', 'lying'];
  const servers = new Map(kinds.map((kind) => [kind as string as DaemonId, new Server(kind)]));
  const upstreams = kinds.map((kind): Upstream => ({
    service: SERVICE.name,
    daemon: kind as string as DaemonId,
    incarnation: 1 as Incarnation,
    address: kind as string as Address,
    zone: 'coq' as ZoneName,
    suspect: false,
    healthHint: true,
    servingSince: kind === 'cold' ? 0 : -COLD_MS,
    slots: undefined,
  }));
  const balancers = Array.from({ length: CALLERS }, () => create(clock, random, upstreams));
  const histogram = buildHistogram();
  const moments: Moment[] = [];
  let failed = 0;
  const at = (time: number, happen: () => void) => {
    let index = moments.length;
    while (index > 0 && moments[index - 1]!.at < time) index -= 1;
    moments.splice(index, 0, { at: time, happen });
  };
  const call = (balancer: Balancer) => {
    const upstream = balancer.choose(PLACEMENT)!;
    const server = servers.get(upstream.daemon)!;
    const began = clock.now();
    balancer.begin(upstream);
    const end = (result: AttemptResult) => {
      server.finish();
      balancer.end(upstream, ROUTE, result);
    };
    server.run(() => {
      const fails = server.kind === 'lying' && random.below(PARTS) < LYING_FAILURES * PARTS;
      const workMs = fails ? 1 : server.workMs(clock.now(), random);
      at(clock.now() + workMs, () => {
        if (fails) {
          failed += 1;
          end({ kind: 'failed' });
          return;
        }
        const latencyMs = clock.now() - began;
        histogram.recordValue(Math.round(latencyMs * US_PER_MS));
        end({ kind: 'answered', latencyMs, load: server.load });
      });
    });
  };
  let arrival = 0;
  for (let index = 0; index < CALLS; index += 1) {
    arrival += (-Math.log(1 - random.below(PARTS) / PARTS) * US_PER_MS) / rate;
    const due = arrival;
    const balancer = balancers[index % CALLERS]!;
    moments.push({ at: due, happen: () => call(balancer) });
  }
  moments.reverse();
  for (let next = moments.pop(); next; next = moments.pop()) {
    clock.advance(next.at - clock.now());
    next.happen();
  }
  const ms = (percentile: number) => histogram.getValueAtPercentile(percentile) / US_PER_MS;
  const goodput = Math.round((histogram.totalCount * US_PER_MS) / clock.now());
  return {
    name,
    rate,
    p50: ms(50),
    p99: ms(99),
    p999: ms(99.9),
    goodput,
    failedPercent: (failed * 100) / CALLS,
  };
}

const capacity = (4 * SLOTS * US_PER_MS) / WORK_MS;
const results = [0.3, 0.6].flatMap((share) => [
  play(
    'forecast',
    share * capacity,
    (clock, random, upstreams) =>
      new ForecastBalancer(
        { upstreams: () => upstreams },
        { isUnresponsive: () => false },
        'coq' as ZoneName,
        clock,
        random,
      ),
  ),
  play(
    'round robin',
    share * capacity,
    (_clock, _random, upstreams) => new PlainBalancer(upstreams, false),
  ),
  play(
    'least in flight',
    share * capacity,
    (_clock, _random, upstreams) => new PlainBalancer(upstreams, true),
  ),
]);
console.table(results);
mkdirSync('bench/results', { recursive: true });
writeFileSync(`bench/results/balancer-${SEED}.json`, `${JSON.stringify(results, undefined, 1)}\n`);
