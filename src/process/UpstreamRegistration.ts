import type { Clock, Disposable, InstanceId, Logger, ServiceName } from '../common/Types';
import type MemberTable from '../connection/MemberTable';
import type { UpstreamState, Withdrawal } from '../connection/Types';
import type { UpstreamLimits } from '../request/AdmissionController';
import type AttemptRegistry from '../request/AttemptRegistry';
import LocalUpstream, { type SlotCounts } from '../request/LocalUpstream';
import type { LocalService } from '../request/PeerCallHandler';
import type { HeaderNames, RelayedReport } from '../request/Types';
import UpstreamConnections from '../request/UpstreamConnections';
import type UpstreamRuns from '../request/UpstreamRuns';
import type { CurrentVersion, Service } from '../version/Types';
import DepartedInstances from './DepartedInstances';
import type StartupRecall from './StartupRecall';
import type { RecallEnd } from './StartupRecall';
import type { Announcement, Departure, UpstreamStatus } from './Types';
import type WithdrawalKeeper from './WithdrawalKeeper';
import Withdrawals from './Withdrawals';

/** Interval between two checks of the lease of the upstream beside this daemon, in ms. */
const LEASE_CHECK_INTERVAL_MS = 500;
/** Connect timeout for the upstream, which runs on the same VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle timeout of upstream connections, in ms, unless the upstream announces a shorter one. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/**
 * Maximum number of queued calls for each slot (concurrent call) that an upstream announced. The
 * limit on the time in the queue usually rejects calls before this limit does.
 */
const MAX_QUEUED_PER_SLOT = 8;

/**
 * Time in ms before the start of this process in which no upstream can have started that has left again already;
 * a VM that regains power starts its upstream and its daemon together.
 */
const START_SLACK_MS = 1_000;

const NO_SLOTS_USED: SlotCounts = { running: 0, waiting: 0, reserved: 0 };

/** State of the upstream that holds the lease. */
interface RegisteredUpstream {
  announcement: Announcement;
  /**
   * Sends calls to the upstream; `undefined` until the configuration in force declares its service.
   */
  upstream: LocalUpstream | undefined;
  /** Monotonic time in ms at which the upstream last renewed its lease. */
  renewedAt: number;
  /** Whether a connection to the upstream has failed since its latest announcement. */
  unreachable: boolean;
}

/** The components of the daemon that the registration depends on. */
export interface RegistrationServices {
  /** Advertises the upstream to other daemons. */
  /** Returns a report on an upstream of a service, to be passed on to other daemons. */
  readonly relay?: (service: ServiceName) => RelayedReport | undefined;
  readonly members: MemberTable;
  /** Tells when the acknowledgements of an earlier process of this daemon are known. */
  readonly recall: StartupRecall;
  /** Keeps the withdrawals where a restart of this process doesn't lose them. */
  readonly keeper: Pick<WithdrawalKeeper, 'keep'>;
  /** Source of the service's configuration. */
  readonly versions: CurrentVersion;
  /** Deduplicates and fences attempts to run calls at the upstream. */
  readonly attempts: AttemptRegistry;
  /** Counts what runs at the upstream, also while it drains. */
  readonly runs: UpstreamRuns;
  /** Names of the headers sent to the upstream. */
  readonly names: HeaderNames;
  /** Lag of this daemon's event loop, in milliseconds. */
  readonly lagMs: () => number;
  /**
   * Upper bound, in ms, of the time for which data that this daemon reads now has waited in socket
   * buffers.
   */
  readonly waitedMs: () => number;
  /** Duration of the lease that an announcement renews, in milliseconds. */
  readonly leaseMs: number;
  readonly clock: Clock;
  /** Current time of day, in milliseconds since the epoch. */
  readonly timeOfDay: () => number;
  /** Time of day at which this process started, in milliseconds since the epoch. */
  readonly processStartedAt: number;
  readonly logger: Logger;
}

/**
 * Whether an announcement is from a process of the upstream that started before that of the latest
 * announcement, or is from the same process and not newer.
 */
