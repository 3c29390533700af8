import type { Clock, DaemonId, OrganisationName } from '../common/Types';
import type { Organisation, Quota } from '../version/Types';
import DecayingRate from './DecayingRate';
import NotRunError from './NotRunError';
import QuotaError from './QuotaError';
import { CREDIT_MS, LOAN_MS, POOL_COUNT, poolsOf } from './quotaPools';
import type { QuotaClaim, QuotaReply, QuotaRequest } from './Types';

/** Interval in ms between requests to an owner while organisations of its pool send calls here. */
const ACTIVE_INTERVAL_MS = 1_000;
/** Interval in ms between requests that only renew the loan; less than half of `GRANTING_MS`. */
const IDLE_INTERVAL_MS = 1_400;
/** Longest time in milliseconds that a call waits for a credit. */
const MAX_WAIT_MS = 250;
/** Time in ms for which an owner isn't asked again for an organisation after it had too few credits. */
const MIN_BLOCK_MS = 500;
/** Time in ms without a reply after which calls that wait for it ask the other pool, as the owner may be frozen. */
const SILENT_MS = 100;
/** Number of consecutive requests without a reply after which another owner is looked for. */
const MAX_FAILURES = 2;
/** Time in milliseconds for which an owner that didn't reply isn't chosen again. */
const FAILURE_BACKOFF_MS = 10_000;
/** Time in milliseconds for which another owner must rank first before this daemon's part moves to it. */
const MOVE_DELAY_MS = 1_000;
/** Credits to hold, as a multiple of the calls expected until the next request. */
const AHEAD_FACTOR = 1.2;
/** Calls a second below which credits are only asked for when a call comes. */
const MIN_DEMAND = 0.2;
/** Time over which calls a second are averaged, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 1_000;
/** Time in milliseconds after which the state of an organisation without calls is dropped. */
const FORGET_MS = 10_000;
/** Time, in ms from now, after which the times told to refused callers are as close as possible. */
const MAX_RETRY_MS = 10_000;
/** Least time in milliseconds between the times that are told to consecutive refused callers. */
const MIN_RETRY_STEP_MS = 1;
/** Share of a pool below which refusals are for lack of contact with other daemons, not for the quota. */
const MIN_CONTACT_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** A permit for one call. */
export interface Credit {
  /** Returns the credit, as the call hasn't run and never will. */
  giveBack(): void;
}

/** Use of an organisation's quota at this daemon, for operators. */
export interface QuotaUse {
  readonly organisation: OrganisationName;
  readonly rate: number;
  readonly burst: number;
  /** Calls a second that arrive here and that got a credit here, averaged over about a second. */
  readonly arriving: number;
  readonly served: number;
  readonly held: number;
  /** Owners of the organisation's pools; null while there is none. */
  readonly owners: readonly (DaemonId | null)[];
}

/** What the client depends on; the task that sends its requests calls `receive` or `fail` for each. */
export interface QuotaClientServices {
  readonly clock: Clock;
  readonly self: DaemonId;
  /** Random number of this process. */
  readonly session: number;
  /** Returns daemons that may own a pool, the preferred one first; contains this daemon. */
  readonly candidates: (pool: number) => readonly DaemonId[];
  /** Number of daemons known here, including those that can't be reached. */
  readonly known: () => number;
  /** Whether this daemon has had time since its start to learn who its peers are. */
  readonly isSettled: () => boolean;
  readonly send: (owner: DaemonId, request: QuotaRequest) => void;
  /** Called when an owner was lost or replaced, and when an organisation gets over its quota. */
  readonly onEvent: (event: QuotaEvent) => void;
}

/** Something that operators want to know. */
export type QuotaEvent =
  | { readonly kind: 'owner'; readonly pool: number; readonly owner: DaemonId }
  | { readonly kind: 'lost'; readonly pool: number; readonly owner: DaemonId }
  | { readonly kind: 'over'; readonly organisation: OrganisationName; readonly isCut: boolean };

