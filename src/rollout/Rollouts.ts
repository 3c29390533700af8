import Emitter from '../common/Emitter';
import type {
  Clock,
  DaemonId,
  Disposable,
  Logger,
  RouteName,
  ServiceName,
  SoftwareVersion,
} from '../common/Types';
import type { AttemptEnd, Upstream } from '../request/Types';
import Rollout, { type RolloutState, type RolloutSurroundings } from './Rollout';
import RolloutSchedule from './RolloutSchedule';
import rolloutSchema from './rolloutSchema';
import type {
  EvidenceEntry,
  RolloutHead,
  RolloutLimits,
  RolloutMessage,
  RolloutOrder,
  StatusRecord,
} from './Types';
import VersionComparison from './VersionComparison';

/** Interval at which evidence is evaluated and news are passed on, in milliseconds. */
const TICK_MS = 250;
/** Shortest interval of a daemon's reports while a rollout runs and nothing is urgent, in milliseconds. */
const REPORT_INTERVAL_MS = 1_500;
/** Additional interval of the reports for each member, so that large fleets send no more in all. */
const REPORT_INTERVAL_PER_MEMBER_MS = 25;
/** Number of report intervals after which a daemon counts as out of reach. */
const REPORTS_BEFORE_LOSS = 3;
/** Maximum number of services whose rollouts are tracked. */
const MAX_SERVICES = 64;

/** What the rollouts of a daemon depend on. */
export interface RolloutsDependencies {
  readonly daemon: DaemonId;
  /** Random number of this run of the daemon. */
  readonly run: number;
  readonly limits: () => RolloutLimits;
  readonly upstreams: (service: ServiceName) => readonly Upstream[];
  /** Ids of the daemons that are known and haven't left, including this one. */
  readonly members: () => readonly DaemonId[];
  readonly isStoreCurrent: () => boolean;
  readonly hasStore: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What a peer is known to have of one rollout. */
interface PeerKnowledge {
  number: number;
  revision: number;
  readonly sequences: Map<string, number>;
}

/**
 * All rollouts that this daemon knows, one for each service: orders replace older ones, news are merged from
 * peers and collected for them. Nothing is sent and no timer runs while no rollout runs.
 */
export default class Rollouts implements Disposable {
  private readonly rollouts = new Map<ServiceName, Rollout>();

  private readonly known = new Map<DaemonId, Map<ServiceName, PeerKnowledge>>();

  /** Open calls of this daemon, by service and version. */
  private readonly openCalls = new Map<string, number>();

  private readonly newsEmitter = new Emitter<void>();

  private readonly tickEmitter = new Emitter<void>();

  private readonly comparison = new VersionComparison();

  private readonly schedule: RolloutSchedule;

  private timer: NodeJS.Timeout | undefined;

  private reportedAt = -Infinity;

  private isReportUrgent = false;

  private hasNews = false;

  /** Fires when there is news for peers. */
  public readonly onNews = this.newsEmitter.event;

  /** Fires several times a second while a rollout runs. */
  public readonly onTick = this.tickEmitter.event;

  /** @param dependencies - Members, upstreams, limits and the clock. */
  public constructor(private readonly dependencies: RolloutsDependencies) {
    this.schedule = new RolloutSchedule(dependencies.limits);
  }

  /** @param service - Name of a service. */
  public get(service: ServiceName): Rollout | undefined {
    return this.rollouts.get(service);
  }

  /** All rollouts, including those that have ended. */
  public get all(): readonly Rollout[] {
    return [...this.rollouts.values()];
  }

  /** State of all rollouts, for operators. */
  public get states(): readonly RolloutState[] {
    return this.all.map(({ state }) => state);
  }

  public get surroundings(): Omit<RolloutSurroundings, 'upstreams'> {
    const { members, isStoreCurrent, hasStore } = this.dependencies;
    return {
      members: members(),
      reportTimeoutMs: REPORTS_BEFORE_LOSS * this.reportIntervalMs,
      openElsewhere: (service, version) => this.openElsewhere(service, version),
      isStoreCurrent: isStoreCurrent(),
      hasStore,
    };
  }

