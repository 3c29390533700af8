import SeededRandom from '../src/common/SeededRandom';
import type {
  DaemonId,
  Offset,
  RouteName,
  ServiceName,
  SoftwareVersion,
} from '../src/common/Types';
import Emitter from '../src/common/Emitter';
import LogUnavailableError from '../src/connection/LogUnavailableError';
import LogUnknownOutcomeError from '../src/connection/LogUnknownOutcomeError';
import type { Balancer, PlacementCriteria, Upstream } from '../src/request/Types';
import RolloutRecorder from '../src/rollout/RolloutRecorder';
import RolloutRouter from '../src/rollout/RolloutRouter';
import Rollouts from '../src/rollout/Rollouts';
import type { OrderReading, RolloutOrder, RolloutStore, StatusRecord } from '../src/rollout/Types';
import ManualClock from './ManualClock';

const SERVICE = 'stock' as ServiceName;
const ROUTE = 'stock' as RouteName;
const TICK_MS = 250;
const NOTHING = { dispose: () => undefined };

/** One daemon of the fleet. */
export interface RolloutDaemon {
  readonly id: DaemonId;
  readonly rollouts: Rollouts;
  readonly router: RolloutRouter;
  readonly dispose: () => void;
}

/**
 * Daemons with rollouts on a virtual clock, with a store, gossip along a ring and upstreams of two versions, all
 * without a network. One tick takes 250 ms.
 */
export default class RolloutFleet implements RolloutStore {
  public readonly clock = new ManualClock();

  /** Records that the daemons wrote. */
  public readonly records: StatusRecord[] = [];

  /** Whether the store rejects every request. */
  public isStoreDown = false;

  /** Whether the store loses its responses to appends, which it executes. */
  public losesAnswers = false;

  /** Daemons that reach only each other. */
  public cutOff = new Set<DaemonId>();

  public upstreams: readonly Upstream[] = [];

  /** Status of a response of a version. */
  public statusOf: (version: string, draw: number) => number = () => 200;

  /** Number of calls that each version got. */
  public readonly sent: Record<string, number> = {};

  public readonly lines: string[] = [];

  public readonly onOrders = new Emitter<readonly OrderReading[]>().event;

  public daemons: RolloutDaemon[] = [];

  private readonly random = new SeededRandom(1);

  private runs = 0;

  /**
   * @param size - Number of daemons.
   * @param callsPerTick - Calls that each daemon sends in a tick.
   */
  public constructor(
    size: number,
    private readonly callsPerTick = 3,
  ) {
    this.serve({ v1: 4, v2: 4 });
    for (let index = 0; index < size; index += 1) this.add(`coq-${index}` as DaemonId);
  }

  /** @param counts - Number of upstreams of each version that serve from now on. */
  public serve(counts: Readonly<Record<string, number>>): void {
    this.upstreams = Object.entries(counts).flatMap(([version, count]) =>
      Array.from({ length: count }, (_, index) => ({
        service: SERVICE,
        daemon: `${version}-${index}` as DaemonId,
        version: version as SoftwareVersion,
        slots: 8,
        servingSince: this.clock.now(),
      })),
    ) as unknown as Upstream[];
  }

  /** @param id - Daemon that starts and knows nothing. */
  public add(id: DaemonId): RolloutDaemon {
    this.runs += 1;
    const reachesStore = () => !this.isStoreDown && !this.cutOff.has(id);
    const log = {
      log: (message: string, fields: object = {}) => {
        this.lines.push(`${id} ${message} ${JSON.stringify(fields)}`);
      },
    };
    const rollouts = new Rollouts({
      daemon: id,
      run: this.runs,
      limits: () => ({ share: 0.1, slack: 50 }),
      upstreams: () => this.upstreams,
      members: () => this.daemons.map((daemon) => daemon.id),
      isStoreCurrent: reachesStore,
      hasStore: true,
      clock: this.clock,
      logger: log,
    });
    const store: RolloutStore = {
      onOrders: this.onOrders,
      readStatus: async () => {
        if (!reachesStore()) throw new LogUnavailableError('down');
        return this.readStatus();
      },
      appendStatus: async (record, end) => {
        if (!reachesStore()) throw new LogUnavailableError('down');
        return this.appendStatus(record, end);
      },
    };
    const reachable = () => this.daemons.map((daemon) => daemon.id);
    const recorder = new RolloutRecorder(
      rollouts,
      store,
      id,
      reachable,
      this.clock,
      this.random,
      log,
    );
    const choose = ({ exclude }: PlacementCriteria) => {
      const pool = this.upstreams.filter(({ daemon }) => !exclude.has(daemon));
      return pool[pool.length > 0 ? this.random.below(pool.length) : 0];
    };
    const balancer = { ...NOTHING, choose, begin: () => undefined, end: () => undefined };
    const router = new RolloutRouter(
      balancer as unknown as Balancer,
      rollouts,
      () => this.upstreams,
      () => undefined,
      this.clock,
      this.random,
    );
    const dispose = () => {
      recorder.dispose();
      rollouts.dispose();
    };
    const daemon = { id, rollouts, router, dispose };
    this.daemons.push(daemon);
    return daemon;
  }