/** This daemon's relation to the owner of one pool; times are monotonic, in ms. */
interface Lending {
  owner: DaemonId | undefined;
  /** The owner's process and clock reading, from its latest reply, and when that was received. */
  lent: QuotaRequest['lent'];
  stampedAt: number;
  /** Time until which this daemon's part may be in use at an owner. */
  lentUntil: number;
  share: number;
  sequence: number;
  sentAt: number;
  inFlight: boolean;
  isUrgent: boolean;
  failures: number;
  /** Time since which another owner ranks first. */
  movesSince: number | undefined;
}

/** Fields of a lending without an owner. */
const NO_OWNER = { owner: undefined, lent: null, share: 0, failures: 0, movesSince: undefined };

/** Credits of an organisation from one of its pools. */
interface Purse {
  readonly pool: number;
  held: number;
  expiresAt: number;
  blockedUntil: number;
  waitMs: number;
}

interface Waiter {
  purse: Purse;
  /** Whether the request in flight contains the waiting call. */
  isAsked: boolean;
  hasMoved: boolean;
  readonly until: number;
  readonly resolve: (credit: Credit) => void;
  readonly reject: (error: Error) => void;
}

interface OrganisationState {
  quota: Quota;
  readonly name: OrganisationName;
  readonly purses: readonly [Purse, Purse];
  readonly arrivals: DecayingRate;
  readonly served: DecayingRate;
  waiters: Waiter[];
  lastCallAt: number;
  /** Time at which the caller that was refused last is told to retry. */
  retryAt: number;
}

/**
 * The daemons' side of quotas: lends this daemon's part of the rate to the owner of each pool, holds the credits that
 * the owners grant, and decides with them about calls.
 *
 * Handles organisations whose calls are spread unevenly over daemons, and owners that are killed, frozen or cut off.
 * Credits are requested ahead for the calls that are expected within a second. A call that finds none waits for an
 * owner's reply. An owner that doesn't reply is replaced when the loan to it has ended; meanwhile the other pool of
 * the organisation has half of the rate.
 */
export default class QuotaClient {
  private readonly lendings: readonly Lending[];

  private readonly organisations = new Map<OrganisationName, OrganisationState>();

  private readonly failedUntil = new Map<DaemonId, number>();

  /** @param services - What the client depends on. */
  public constructor(private readonly services: QuotaClientServices) {
    this.lendings = Array.from({ length: POOL_COUNT }, () => ({
      ...NO_OWNER,
      stampedAt: -Infinity,
      lentUntil: -Infinity,
      sequence: 0,
      sentAt: -Infinity,
      inFlight: false,
      isUrgent: false,
    }));
  }

  /** Organisations that have sent calls here lately. */
  public get uses(): readonly QuotaUse[] {
    const now = this.services.clock.now();
    return [...this.organisations.values()].map(({ name, quota, purses, arrivals, served }) => ({
      organisation: name,
      rate: quota.rate,
      burst: quota.burst,
      arriving: arrivals.read(now),
      served: served.read(now),
      held: purses.reduce((sum, { held, expiresAt }) => sum + (expiresAt > now ? held : 0), 0),
      owners: purses.map(({ pool }) => this.lendings[pool]!.owner ?? null),
    }));
  }

  /**
   * Takes a credit for a call.
   *
   * @param organisation - Organisation of the caller.
   * @param quota - Its quota.
   * @returns The credit, or a promise of it, which waits for an owner for a bounded time.
   * @throws QuotaError - The organisation is over its quota.
   * @throws NotRunError - This daemon has no part of the quota left, and can't reach the owners.
   */
  public take({ name }: Organisation, quota: Quota): Credit | Promise<Credit> {
    const now = this.services.clock.now();
    const state = this.stateOf(name, quota, now);
    state.arrivals.add(now);
    state.lastCallAt = now;
    const purse = state.waiters.length === 0 && QuotaClient.filledPurse(state, now);
    if (purse) return this.spend(state, purse, now);
    const open = state.purses.filter((candidate) => this.canAsk(candidate, now));
    const asked = open.find(({ pool }) => !this.isSilent(pool, now)) ?? open[0];
    if (!asked) throw this.refusal(state, now);
    return new Promise((resolve, reject) => {
      const until = now + MAX_WAIT_MS;
      const waiter = { purse: asked, isAsked: false, hasMoved: false, until, resolve, reject };
      state.waiters.push(waiter);
      this.askUrgently(asked.pool);
    });
  }