  /**
   * Accepts an order that was read from the store or the configuration.
   *
   * @param order - The order.
   * @param isNew - Whether it was just given; its age is unknown otherwise.
   */
  public order(order: RolloutOrder, isNew: boolean): void {
    const rollout = this.replace(order, 0, isNew, undefined);
    if (!rollout) return;
    this.dependencies.logger.log('A rollout was ordered.', {
      service: order.service,
      target: order.version,
      number: order.number,
      durationMs: order.durationMs,
      isNew,
    });
    this.hasNews = true;
    this.tick();
  }

  /** @param record - Newest record of a service in the store. */
  public applyStatus(record: StatusRecord): void {
    const rollout = this.rollouts.get(record.service);
    if (!rollout) return;
    const before = rollout.revision;
    rollout.applyStatus(record);
    if (rollout.revision !== before) this.announce();
  }

  /** Passes changed decisions on to the peers. */
  public announce(): void {
    this.hasNews = false;
    this.newsEmitter.fire();
  }

  /** @param upstream - Where a call is about to be sent. */
  public begin({ service, version = '' as SoftwareVersion }: Upstream): void {
    const key = `${service} ${version}`;
    this.openCalls.set(key, (this.openCalls.get(key) ?? 0) + 1);
  }

  /** @param upstream - Where a call has ended. */
  public end({ service, version = '' as SoftwareVersion }: Upstream): void {
    const key = `${service} ${version}`;
    const open = (this.openCalls.get(key) ?? 1) - 1;
    if (open === 0) this.openCalls.delete(key);
    else this.openCalls.set(key, open);
  }

  /**
   * Counts how an attempt ended.
   *
   * @param upstream - Where it was sent.
   * @param route - Route of the call.
   * @param end - How it ended.
   */
  public readonly record = (upstream: Upstream, route: RouteName, end: AttemptEnd): void => {
    const rollout = this.rollouts.get(upstream.service);
    if (!rollout?.isRunning || rollout.isBarred(upstream.version)) return;
    if (rollout.record(rollout.sideOf(upstream.version), route, end)) this.isReportUrgent = true;
  };

  /**
   * @param peer - Receiver of the next message.
   * @returns News that the receiver lacks, to be sent with that message; `undefined` if there are none.
   */
  public collect(peer: DaemonId): readonly RolloutMessage[] | undefined {
    const messages = this.all.flatMap((rollout) => this.newsFor(peer, rollout) ?? []);
    return messages.length > 0 ? messages : undefined;
  }

  /**
   * @param peer - A peer.
   * @returns Whether {@link Rollouts.collect} would return news.
   */
  public hasNewsFor(peer: DaemonId): boolean {
    return this.all.some((rollout) => {
      const { revision, sequences } = this.knowledgeOf(peer, rollout);
      if (revision !== rollout.revision) return true;
      for (const [key, { entry }] of rollout.evidence.list) {
        if ((sequences.get(key) ?? 0) < entry.sequence) return true;
      }
      return false;
    });
  }

  /** What is decided about all rollouts, for a daemon that starts; `undefined` if there are none. */
  public get heads(): readonly RolloutMessage[] | undefined {
    if (this.rollouts.size === 0) return undefined;
    return this.all.map(({ order: { service, version, number }, head }) => ({
      service,
      version,
      number,
      head,
      routes: [],
      entries: [],
    }));
  }

  /** @param peer - Peer whose connection is new, so that what was sent on the old one may be lost. */
  public forget(peer: DaemonId): void {
    this.known.delete(peer);
  }

