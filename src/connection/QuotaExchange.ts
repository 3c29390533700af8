import sleep from '../common/sleep';
import type {
  Clock,
  DaemonId,
  Disposable,
  Logger,
  OrganisationName,
  Random,
} from '../common/Types';
import type SuspendAwareClock from '../common/SuspendAwareClock';
import CreditPool from '../request/CreditPool';
import QuotaClient, { type Credit, type QuotaEvent, type QuotaUse } from '../request/QuotaClient';
import { rankOwners } from '../request/quotaPools';
import type { QuotaReply, QuotaRequest, QuotaTolerance } from '../request/Types';
import type { CurrentVersion, Organisation, Quota } from '../version/Types';
import PeerConnection from './PeerConnection';
import { packQuotaRequest, unpackQuotaReply } from './quotaMessages';
import type SocketMeter from './SocketMeter';
import type { Membership } from './Types';
import withStallAwareTimeout from './withStallAwareTimeout';

const POLL_INTERVAL_MS = 50;
const SWEEP_INTERVAL_MS = 1_000;
/** Timeout of a request to an owner; two of them, and the part of the rate moves to another owner. */
const REQUEST_TIMEOUT_MS = 400;
/** Time after which an unused connection to an owner is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 30_000;
/**
 * Time after the start of its process at which a daemon may lend its part of the rate, in milliseconds; what its
 * earlier process lent has nearly ended by then.
 */
const START_MS = 2_500;
/** Time without new members, in ms, after which a daemon that started lately knows all it can learn of. */
const STEADY_MS = 750;
/** Time after its start in which new members delay the lending, in milliseconds. */
const LEARNING_MS = 15_000;
/** Minimum time in milliseconds between two log lines about the same organisation. */
const LOG_INTERVAL_MS = 10_000;
const SESSION_BOUND = 2 ** 30;

/** Dependencies of the exchange. */
export interface QuotaExchangeServices {
  readonly members: Membership;
  readonly versions: CurrentVersion;
  readonly meter: SocketMeter;
  readonly clock: SuspendAwareClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly tolerance: () => QuotaTolerance;
  /** Whether seeds or stored contacts name daemons besides this one. */
  readonly hasContacts: () => boolean;
  /** Time after which a daemon that reaches none of its contacts counts as the only one, in ms. */
  readonly aloneMs: number;
  /** Called for each call that is refused for its organisation's quota, for the metrics. */
  readonly onRefusal: (organisation: OrganisationName, isCut: boolean) => void;
}

/** A kept connection to an owner. */
interface OwnerConnection {
  readonly connection: PeerConnection;
  usedAt: number;
}

/** Quotas at this daemon, as shown by the commands `status` and `dump`. */
export interface QuotaState {
  readonly organisations: readonly QuotaUse[];
  /** Pools that this daemon owns, the share of the rate lent to each, and their organisations with state. */
  readonly owned: readonly { pool: number; share: number; organisations: number }[];
}

/** Sends and answers the messages about quotas, on a kept connection to each owner. */
export default class QuotaExchange implements Disposable {
  private readonly client: QuotaClient;

  private readonly pools = new Map<number, CreditPool>();

  private readonly connections = new Map<DaemonId, OwnerConnection>();

  private readonly session: number;

  private readonly startedAt: number;

  private readonly subscription: Disposable;

  private readonly loggedAt = new Map<OrganisationName, number>();

  private readonly ranks = new Map<number, readonly DaemonId[]>();

  /** Daemons for which `ranks` were computed. */
  private rankedIds = '';

  private isRankOutdated = true;

  private known = 1;

  private grewAt: number;

  private suspendedMs = 0;

  /** @param services - Dependencies of the exchange. */
  public constructor(private readonly services: QuotaExchangeServices) {
    const { members, random, clock } = services;
    this.session = random.below(SESSION_BOUND);
    this.startedAt = clock.now();
    this.grewAt = this.startedAt;
    this.countMembers();
    this.subscription = members.onChange(() => this.countMembers());
    this.client = new QuotaClient({
      clock,
      self: members.self.id,
      session: this.session,
      candidates: (pool) => this.candidates(pool),
      known: () => this.known,
      isSettled: () => this.isSettled,
      send: (owner, request) => this.send(owner, request),
      onEvent: (event) => this.report(event),
    });
  }

  /** State of the quotas at this daemon. */
  public get state(): QuotaState {
    const owned = [...this.pools].map(([pool, credits]) => ({
      pool,
      share: credits.share,
      organisations: credits.size,
    }));
    return { organisations: this.client.uses, owned };
  }

  /**
   * Takes a credit for a call.
   *
   * @param organisation - Organisation of the caller.
   * @param quota - Its quota.
   * @returns The credit, or a promise of it.
   * @throws QuotaError - The organisation is over its quota.
   * @throws NotRunError - Too few daemons can be reached.
   */
  public take(organisation: Organisation, quota: Quota): Credit | Promise<Credit> {
    return this.client.take(organisation, quota);
  }