  /** Sends the requests that are due and refuses calls that have waited too long. Called every 50 ms. */
  public poll(): void {
    const now = this.services.clock.now();
    for (const state of this.organisations.values()) {
      this.refuseWaiters(state, now, ({ until }) => now >= until);
      for (const purse of state.purses) {
        if (this.isSilent(purse.pool, now)) this.moveWaiters(state, purse, now, false);
      }
      const isIdle = now - state.lastCallAt > FORGET_MS && state.waiters.length === 0;
      if (isIdle) this.organisations.delete(state.name);
    }
    const active = new Set<number>();
    for (const { purses, arrivals } of this.organisations.values()) {
      const isExpected = arrivals.read(now) >= MIN_DEMAND;
      for (const { pool, held } of purses) if (isExpected || held > 0) active.add(pool);
    }
    this.lendings.forEach((lending, pool) => {
      const interval = active.has(pool) ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS;
      if (lending.isUrgent || now - lending.sentAt >= interval) this.ask(pool, now);
    });
  }

  /**
   * @param request - A request that was sent.
   * @param reply - Its reply.
   */
  public receive(request: QuotaRequest, reply: QuotaReply): void {
    const lending = this.lendings[request.pool]!;
    if (!lending.inFlight || request.sequence !== lending.sequence) return;
    const now = this.services.clock.now();
    lending.inFlight = false;
    lending.failures = 0;
    if (request.release) {
      lending.lentUntil = now + reply.freeAfterMs;
      QuotaClient.leaveOwner(lending);
      this.ask(request.pool, now);
      return;
    }
    const isRestarted = lending.lent && lending.lent.session !== reply.session;
    // The process that the part was lent to has ended; only credits that it granted may be left.
    if (isRestarted) lending.lentUntil = Math.min(lending.lentUntil, now + CREDIT_MS);
    lending.lent = isRestarted ? null : { session: reply.session, stamp: reply.stamp };
    if (isRestarted) QuotaClient.leaveOwner(lending);
    lending.stampedAt = now;
    lending.share = reply.share;
    if (reply.lent) this.applyGrants(request, reply, lending.sentAt, now);
    else this.resetAsked(request.pool);
    if (!reply.lent || lending.isUrgent) this.ask(request.pool, now);
  }

  /**
   * @param request - A request that got no reply.
   * @param isRefused - Whether the owner has no process, or one that doesn't know the procedure.
   */
  public fail(request: QuotaRequest, isRefused: boolean): void {
    const lending = this.lendings[request.pool]!;
    if (!lending.inFlight || request.sequence !== lending.sequence) return;
    const now = this.services.clock.now();
    lending.inFlight = false;
    lending.failures += 1;
    this.resetAsked(request.pool);
    if (lending.failures < MAX_FAILURES && !isRefused) {
      lending.isUrgent = true;
      return;
    }
    const owner = lending.owner!;
    this.failedUntil.set(owner, now + FAILURE_BACKOFF_MS);
    this.services.onEvent({ kind: 'lost', pool: request.pool, owner });
    QuotaClient.leaveOwner(lending);
  }

  private stateOf(name: OrganisationName, quota: Quota, now: number): OrganisationState {
    let state = this.organisations.get(name);
    if (!state) {
      const [first, second] = poolsOf(name).map((pool): Purse => ({
        pool,
        held: 0,
        expiresAt: 0,
        blockedUntil: 0,
        waitMs: 0,
      }));
      state = {
        quota,
        name,
        purses: [first!, second!],
        arrivals: new DecayingRate(RATE_TIME_CONSTANT_MS),
        served: new DecayingRate(RATE_TIME_CONSTANT_MS),
        waiters: [],
        lastCallAt: now,
        retryAt: 0,
      };
      this.organisations.set(name, state);
    }
    if (state.quota.rate !== quota.rate || state.quota.burst !== quota.burst) {
      // Held credits follow a lower quota at once; the owners recompute theirs by themselves.
      const factor = Math.min(1, quota.rate / state.quota.rate, quota.burst / state.quota.burst);
      for (const purse of state.purses) purse.held = Math.floor(purse.held * (factor || 0));
      state.quota = quota;
    }
    return state;
  }