function isStale(announcement: Announcement, latest: Announcement): boolean {
  if (announcement.instance === undefined || latest.instance === undefined) return false;
  const startedAt = announcement.startedAt ?? 0;
  const latestStartedAt = latest.startedAt ?? 0;
  if (startedAt !== latestStartedAt) return startedAt < latestStartedAt;
  return (
    announcement.instance === latest.instance &&
    (announcement.sequence ?? 0) <= (latest.sequence ?? 0)
  );
}

/**
 * Registers the upstream on this VM for as long as it renews its lease, and advertises it to the other
 * daemons.
 */
export default class UpstreamRegistration implements Disposable {
  private registered: RegisteredUpstream | undefined;

  private drainingUpstreams: LocalUpstream[] = [];

  private readonly departed: DepartedInstances;

  private readonly withdrawals = new Withdrawals();

  /** Whether the withdrawals are kept outside of this process, as far as the last attempt showed. */
  private areKept: Promise<boolean> = Promise.resolve(true);

  private hasUnkept = false;

  /** The newest announcement that arrived before the acknowledgements of an earlier process were known. */
  private deferred: Announcement | undefined;

  private stopping = false;

  private readonly leaseTimer: NodeJS.Timeout;

  private readonly subscriptions: readonly Disposable[];

  /** @param services - The components of the daemon that the registration depends on. */
  public constructor(private readonly services: RegistrationServices) {
    this.departed = new DepartedInstances(services.clock, services.timeOfDay);
    this.subscriptions = [
      services.versions.onActivate(() => this.applyConfiguration()),
      services.members.onRecall((withdrawals) => this.recall(withdrawals)),
      services.recall.onComplete((reason) => this.announceDeferred(reason)),
    ];
    this.leaseTimer = setInterval(() => this.expireLease(), LEASE_CHECK_INTERVAL_MS);
    this.leaseTimer.unref();
  }

  /** The upstream, while it accepts new calls; otherwise `undefined`. */
  public get local(): LocalService | undefined {
    const { registered } = this;
    if (this.stopping || registered?.announcement.state !== 'serving' || !registered.upstream) {
      return undefined;
    }
    return { service: registered.announcement.service, upstream: registered.upstream };
  }

  /** State of the upstream, for the `dump` of the control address. */
  public get status(): UpstreamStatus | null {
    if (!this.registered) return null;
    const { announcement, upstream } = this.registered;
    const { service, address, state } = announcement;
    return { service, address, state, ...(upstream?.counts ?? NO_SLOTS_USED) };
  }

  /** Number of calls at the upstream divided by the number that it can run concurrently. */
  public get load(): number {
    return this.registered?.upstream?.load ?? 0;
  }

  /**
   * Renews the lease of the upstream. Ignores announcements that are stale, of a process that has left, or
   * of an unknown service at another address than the registered upstream's, as of another writer.
   *
   * @param announcement - State that the upstream reports.
   * @returns Whether what an acknowledgement of this announcement promises outlasts this process.
   */
  public announce(announcement: Announcement): Promise<boolean> {
    const reason = this.reasonToIgnore(announcement);
    if (reason) this.logIgnoredAnnouncement(announcement, reason);
    else this.register(announcement);
    const { instance, startedAt = 0, sequence, state } = announcement;
    if (state !== 'draining' || instance === undefined) return Promise.resolve(true);
    if (this.withdrawals.has(instance, startedAt) && !this.hasUnkept) return this.areKept;
    return this.acknowledge({ instance, startedAt, sequence: sequence ?? 0 });
  }