  /**
   * @param request - Request of a daemon that considers this one to be the owner of a pool.
   * @returns Reply of the pool.
   */
  public handle(request: QuotaRequest): QuotaReply {
    this.checkSuspension();
    return this.poolOf(request.pool).handle(request);
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    let sweptAt = this.services.clock.now();
    while (!signal.aborted) {
      await sleep(POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const now = this.services.clock.now();
      if (this.hasQuotas()) this.client.poll();
      if (now - sweptAt < SWEEP_INTERVAL_MS) continue;
      sweptAt = now;
      this.checkSuspension();
      for (const pool of this.pools.values()) pool.sweep();
      this.closeIdle(now);
    }
  }

  public dispose(): void {
    this.subscription.dispose();
    for (const { connection } of this.connections.values()) connection.dispose();
    this.connections.clear();
  }

  private hasQuotas(): boolean {
    const organisations = this.services.versions.snapshot?.configuration.organisations;
    if (!organisations) return false;
    for (const { quota } of organisations.values()) if (quota) return true;
    return false;
  }

  /** Whether the number of members is known well enough to know this daemon's part of the rate. */
  private get isSettled(): boolean {
    const { clock, hasContacts, aloneMs } = this.services;
    const now = clock.now();
    const ageMs = now - this.startedAt;
    // The monotonic clock starts with the process, a second or more before this object on a small VM.
    if (now < START_MS) return false;
    if (this.known === 1 && hasContacts() && ageMs < aloneMs) return false;
    return this.grewAt - this.startedAt > LEARNING_MS || now - this.grewAt >= STEADY_MS;
  }

  private countMembers(): void {
    const { members, clock } = this.services;
    const known = members.all().filter(({ state }) => state !== 'gone').length;
    if (known > this.known) this.grewAt = clock.now();
    this.known = known;
    this.isRankOutdated = true;
  }

  private candidates(pool: number): readonly DaemonId[] {
    if (this.isRankOutdated) this.updateCandidates();
    let ranks = this.ranks.get(pool);
    if (!ranks) {
      ranks = rankOwners(pool, this.rankedIds.split('\n') as DaemonId[]);
      this.ranks.set(pool, ranks);
    }
    return ranks;
  }

  private updateCandidates(): void {
    const { members } = this.services;
    // A daemon that drains is left while it can still confirm that its loans have ended.
    const able = members
      .live()
      .filter(({ health, state }) => health === 'alive' && state !== 'draining')
      .map(({ id }) => id as string);
    const ids = [...new Set([members.self.id, ...able])].sort().join('\n');
    if (ids !== this.rankedIds) this.ranks.clear();
    this.rankedIds = ids;
    this.isRankOutdated = false;
  }

  /** After a suspension the clock has jumped; nothing may be granted for the time of the jump. */
  private checkSuspension(): void {
    const { clock } = this.services;
    clock.now();
    if (clock.totalSuspendedMs === this.suspendedMs) return;
    this.suspendedMs = clock.totalSuspendedMs;
    for (const pool of this.pools.values()) pool.clear();
  }

  private poolOf(pool: number): CreditPool {
    let credits = this.pools.get(pool);
    if (!credits) {
      const { versions, tolerance } = this.services;
      const { clock }: { clock: Clock } = this.services;
      credits = new CreditPool({
        clock,
        session: this.session,
        quotaOf: (name) => versions.snapshot?.configuration.organisations.get(name)?.quota,
        tolerance,
        known: () => this.known,
      });
      this.pools.set(pool, credits);
    }
    return credits;
  }

  private send(owner: DaemonId, request: QuotaRequest): void {
    if (owner === this.services.members.self.id) {
      this.client.receive(request, this.handle(request));
      return;
    }
    void this.exchange(owner, request);
  }

  private async exchange(owner: DaemonId, request: QuotaRequest): Promise<void> {
    const link = this.connectionTo(owner);
    if (!link) {
      this.client.fail(request, true);
      return;
    }
    const { connection } = link;
    let reply: QuotaReply;
    try {
      const packed = await withStallAwareTimeout([connection.ended], REQUEST_TIMEOUT_MS, (signal) =>
        connection.client.quota.mutate(packQuotaRequest(request), { signal }),
      );
      reply = unpackQuotaReply(packed);
    } catch {
      const wasClosed = connection.ended.aborted;
      connection.dispose();
      if (this.connections.get(owner) === link) this.connections.delete(owner);
      this.client.fail(request, wasClosed);
      return;
    }
    this.client.receive(request, reply);
  }

  private connectionTo(owner: DaemonId): OwnerConnection | undefined {
    const { members, meter, clock } = this.services;
    let link = this.connections.get(owner);
    if (link?.connection.ended.aborted) link = undefined;
    if (!link) {
      const member = members.get(owner);
      if (!member) return undefined;
      link = { connection: new PeerConnection(member.address, meter), usedAt: 0 };
      this.connections.set(owner, link);
    }
    link.usedAt = clock.now();
    return link;
  }

  private closeIdle(now: number): void {
    for (const [owner, { connection, usedAt }] of this.connections) {
      if (now - usedAt < IDLE_CONNECTION_MS) continue;
      connection.dispose();
      this.connections.delete(owner);
    }
  }

  private report(event: QuotaEvent): void {
    const { logger, onRefusal, clock } = this.services;
    if (event.kind === 'owner') {
      logger.log('Lends its part of the quotas to an owner.', {
        pool: event.pool,
        owner: event.owner,
      });
      return;
    }
    if (event.kind === 'lost') {
      logger.log('Lost the owner of a pool of quotas.', { pool: event.pool, owner: event.owner });
      return;
    }
    const { organisation, isCut } = event;
    onRefusal(organisation, isCut);
    const now = clock.now();
    if (now - (this.loggedAt.get(organisation) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAt.set(organisation, now);
    logger.log('Refuses calls of an organisation for its quota.', {
      organisation,
      reason: isCut ? 'too few daemons can be reached' : 'over the quota',
    });
  }
}