  private spend(state: OrganisationState, purse: Purse, now: number): Credit {
    Object.assign(purse, { held: purse.held - 1 });
    state.served.add(now);
    const lending = this.lendings[purse.pool]!;
    const { sequence } = lending;
    let isReturned = false;
    return {
      giveBack: () => {
        // Once the owner was told that the credit is spent, it may have granted another in its place.
        const isUnknown = lending.sequence === sequence;
        if (!isReturned && isUnknown) Object.assign(purse, { held: purse.held + 1 });
        isReturned = true;
      },
    };
  }

  private canAsk({ pool, blockedUntil }: Purse, now: number): boolean {
    return this.lendings[pool]!.owner !== undefined && now >= blockedUntil;
  }

  /** Whether the owner of a pool hasn't replied for longer than a round trip takes. */
  private isSilent(pool: number, now: number): boolean {
    const { inFlight, sentAt, failures } = this.lendings[pool]!;
    return failures > 0 || (inFlight && now - sentAt > SILENT_MS);
  }

  private askUrgently(pool: number): void {
    this.lendings[pool]!.isUrgent = true;
    this.ask(pool, this.services.clock.now());
  }

  /** Sends a request to the owner of a pool, unless one is in flight or there is no owner. */
  private ask(pool: number, now: number): void {
    const lending = this.lendings[pool]!;
    if (lending.inFlight || !this.services.isSettled()) return;
    const candidates = this.services.candidates(pool);
    const preferred = candidates.find((id) => now >= (this.failedUntil.get(id) ?? 0));
    if (lending.owner === undefined) {
      if (now < lending.lentUntil || preferred === undefined) return;
      lending.owner = preferred;
      this.services.onEvent({ kind: 'owner', pool, owner: preferred });
    }
    if (lending.owner === preferred) lending.movesSince = undefined;
    else lending.movesSince ??= now;
    const isRelease = now - (lending.movesSince ?? now) >= MOVE_DELAY_MS;
    const { known, self, session, send } = this.services;
    if (lending.lent && !isRelease) {
      lending.lentUntil = Math.max(lending.lentUntil, lending.stampedAt + LOAN_MS);
    }
    const claims = isRelease ? [] : this.claimsFor(pool, lending.lent !== null, now);
    lending.inFlight = true;
    lending.isUrgent = false;
    lending.sequence += 1;
    lending.sentAt = now;
    send(lending.owner, {
      from: self,
      session,
      pool,
      sequence: lending.sequence,
      known: known(),
      lent: lending.lent,
      release: isRelease,
      claims,
    });
  }

  /** Claims for all organisations that hold credits of a pool or need some. */
  private claimsFor(pool: number, isLent: boolean, now: number): readonly QuotaClaim[] {
    if (!isLent) return [];
    const claims: QuotaClaim[] = [];
    for (const { name, purses, waiters, arrivals } of this.organisations.values()) {
      const purse = purses.find((candidate) => candidate.pool === pool);
      if (!purse) continue;
      if (now >= purse.expiresAt) purse.held = 0;
      let needed = 0;
      for (const waiter of waiters) {
        if (waiter.purse !== purse) continue;
        waiter.isAsked = true;
        needed += 1;
      }
      const demand = arrivals.read(now);
      const ahead = (demand * AHEAD_FACTOR * ACTIVE_INTERVAL_MS) / MS_PER_SECOND / purses.length;
      const target = demand < MIN_DEMAND ? 0 : Math.ceil(ahead);
      const returned = purse.held > 2 * target ? purse.held - target : 0;
      purse.held -= returned;
      const wanted = Math.max(0, target - purse.held);
      if (purse.held + returned + needed + wanted === 0) continue;
      claims.push({ organisation: name, held: purse.held, returned, needed, wanted });
    }
    return claims;
  }

