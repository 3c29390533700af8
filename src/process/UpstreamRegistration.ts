import type { Clock, Disposable, InstanceId, Logger } from '../common/Types';
import type MemberTable from '../connection/MemberTable';
import type { UpstreamState } from '../connection/Types';
import type { UpstreamLimits } from '../request/Admission';
import type AttemptRegistry from '../request/AttemptRegistry';
import LocalUpstream from '../request/LocalUpstream';
import type { LocalService } from '../request/PeerCallHandler';
import type { HeaderNames } from '../request/Types';
import UpstreamConnections from '../request/UpstreamConnections';
import type { CurrentVersion, Service } from '../version/Types';
import DepartedStarts from './DepartedStarts';
import type { Announcement, Departure, UpstreamStatus } from './Types';

const SWEEP_MS = 500;
/** Longest wait for a connection on the same VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle connections are closed after this, in ms, where the upstream announces no sooner time. */
const KEEP_ALIVE_MS = 4_000;
/** Calls that may wait for each slot that an upstream announced; their waits bound them sooner. */
const QUEUE_PER_SLOT = 8;

interface Registered {
  announcement: Announcement;
  /** Present once the service is declared by the configuration in force. */
  upstream: LocalUpstream | undefined;
  renewedAt: number;
  /** Set while it takes no connection. */
  unreachable: boolean;
}

/** What the registration uses of its daemon. */
export interface RegistrationServices {
  /** Tells other daemons. */
  readonly members: MemberTable;
  /** Declares the service and its limits. */
  readonly versions: CurrentVersion;
  /** Judges attempts. */
  readonly attempts: AttemptRegistry;
  readonly names: HeaderNames;
  /** Lag of this daemon's event loop, in milliseconds. */
  readonly lagMs: () => number;
  /** How long what is read now may have waited, in milliseconds. */
  readonly waitedMs: () => number;
  /** How long an announcement holds, in milliseconds. */
  readonly leaseMs: number;
  readonly clock: Clock;
  /** Milliseconds since the epoch. */
  readonly timeOfDay: () => number;
  readonly logger: Logger;
}

/** Whether `a` tells of an earlier start than `b`, or earlier than `b` within one start. */
function isOutdated(a: Announcement, b: Announcement): boolean {
  if (a.instance === undefined || b.instance === undefined) return false;
  const aStart = a.startedAt ?? 0;
  const bStart = b.startedAt ?? 0;
  if (aStart !== bStart) return aStart < bStart;
  return a.instance === b.instance && (a.sequence ?? 0) <= (b.sequence ?? 0);
}

/** Keeps the upstream beside this daemon while it renews its lease, and tells the members of it. */
export default class UpstreamRegistration implements Disposable {
  private registered: Registered | undefined;

  private retired: LocalUpstream[] = [];

  private readonly departed: DepartedStarts;

  private stopping = false;

  private readonly sweeper: NodeJS.Timeout;

  private readonly subscription: Disposable;

  /** @param services - What it uses. */
  public constructor(private readonly services: RegistrationServices) {
    this.departed = new DepartedStarts(services.clock, services.timeOfDay);
    this.subscription = services.versions.onSwap(() => this.refresh());
    this.sweeper = setInterval(() => this.expire(), SWEEP_MS);
    this.sweeper.unref();
  }

  /** The upstream, while it takes new work. */
  public get local(): LocalService | undefined {
    const { registered } = this;
    if (this.stopping || registered?.announcement.state !== 'serving' || !registered.upstream) {
      return undefined;
    }
    return { service: registered.announcement.service, upstream: registered.upstream };
  }

  /** State of the upstream, for the dump. */
  public get status(): UpstreamStatus | null {
    if (!this.registered) return null;
    const { announcement, upstream } = this.registered;
    const { service, address, state } = announcement;
    return { service, address, state, ...(upstream?.counts ?? { running: 0, waiting: 0 }) };
  }

  /** Calls at the upstream, in parts of its slots. */
  public get load(): number {
    return this.registered?.upstream?.load ?? 0;
  }

  /**
   * Renews the lease of the upstream. News that is older than what is known changes nothing.
   *
   * @param announcement - What the upstream says.
   */
  public announce(announcement: Announcement): void {
    const before = this.registered?.announcement;
    if (before && isOutdated(announcement, before)) {
      this.logIgnored(announcement, 'it is older than what is known');
      return;
    }
    const { instance, startedAt } = announcement;
    if (instance !== undefined && this.departed.has(instance, startedAt)) {
      this.logIgnored(announcement, 'that start left');
      return;
    }
    if (before && UpstreamRegistration.isAnother(announcement, before)) this.retire();
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
    this.refresh();
    if (announcement.state === 'draining') void this.registered.upstream?.drain();
  }

  /** @param departure - The start of an upstream that leaves; nothing of it counts from now on. */
  public depart(departure: Departure): void {
    const { announcement } = this.registered ?? {};
    const isKnown =
      announcement?.instance === departure.instance &&
      (departure.startedAt === undefined || announcement.startedAt === departure.startedAt);
    this.services.logger.log('An upstream leaves.', { ...departure, known: isKnown });
    // A departure that doesn't tell its start is of the one that is known.
    this.departed.add(isKnown ? { ...departure, startedAt: announcement.startedAt } : departure);
    if (!isKnown) return;
    this.retire();
    this.publish();
  }