  /** Returns why an announcement changes nothing now; `undefined` if it is to be applied. */
  private reasonToIgnore(announcement: Announcement): string | undefined {
    const before = this.registered?.announcement;
    if (before && isStale(announcement, before)) return 'it is older than the last announcement';
    const { instance, startedAt, state } = announcement;
    if (instance !== undefined && this.departed.has(instance, startedAt)) {
      return 'that start of the upstream has left';
    }
    if (this.withdrawals.covers(announcement)) return 'that start of the upstream was withdrawn';
    if (before && this.registered?.upstream && this.isForeign(announcement, before)) {
      return 'it names an unknown service at another address';
    }
    if (instance !== undefined && state !== 'draining' && this.mayHaveWithdrawn(startedAt)) {
      if (!this.deferred || !isStale(announcement, this.deferred)) this.deferred = announcement;
      return 'neither a peer nor the store has answered since the start';
    }
    return undefined;
  }

  /** Whether an earlier process of this daemon may have acknowledged that an upstream process withdrew. */
  private mayHaveWithdrawn(startedAt = 0): boolean {
    const { recall, processStartedAt } = this.services;
    return !recall.isComplete && startedAt < processStartedAt - START_SLACK_MS;
  }

  private announceDeferred(reason: RecallEnd): void {
    const { deferred } = this;
    const { logger, timeOfDay, processStartedAt } = this.services;
    logger.log('Knows what earlier processes acknowledged.', {
      reason,
      sinceStartMs: Math.round(timeOfDay() - processStartedAt),
      deferred: deferred?.instance,
    });
    this.deferred = undefined;
    if (deferred) void this.announce(deferred);
  }

  private register(announcement: Announcement): void {
    const before = this.registered?.announcement;
    const { instance } = announcement;
    if (before && UpstreamRegistration.isNewUpstream(announcement, before)) this.removeUpstream();
    if (before?.state !== announcement.state || before?.instance !== instance) {
      this.logAnnouncement(announcement);
    }
    if (this.registered) {
      this.registered.announcement = announcement;
      this.registered.renewedAt = this.services.clock.now();
      this.registered.unreachable = false;
    } else {
      const renewedAt = this.services.clock.now();
      this.registered = { announcement, upstream: undefined, renewedAt, unreachable: false };
    }
    this.applyConfiguration();
    if (announcement.state === 'draining') void this.registered.upstream?.drain();
  }

  /**
   * Ends the registration of an upstream, and ignores later announcements of the same process.
   *
   * @param departure - The process that leaves.
   * @returns Whether what an acknowledgement of the departure promises outlasts this process.
   */
  public depart(departure: Departure): Promise<boolean> {
    const { announcement } = this.registered ?? {};
    const isKnown =
      announcement?.instance === departure.instance &&
      (departure.startedAt === undefined || announcement.startedAt === departure.startedAt);
    this.services.logger.log('An upstream leaves.', { ...departure, known: isKnown });
    // A departure without a start time is that of the registered process.
    const { instance } = departure;
    const startedAt = isKnown ? announcement.startedAt : departure.startedAt;
    this.departed.add({ instance, startedAt });
    if (isKnown) this.removeUpstream();
    return this.acknowledge({
      instance,
      startedAt: startedAt ?? (isKnown ? 0 : this.services.timeOfDay()),
      sequence: null,
    });
  }

  /** Advertises a withdrawal, and keeps it unless an earlier one of the same process is kept already. */
  private acknowledge(withdrawal: Withdrawal): Promise<boolean> {
    const isBound = this.withdrawals.has(withdrawal.instance, withdrawal.startedAt);
    this.withdrawals.add(withdrawal);
    this.updateOwnMember();
    if (isBound && !this.hasUnkept) return this.areKept;
    this.hasUnkept = false;
    this.areKept = this.keepWithdrawals();
    return this.areKept;
  }

  private async keepWithdrawals(): Promise<boolean> {
    const isKept = await this.services.keeper.keep(this.withdrawals.list ?? []);
    if (!isKept) this.hasUnkept = true;
    return isKept;
  }