  private applyGrants(
    { pool, claims }: QuotaRequest,
    { grants }: QuotaReply,
    sentAt: number,
    now: number,
  ): void {
    claims.forEach(({ organisation, needed }, index) => {
      const grant = grants[index];
      const state = this.organisations.get(organisation);
      const purse = state?.purses.find((candidate) => candidate.pool === pool);
      if (!grant || !state || !purse) return;
      if (grant.renewed || purse.held === 0) purse.expiresAt = sentAt + CREDIT_MS;
      purse.held += grant.granted;
      purse.waitMs = grant.waitMs;
      if (grant.granted < needed) purse.blockedUntil = now + Math.max(MIN_BLOCK_MS, grant.waitMs);
      this.serveWaiters(state, now);
      this.moveWaiters(state, purse, now, true);
    });
  }

  private serveWaiters(state: OrganisationState, now: number): void {
    while (state.waiters.length > 0) {
      const purse = QuotaClient.filledPurse(state, now);
      if (!purse) return;
      const waiter = state.waiters.shift()!;
      waiter.resolve(this.spend(state, purse, now));
    }
  }

  /**
   * Lets the calls that got no credit from a pool ask the other one.
   *
   * @param isFinal - Whether calls that can't ask the other pool are refused, as this one has no credits.
   */
  private moveWaiters(state: OrganisationState, purse: Purse, now: number, isFinal: boolean): void {
    const other = state.purses.find((candidate) => candidate !== purse)!;
    const isOpen = this.canAsk(other, now);
    const isAsked = (waiter: Waiter) => waiter.purse === purse && waiter.isAsked;
    if (isFinal) {
      this.refuseWaiters(state, now, (waiter) => isAsked(waiter) && (waiter.hasMoved || !isOpen));
    }
    const moving = state.waiters.filter((waiter) => isAsked(waiter) && !waiter.hasMoved && isOpen);
    for (const waiter of moving) {
      Object.assign(waiter, { purse: other, isAsked: false, hasMoved: true });
    }
    if (moving.length > 0) this.askUrgently(other.pool);
  }

  private refuseWaiters(
    state: OrganisationState,
    now: number,
    isRefused: (waiter: Waiter) => boolean,
  ): void {
    const refused = state.waiters.filter(isRefused);
    if (refused.length === 0) return;
    const waiters = state.waiters.filter((waiter) => !refused.includes(waiter));
    Object.assign(state, { waiters });
    for (const { reject } of refused) reject(this.refusal(state, now));
  }

  /** Marks calls as not asked for, after a request that brought no answer to them. */
  private resetAsked(pool: number): void {
    for (const { waiters } of this.organisations.values()) {
      for (const waiter of waiters) {
        if (waiter.purse.pool !== pool) continue;
        waiter.isAsked = false;
        this.lendings[pool]!.isUrgent = true;
      }
    }
  }

  private static leaveOwner(lending: Lending): void {
    Object.assign(lending, NO_OWNER);
  }

  /**
   * Error for a refused call. Each caller is told a later time than the one before, at the rate at which calls get
   * credits here.
   */
  private refusal(state: OrganisationState, now: number): Error {
    const { quota, purses, served } = state;
    const share = purses.reduce((sum, { pool }) => sum + this.lendings[pool]!.share, 0);
    const isCut = share < MIN_CONTACT_SHARE * purses.length;
    this.services.onEvent({ kind: 'over', organisation: state.name, isCut });
    const perSecond = Math.max(quota.rate / this.services.known(), served.read(now));
    const waitMs = Math.min(...purses.map((purse) => purse.waitMs));
    const next = Math.max(state.retryAt + MS_PER_SECOND / perSecond, now + waitMs);
    const latest = Math.max(state.retryAt + MIN_RETRY_STEP_MS, now + MAX_RETRY_MS);
    const retryAfterMs = Math.min(next, latest) - now;
    Object.assign(state, { retryAt: now + retryAfterMs });
    if (!isCut) return new QuotaError('the organisation is over its quota', retryAfterMs);
    return new NotRunError(
      'too few daemons can be reached to share the quota of the organisation',
      {
        retryAfterMs,
      },
    );
  }

  private static filledPurse({ purses }: OrganisationState, now: number): Purse | undefined {
    const filled = purses.filter(({ held, expiresAt }) => held > 0 && expiresAt > now);
    return filled.sort((a, b) => b.held - a.held)[0];
  }
}