  /** Resolves once nothing is under way at an upstream that drains, so that it can end safely. */
  public async whenDrained(): Promise<void> {
    await this.registered?.upstream?.drain();
  }

  /**
   * Ends a lease that lapsed. Called by the timer, and by tests in its place. The timer runs before what
   * came in during a hold-up of this daemon is read, so only time whose news was read counts.
   */
  public expire(): void {
    const { registered } = this;
    const { clock, leaseMs, logger, waitedMs } = this.services;
    if (!registered || clock.now() - waitedMs() - registered.renewedAt <= leaseMs) return;
    logger.log('The lease of the upstream lapsed.', {
      service: registered.announcement.service,
      instance: registered.announcement.instance,
    });
    this.retire();
    this.publish();
  }

  /** Takes no new work from now on; resolves once what runs has ended. */
  public async drain(): Promise<void> {
    this.stopping = true;
    this.publish();
    const upstreams = [this.registered?.upstream, ...this.retired];
    await Promise.all(upstreams.map((upstream) => upstream?.drain()));
  }

  public dispose(): void {
    clearInterval(this.sweeper);
    this.subscription.dispose();
    this.registered?.upstream?.dispose();
    for (const upstream of this.retired) upstream.dispose();
  }

  private logAnnouncement(announcement: Announcement): void {
    const { service, address, state, instance, startedAt, sequence, slots } = announcement;
    this.services.logger.log('An upstream announced itself.', {
      service,
      address,
      state,
      instance,
      startedAt,
      sequence,
      slots,
    });
  }

  private logIgnored(announcement: Announcement, reason: string): void {
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

  /** Brings the upstream's limits in line with the configuration in force. */
  private refresh(): void {
    const { registered } = this;
    if (!registered) return;
    const { announcement } = registered;
    const declared = this.services.versions.snapshot?.configuration.services.get(
      announcement.service,
    );
    if (declared) {
      const limits = UpstreamRegistration.limitsOf(declared, announcement);
      if (registered.upstream) registered.upstream.setLimits(limits);
      else registered.upstream = this.connect(declared, limits, registered);
      registered.upstream.instance = announcement.instance;
    }
    this.publish();
  }

  private connect(service: Service, limits: UpstreamLimits, registered: Registered): LocalUpstream {
    const { address } = registered.announcement;
    const { attempts, names, lagMs, waitedMs, clock, logger } = this.services;
    return new LocalUpstream(limits, address, {
      connect: () =>
        new UpstreamConnections(address, {
          connections: service.connections,
          connectMs: CONNECT_TIMEOUT_MS,
          keepAliveMs: KEEP_ALIVE_MS,
        }),
      registry: attempts,
      names,
      lagMs,
      waitedMs,
      clock,
      logger,
      onUnreachable: () => this.noteUnreachable(registered.announcement.instance),
    });
  }

  /** An upstream that takes no connection is offered again once it announces itself. */
  private noteUnreachable(instance: InstanceId | undefined): void {
    const { registered } = this;
    if (!registered || registered.unreachable) return;
    if (registered.announcement.instance !== instance) return;
    registered.unreachable = true;
    this.services.logger.log('The upstream takes no connection.', {
      service: registered.announcement.service,
      instance: registered.announcement.instance,
    });
    this.publish();
  }

  /** Lets an upstream finish what it runs. */
  private retire(): void {
    const upstream = this.registered?.upstream;
    this.registered = undefined;
    if (!upstream) return;
    this.retired.push(upstream);
    void upstream.drain().then(() => {
      upstream.dispose();
      this.retired = this.retired.filter((other) => other !== upstream);
    });
  }

  private publish(): void {
    const { self } = this.services.members;
    const shown = this.shown();
    const isSame =
      self.service === shown.service &&
      self.state === shown.state &&
      self.healthHint === shown.healthHint &&
      self.slots === shown.slots;
    if (!isSame) this.services.members.updateSelf(shown);
  }

  private shown() {
    if (!this.registered) {
      return { service: null, state: 'none' as const, healthHint: true, slots: null };
    }
    const { service, state, healthy, slots } = this.registered.announcement;
    return {
      service,
      state: this.shownState(this.registered, state),
      healthHint: healthy,
      slots: slots ?? null,
    };
  }

  /** A service that no configuration declares here yet isn't offered to other daemons. */
  private shownState({ upstream, unreachable }: Registered, state: UpstreamState): UpstreamState {
    if (this.stopping && state !== 'none') return 'draining';
    return state === 'serving' && (!upstream || unreachable) ? 'warming' : state;
  }

  private static limitsOf(service: Service, { slots }: Announcement): UpstreamLimits {
    if (slots === undefined) return service;
    return { slots, queue: QUEUE_PER_SLOT * slots, warmUpMs: service.warmUpMs };
  }

  /** Whether an announcement is of another start, or of one that drained and came back. */
  private static isAnother(now: Announcement, before: Announcement): boolean {
    const cameBack = before.state === 'draining' && now.state !== 'draining';
    return (
      cameBack ||
      before.address !== now.address ||
      before.service !== now.service ||
      before.instance !== now.instance ||
      before.startedAt !== now.startedAt
    );
  }
}
