import type { Clock, DaemonId, OrganisationName } from '../common/Types';
import type { Quota } from '../version/Types';
import { CREDIT_MS, GRANTING_MS, LOAN_MS, maxCredits, POOLS_PER_ORGANISATION } from './quotaPools';
import type { QuotaClaim, QuotaGrant, QuotaReply, QuotaRequest, QuotaTolerance } from './Types';

/** Share of the free credits that a daemon may take ahead of its calls; the rest is for calls that wait. */
const AHEAD_SHARE = 0.25;
const MS_PER_SECOND = 1_000;
/** Longest time in milliseconds that a reply states until there is a credit. */
const MAX_WAIT_MS = 10_000;

/** The part of the rate that one daemon has lent to the owner; times are of the owner's clock, in ms. */
interface Loan {
  session: number;
  sequence: number;
  known: number;
  /** Time since which the part is lent without a gap. */
  since: number;
  until: number;
}

/** Credits that one daemon holds. */
interface Holding {
  count: number;
  expiresAt: number;
}

interface Account {
  /** Credits that can be granted. */
  level: number;
  /** Time up to which the rate has been added to `level`. */
  filledAt: number;
  readonly holdings: Map<DaemonId, Holding>;
}

/** Configuration that a pool depends on, and what its owner knows of the members. */
export interface CreditPoolServices {
  readonly clock: Clock;
  /** Random number of this process. */
  readonly session: number;
  readonly quotaOf: (organisation: OrganisationName) => Quota | undefined;
  readonly tolerance: () => QuotaTolerance;
  /** Number of daemons known here, including those that can't be reached. */
  readonly known: () => number;
}

/**
 * The owner's side of a credit pool: adds the part of the rate that is lent to it to a bucket for each organisation,
 * and grants credits from it.
 *
 * Handles callers that move from daemon to daemon within a second, and groups of daemons that don't reach each other.
 * Each daemon has an equal part of every organisation's rate and burst, and lends it to one owner at a time, for a
 * time on that owner's clock; so whichever daemons believe to be owners, the parts lent to them are at most one
 * whole. Credits that daemons hold count against the bucket's capacity until they are reported as spent or have
 * expired, so that no more than the capacity can be spent at once.
 */
export default class CreditPool {
  private readonly loans = new Map<DaemonId, Loan>();

  private readonly accounts = new Map<OrganisationName, Account>();

  /** Number of loans that permit grants now. */
  private lenders = 0;

  /** Number of daemons among which the rate is divided: the most that the owner or a lender knows. */
  private known = 1;

  /** @param services - Configuration and members. */
  public constructor(private readonly services: CreditPoolServices) {}

  /** Share of the rate that is lent to this owner, 0 to 1. */
  public get share(): number {
    return this.lenders / this.known;
  }

  /** Number of organisations with state here. */
  public get size(): number {
    return this.accounts.size;
  }

  /** Forgets all loans and credits, after the clock has jumped. Daemons lend again with their next requests. */
  public clear(): void {
    this.loans.clear();
    this.accounts.clear();
  }

  /**
   * @param organisation - Name of an organisation.
   * @returns Credits that can be granted, and credits that daemons hold; `undefined` if none were asked for lately.
   */
  public creditsOf(
    organisation: OrganisationName,
  ): { readonly free: number; readonly held: number } | undefined {
    const account = this.accounts.get(organisation);
    if (!account) return undefined;
    return { free: account.level, held: CreditPool.heldIn(account, this.services.clock.now()) };
  }

  /**
   * @param request - Request of a daemon, which may be this one.
   * @returns Reply with the credits that were granted.
   */
  public handle(request: QuotaRequest): QuotaReply {
    const { clock, session } = this.services;
    const now = clock.now();
    const { from } = request;
    const reply = { session, stamp: now, lent: false, share: 0, freeAfterMs: 0, grants: [] };
    const previous = this.loans.get(from);
    if (previous?.session === request.session && previous.sequence >= request.sequence) {
      return reply;
    }
    if (request.release) return { ...reply, freeAfterMs: this.release(request, now) };
    this.renewLoan(request, previous, now);
    this.countLenders(now);
    const isLent = (this.loans.get(from)?.until ?? 0) > now;
    if (!isLent) return { ...reply, share: this.share };
    const grants = request.claims.map((claim) => this.grant(from, claim, now));
    return { ...reply, lent: true, share: this.share, grants };
  }

  /** Evicts loans that have ended and the accounts of organisations whose bucket is full again. */
  public sweep(): void {
    const now = this.services.clock.now();
    this.countLenders(now);
    for (const [organisation, account] of this.accounts) {
      const quota = this.services.quotaOf(organisation);
      if (quota) this.fill(account, quota, now);
      const isFull = quota && account.level >= this.capacity(quota) && account.holdings.size === 0;
      if (!quota || isFull) this.accounts.delete(organisation);
    }
    // The sequence number is kept for as long as an outdated request could renew the loan.
    for (const [daemon, { until }] of this.loans) {
      if (until + LOAN_MS <= now) this.loans.delete(daemon);
    }
  }