  /**
   * Applies withdrawals that an earlier process of this daemon acknowledged.
   *
   * @param withdrawals - Withdrawals that a peer or the store holds.
   */
  public recall(withdrawals: readonly Withdrawal[]): void {
    if (!this.withdrawals.add(...withdrawals)) return;
    const { announcement } = this.registered ?? {};
    const ends = announcement !== undefined && this.withdrawals.covers(announcement);
    this.services.logger.log('Recalled withdrawals of upstreams.', {
      instances: withdrawals.map(({ instance }) => instance),
      ends: ends ? announcement.instance : undefined,
    });
    if (ends) this.removeUpstream();
    this.updateOwnMember();
  }

  /**
   * Stores the withdrawals again, as the store came back from a copy that may lack them. What was
   * acknowledged on their strength still binds.
   */
  public storeWithdrawalsAgain(): void {
    if (!this.withdrawals.list) return;
    this.areKept = this.keepWithdrawals();
  }

  /** Resolves once the draining upstream has finished its calls, so that it can exit safely. */
  public async whenDrained(): Promise<void> {
    await this.registered?.upstream?.drain();
  }

  /**
   * Ends the registration if its lease has lapsed. The timer calls this; tests call it directly.
   *
   * After the event loop was blocked, the timer runs before the announcements that arrived in the meantime
   * are read. Time for which announcements may still be unread therefore doesn't count.
   */
  public expireLease(): void {
    const { registered } = this;
    const { clock, leaseMs, logger, waitedMs } = this.services;
    if (!registered || clock.now() - waitedMs() - registered.renewedAt <= leaseMs) return;
    logger.log('The lease of the upstream lapsed.', {
      service: registered.announcement.service,
      instance: registered.announcement.instance,
    });
    this.removeUpstream();
    this.updateOwnMember();
  }

  /** Stops accepting calls for good; resolves once the calls at the upstream have ended. */
  public async drain(): Promise<void> {
    this.stopping = true;
    this.updateOwnMember();
    const upstreams = [this.registered?.upstream, ...this.drainingUpstreams];
    await Promise.all(upstreams.map((upstream) => upstream?.drain()));
  }

  public dispose(): void {
    clearInterval(this.leaseTimer);
    for (const subscription of this.subscriptions) subscription.dispose();
    this.registered?.upstream?.dispose();
    for (const upstream of this.drainingUpstreams) upstream.dispose();
  }

  /**
   * Whether an announcement is neither from a service of the configuration in force nor from the address
   * of the registered upstream, at which a service that is declared later may have started.
   */
  private isForeign({ service, address }: Announcement, registered: Announcement): boolean {
    const isDeclared =
      this.services.versions.snapshot?.configuration.services.has(service) ?? false;
    return !isDeclared && address !== registered.address;
  }

  private logAnnouncement(announcement: Announcement): void {
    const { service, address, state, instance, startedAt, sequence, slots, version } = announcement;
    this.services.logger.log('An upstream announced itself.', {
      service,
      address,
      state,
      instance,
      startedAt,
      sequence,
      slots,
      version,
    });
  }

  private logIgnoredAnnouncement(announcement: Announcement, reason: string): void {
    const { state, instance, startedAt, sequence } = announcement;
    this.services.logger.log('An announcement changes nothing.', {
      state,
      instance,
      startedAt,
      sequence,
      reason,
      known: this.registered?.announcement.instance,
    });
  }

  /** Updates the limits of the upstream from the configuration in force, and creates it if needed. */
  private applyConfiguration(): void {
    const { registered } = this;
    if (!registered) return;
    const { announcement } = registered;
    const declared = this.services.versions.snapshot?.configuration.services.get(
      announcement.service,
    );
    if (declared) {
      const limits = UpstreamRegistration.limitsFor(declared, announcement);
      if (registered.upstream) registered.upstream.setLimits(limits);
      else registered.upstream = this.createUpstream(declared, limits, registered);
      registered.upstream.instance = announcement.instance;
    }
    this.updateOwnMember();
  }