  /** @param id - Daemon whose process ends. */
  public remove(id: DaemonId): void {
    this.daemons.find((daemon) => daemon.id === id)?.dispose();
    this.daemons = this.daemons.filter((daemon) => daemon.id !== id);
  }

  /**
   * Gives an order to the first daemon, which reads the store.
   *
   * @param version - Version to move to.
   * @param durationMs - Time for it, in milliseconds.
   * @param number - Offset of the record.
   */
  public order(version: string, durationMs: number, number = 1): RolloutOrder {
    const order = { service: SERVICE, version: version as SoftwareVersion, durationMs, number };
    this.daemons[0]!.rollouts.order(order, true);
    return order;
  }

  /** @param ms - Time to let pass: calls, gossip, decisions and requests to the store. */
  public async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.clock.advance(TICK_MS);
      for (const { rollouts, router } of this.daemons) {
        for (let call = 0; call < this.callsPerTick; call += 1) this.call(rollouts, router);
      }
      this.gossip();
      for (const { rollouts } of this.daemons) rollouts.tick();
      await new Promise(setImmediate);
    }
  }

  /** Ends all daemons. */
  public dispose(): void {
    for (const { dispose } of this.daemons) dispose();
  }

  public async readStatus() {
    const byService = new Map(this.records.map((record) => [record.service, record]));
    return { records: [...byService.values()], end: this.records.length as Offset };
  }

  public async appendStatus(record: Omit<StatusRecord, 'offset'>, end: Offset): Promise<boolean> {
    if (end !== this.records.length) return false;
    this.records.push({ ...record, offset: end });
    if (this.losesAnswers) throw new LogUnknownOutcomeError('no response');
    return true;
  }

  /** States and versions of the records, in order. */
  public get history(): string {
    return this.records.map(({ state, version }) => `${state} ${version}`).join(', ');
  }

  private call(rollouts: Rollouts, router: RolloutRouter): void {
    const criteria = { service: SERVICE, route: ROUTE, slots: 8, objectiveMs: 100 };
    const upstream = router.choose({ ...criteria, exclude: new Set() });
    const version = upstream?.version ?? 'none';
    this.sent[version] = (this.sent[version] ?? 0) + 1;
    if (!upstream) return;
    router.begin(upstream);
    const status = this.statusOf(version, this.random.below(1_000) / 1_000);
    const elapsedMs = 20 + this.random.below(20);
    router.end(upstream, ROUTE, { kind: 'answered', latencyMs: elapsedMs });
    rollouts.record(upstream, ROUTE, { status, isCancelled: false, isNotRun: false, elapsedMs });
  }

  /** Each daemon exchanges news with its next two neighbours on a ring. */
  private gossip(): void {
    const { daemons, cutOff } = this;
    for (const [index, daemon] of daemons.entries()) {
      for (const step of [1, 2]) {
        const peer = daemons[(index + step) % daemons.length]!;
        if (peer === daemon || cutOff.has(peer.id) !== cutOff.has(daemon.id)) continue;
        const news = daemon.rollouts.collect(peer.id);
        if (news) peer.rollouts.receive(news, daemon.id);
        const reply = peer.rollouts.collect(daemon.id);
        if (reply) daemon.rollouts.receive(reply, peer.id);
      }
    }
  }
}