  /**
   * Merges news from a peer. Each message is validated by itself.
   *
   * @param messages - The news, not validated yet.
   * @param source - Id of the sender.
   */
  public receive(messages: readonly unknown[], source: DaemonId): void {
    let isUrgent = false;
    for (const received of messages) {
      const result = rolloutSchema.safeParse(received);
      if (!result.success) {
        const { path, message: reason } = result.error.issues[0]!;
        this.dependencies.logger.log('Ignored news of a rollout that failed validation.', {
          peer: source,
          key: path.join('.'),
          reason,
        });
      } else if (this.merge(result.data, source)) isUrgent = true;
    }
    if (isUrgent) this.announce();
    if (this.all.some(({ isRunning }) => isRunning)) this.startTimer();
  }

  public dispose(): void {
    clearInterval(this.timer);
    this.newsEmitter.dispose();
    this.tickEmitter.dispose();
  }

  /** Evaluates the evidence of all rollouts that run; called several times a second while there are any. */
  public tick(): void {
    const running = this.all.filter(({ isRunning }) => isRunning);
    if (running.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    this.startTimer();
    let isUrgent = false;
    const { surroundings, isReportUrgent } = this;
    for (const rollout of running) {
      const { revision } = rollout;
      const upstreams = this.dependencies.upstreams(rollout.order.service);
      if (rollout.advance({ ...surroundings, upstreams })) this.isReportUrgent = true;
      const due = surroundings.hasStore
        ? undefined
        : rollout.dueRecord({ ...surroundings, upstreams });
      if (due && due !== 'running') rollout.settle(due, 'own decision');
      if (rollout.revision !== revision) isUrgent = true;
    }
    const now = this.dependencies.clock.now();
    if (this.isReportUrgent || now - this.reportedAt >= this.reportIntervalMs) this.report(running);
    this.tickEmitter.fire();
    if (isUrgent || this.hasNews || isReportUrgent) this.announce();
  }

  private openElsewhere(service: ServiceName, version: SoftwareVersion): number {
    let sum = 0;
    for (const [key, count] of this.openCalls) {
      if (key.startsWith(`${service} `) && key !== `${service} ${version}`) sum += count;
    }
    return sum;
  }

  private get reportIntervalMs(): number {
    return REPORT_INTERVAL_MS + REPORT_INTERVAL_PER_MEMBER_MS * this.dependencies.members().length;
  }

  private startTimer(): void {
    this.timer ??= setInterval(() => this.tick(), TICK_MS).unref();
  }

  private report(running: readonly Rollout[]): void {
    const { daemon, run, clock } = this.dependencies;
    for (const rollout of running.filter(({ isRunning }) => isRunning)) {
      rollout.evidence.report(daemon, run, rollout.reportedStep);
    }
    this.reportedAt = clock.now();
    this.isReportUrgent = false;
    this.hasNews = true;
  }

  /**
   * Whether an order replaces the known one. The same one of unknown age doesn't: a daemon that starts may
   * find it in a later version of the configuration, or in a store that was restored from a copy.
   */
  private static isNewer(order: RolloutOrder, isAgeKnown: boolean, previous: Rollout): boolean {
    const { version, durationMs, number } = previous.order;
    const isSame = version === order.version && durationMs === order.durationMs;
    if (isSame && isAgeKnown !== previous.hasKnownAge && number !== order.number) return isAgeKnown;
    return order.number > number && (isAgeKnown || !isSame);
  }

  /** Creates the rollout of an order unless it is known or older than the known one. */
  private replace(
    order: RolloutOrder,
    ageMs: number,
    isAgeKnown: boolean,
    peerBarred: readonly SoftwareVersion[] | undefined,
  ): Rollout | undefined {
    const previous = this.rollouts.get(order.service);
    if (previous && !Rollouts.isNewer(order, isAgeKnown, previous)) return undefined;
    if (!previous && this.rollouts.size >= MAX_SERVICES) return undefined;
    const barred = new Set([...(previous?.barred ?? []), ...(peerBarred ?? [])]);
    if (previous && previous.verdict !== 'completed') barred.add(previous.order.version);
    barred.delete(order.version);
    const { clock, logger } = this.dependencies;
    const rollout = new Rollout(
      order,
      ageMs,
      isAgeKnown,
      [...barred],
      this.comparison,
      this.schedule,
      clock,
      logger,
    );
    this.rollouts.set(order.service, rollout);
    return rollout;
  }

  /** @returns Whether a decision changed, which is to be passed on at once. */
  private merge({ head, routes, entries, ...id }: RolloutMessage, source: DaemonId): boolean {
    let rollout = this.rollouts.get(id.service);
    let isNew = false;
    if (head && rollout?.order.number !== id.number) {
      const created = this.createFrom(id, head);
      isNew = created !== undefined;
      rollout = created ?? rollout;
    }
    if (!rollout) return false;
    if (rollout.order.number !== id.number) return false;
    const knowledge = this.knowledgeOf(source, rollout);
    const before = rollout.revision;
    if (head) rollout.mergeHead(head);
    for (const entry of entries) {
      const key = `${entry.daemon} ${entry.run}`;
      knowledge.sequences.set(key, Math.max(entry.sequence, knowledge.sequences.get(key) ?? 0));
      if (rollout.isRunning && rollout.evidence.merge(routes, entry)) this.hasNews = true;
    }
    return isNew || rollout.revision !== before;
  }

  private createFrom(
    { service, version, number }: Pick<RolloutMessage, 'service' | 'version' | 'number'>,
    head: RolloutHead,
  ): Rollout | undefined {
    const order = { service, version, number, durationMs: head.durationMs };
    return this.replace(order, head.ageMs, head.isAgeKnown, head.barred);
  }

  private newsFor(peer: DaemonId, rollout: Rollout): RolloutMessage | undefined {
    const knowledge = this.knowledgeOf(peer, rollout);
    const isHeadNews = knowledge.revision !== rollout.revision;
    const routes: string[] = [];
    const entries = this.entriesFor(knowledge, rollout, routes);
    if (!isHeadNews && entries.length === 0) return undefined;
    knowledge.revision = rollout.revision;
    const { service, version, number } = rollout.order;
    const head = isHeadNews ? rollout.head : undefined;
    return { service, version, number, ...(head && { head }), routes, entries };
  }

  /** Entries that the peer lacks, their route indexes changed to those of the message. */
  private entriesFor(
    { sequences }: PeerKnowledge,
    rollout: Rollout,
    messageRoutes: string[],
  ): EvidenceEntry[] {
    const entries: EvidenceEntry[] = [];
    for (const [key, { entry, routes }] of rollout.evidence.list) {
      if ((sequences.get(key) ?? 0) >= entry.sequence) continue;
      sequences.set(key, entry.sequence);
      entries.push({ ...entry, cells: Rollouts.reindex(entry.cells, routes, messageRoutes) });
    }
    return entries;
  }

  private static reindex(
    cells: readonly number[],
    routes: readonly string[],
    messageRoutes: string[],
  ): number[] {
    const reindexed = [...cells];
    for (let at = 0; at < cells.length; at += 5 + cells[at + 4]!) {
      const route = routes[Math.floor(cells[at]! / 2)]!;
      let index = messageRoutes.indexOf(route);
      if (index < 0) index = messageRoutes.push(route) - 1;
      reindexed[at] = index * 2 + (cells[at]! % 2);
    }
    return reindexed;
  }

  private knowledgeOf(peer: DaemonId, { order }: Rollout): PeerKnowledge {
    let services = this.known.get(peer);
    if (!services) {
      services = new Map();
      this.known.set(peer, services);
    }
    let knowledge = services.get(order.service);
    if (knowledge?.number !== order.number) {
      knowledge = { number: order.number, revision: -1, sequences: new Map() };
      services.set(order.service, knowledge);
    }
    return knowledge;
  }
}