  private renewLoan(request: QuotaRequest, previous: Loan | undefined, now: number): void {
    const { lent, known, session, sequence, from } = request;
    const isOwn = lent?.session === this.services.session;
    const until = isOwn ? Math.min(lent.stamp, now) + GRANTING_MS : -Infinity;
    // A restarted daemon doesn't hold the credits of its previous process.
    if (previous && previous.session !== session) this.dropHoldings(from);
    const continues = previous !== undefined && previous.until > now;
    if (previous && !continues) this.fillAll(now);
    if (previous ?? until > now) {
      const since = continues ? previous.since : now;
      this.loans.set(from, { session, sequence, known, since, until });
    }
  }

  /**
   * Gives a part back. The credits that its daemon holds stay counted until they expire.
   *
   * @returns Milliseconds after which no credit depends on the part any more.
   */
  private release({ from, session, sequence, known }: QuotaRequest, now: number): number {
    this.fillAll(now);
    this.loans.set(from, { session, sequence, known, since: now, until: now });
    this.countLenders(now);
    const isCovered = [...this.accounts].every(([organisation, account]) => {
      const quota = this.services.quotaOf(organisation);
      return !quota || this.clamp(account, quota, now) >= 0;
    });
    return isCovered ? 0 : CREDIT_MS;
  }

  private grant(daemon: DaemonId, claim: QuotaClaim, now: number): QuotaGrant {
    const quota = this.services.quotaOf(claim.organisation);
    if (!quota) return { granted: 0, renewed: false, waitMs: MAX_WAIT_MS };
    const account = this.accountOf(claim.organisation);
    this.fill(account, quota, now);
    const previous = account.holdings.get(daemon);
    account.level += Math.max(0, Math.min(claim.returned, (previous?.count ?? 0) - claim.held));
    account.holdings.set(daemon, { count: claim.held, expiresAt: now + CREDIT_MS });
    const renewed = this.clamp(account, quota, now) >= 0;
    const needed = Math.min(claim.needed, Math.floor(account.level));
    const ahead = Math.min(claim.wanted, Math.floor((account.level - needed) * AHEAD_SHARE));
    const granted = needed + ahead;
    account.level -= granted;
    const expiresAt = renewed ? now + CREDIT_MS : (previous?.expiresAt ?? now + CREDIT_MS);
    if (claim.held + granted === 0) account.holdings.delete(daemon);
    else account.holdings.set(daemon, { count: claim.held + granted, expiresAt });
    const missing = Math.max(0, 1 - account.level);
    const waitMs = missing === 0 ? 0 : missing / (this.share * CreditPool.ratePerMs(quota));
    return { granted, renewed, waitMs: Math.ceil(Math.min(MAX_WAIT_MS, waitMs)) };
  }

  /** Account of an organisation; a new one is filled as if it had existed since the loans began. */
  private accountOf(organisation: OrganisationName): Account {
    let account = this.accounts.get(organisation);
    if (!account) {
      account = { level: 0, filledAt: -Infinity, holdings: new Map() };
      this.accounts.set(organisation, account);
    }
    return account;
  }

  private fillAll(now: number): void {
    for (const [organisation, account] of this.accounts) {
      const quota = this.services.quotaOf(organisation);
      if (quota) this.fill(account, quota, now);
    }
  }

  /** Adds the rate of each lent part for the time that it was lent since the last addition. */
  private fill(account: Account, quota: Quota, now: number): void {
    let lentMs = 0;
    for (const { since, until } of this.loans.values()) {
      lentMs += Math.max(0, Math.min(now, until) - Math.max(account.filledAt, since));
    }
    const level = account.level + (lentMs * CreditPool.ratePerMs(quota)) / this.known;
    Object.assign(account, { level, filledAt: now });
    this.clamp(account, quota, now);
  }

  /**
   * Limits the level, so that it and the held credits don't exceed the capacity.
   *
   * @returns Capacity that is left beside the held credits; negative if these exceed it.
   */
  private clamp(account: Account, quota: Quota, now: number): number {
    const room = this.capacity(quota) - CreditPool.heldIn(account, now);
    Object.assign(account, { level: Math.max(0, Math.min(account.level, room)) });
    return room;
  }

  private capacity(quota: Quota): number {
    return (maxCredits(quota, this.services.tolerance()) / POOLS_PER_ORGANISATION) * this.share;
  }

  private countLenders(now: number): void {
    this.lenders = 0;
    this.known = Math.max(1, this.services.known());
    for (const { known, until } of this.loans.values()) {
      if (until <= now) continue;
      this.lenders += 1;
      this.known = Math.max(this.known, known);
    }
    this.known = Math.max(this.known, this.lenders);
  }

  private dropHoldings(daemon: DaemonId): void {
    for (const { holdings } of this.accounts.values()) holdings.delete(daemon);
  }

  /** Rate at which a pool gets credits if all parts are lent to it, in credits per millisecond. */
  private static ratePerMs({ rate }: Quota): number {
    return rate / POOLS_PER_ORGANISATION / MS_PER_SECOND;
  }

  private static heldIn({ holdings }: Account, now: number): number {
    let sum = 0;
    for (const [daemon, { count, expiresAt }] of holdings) {
      if (expiresAt > now) sum += count;
      else holdings.delete(daemon);
    }
    return sum;
  }
}