  private createUpstream(
    service: Service,
    limits: UpstreamLimits,
    registered: RegisteredUpstream,
  ): LocalUpstream {
    const { address } = registered.announcement;
    const { attempts, runs, names, lagMs, waitedMs, clock, logger } = this.services;
    return new LocalUpstream(limits, address, {
      connect: () =>
        new UpstreamConnections(
          address,
          {
            connections: service.connections,
            connectMs: CONNECT_TIMEOUT_MS,
            keepAliveMs: DEFAULT_KEEP_ALIVE_MS,
            idHeader: names.requestId,
          },
          (echoedId) =>
            logger.log('Dropped the answer of another request.', { answerTo: echoedId }),
        ),
      registry: attempts,
      runs,
      names,
      lagMs,
      waitedMs,
      clock,
      logger,
      onUnreachable: () => this.markUnreachable(registered.announcement.instance),
      zoneOf: (daemon) => this.services.members.get(daemon)?.zone,
      hasOthers: () => this.services.members.upstreams(registered.announcement.service).length > 1,
      relay: () => this.services.relay?.(registered.announcement.service),
    });
  }

  /** Stops advertising an upstream that can't be connected to, until its next announcement. */
  private markUnreachable(instance: InstanceId | undefined): void {
    const { registered } = this;
    if (!registered || registered.unreachable) return;
    if (registered.announcement.instance !== instance) return;
    registered.unreachable = true;
    this.services.logger.log('The upstream accepts no connections.', {
      service: registered.announcement.service,
      instance: registered.announcement.instance,
    });
    this.updateOwnMember();
  }

  /** Ends the registration; the upstream is disposed of once its running calls have ended. */
  private removeUpstream(): void {
    const upstream = this.registered?.upstream;
    this.registered = undefined;
    if (!upstream) return;
    this.drainingUpstreams.push(upstream);
    void upstream.drain().then(() => {
      upstream.dispose();
      this.drainingUpstreams = this.drainingUpstreams.filter((other) => other !== upstream);
    });
  }

  /** Updates the member record of this daemon, if its fields about the upstream changed. */
  private updateOwnMember(): void {
    const { self } = this.services.members;
    const fields = this.ownMemberFields();
    const isSame =
      self.service === fields.service &&
      self.state === fields.state &&
      self.healthHint === fields.healthHint &&
      self.slots === fields.slots &&
      self.version === fields.version &&
      self.withdrawals === fields.withdrawals;
    if (!isSame) this.services.members.updateSelf(fields);
  }

  private ownMemberFields() {
    const withdrawals = this.withdrawals.list;
    if (!this.registered) {
      return {
        service: null,
        state: 'none' as const,
        healthHint: true,
        slots: null,
        version: undefined,
        withdrawals,
      };
    }
    const { service, state, healthy, slots, version } = this.registered.announcement;
    return {
      service,
      state: this.advertisedState(this.registered, state),
      healthHint: healthy,
      slots: slots ?? null,
      version,
      withdrawals,
    };
  }

  /**
   * Other daemons send no calls to a warming upstream. An upstream whose service isn't in the configuration
   * in force, or that can't be connected to, is therefore advertised as warming.
   */
  private advertisedState(
    { upstream, unreachable }: RegisteredUpstream,
    state: UpstreamState,
  ): UpstreamState {
    if (this.stopping && state !== 'none') return 'draining';
    return state === 'serving' && (!upstream || unreachable) ? 'warming' : state;
  }

  private static limitsFor(service: Service, { slots }: Announcement): UpstreamLimits {
    if (slots === undefined) return service;
    return { slots, queue: MAX_QUEUED_PER_SLOT * slots, warmUpMs: service.warmUpMs };
  }

  /**
   * Whether an announcement is from another upstream or process than the previous announcement, or
   * ends the drain of the same one.
   */
  private static isNewUpstream(next: Announcement, before: Announcement): boolean {
    const resumed = before.state === 'draining' && next.state !== 'draining';
    return (
      resumed ||
      before.address !== next.address ||
      before.service !== next.service ||
      before.instance !== next.instance ||
      before.startedAt !== next.startedAt
    );
  }
}
