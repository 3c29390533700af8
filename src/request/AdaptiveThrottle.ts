import type { Clock, OrganisationName, Random } from '../common/Types';
import maxMinLevel from './maxMinLevel';
import SlidingCounts from './SlidingCounts';

/** Length of the sliding window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/** Number of equal intervals into which the sliding window is divided. */
const INTERVALS = 10;
/**
 * Number of calls that are offered for each call that was admitted lately. It is above 1, so that more
 * calls are offered as soon as more are admitted.
 */
const OFFERS_PER_ADMITTED = 1.25;
/** Number of calls that is added to those of the window, so that a few refusals don't count as most. */
const MIN_CALLS = 10;
const RANDOM_STEPS = 1_000;

/**
 * Rejects part of the calls of one route at the daemon of their callers, while most of them are refused
 * for lack of slots.
 *
 * Handles an overload that outlasts its cause. A refusal costs the daemon beside an upstream about as
 * much as a call that it passes on, and a refused caller comes again. Without a limit at the source,
 * these daemons spend their processor time on refusals, so that the inner calls of their upstreams
 * wait, slots are held for longer, and even more calls are refused.
 *
 * Also handles one organisation that sends many times its usual rate: calls of organisations are rejected where they
 * exceed a max-min fair share of what would be offered, so that the others' calls are offered. Calls without an
 * organisation are rejected at random.
 *
 * @see {@link https://sre.google/sre-book/handling-overload/#eq2101}
 */
export default class AdaptiveThrottle {
  private readonly counts: SlidingCounts<'call' | 'admitted'>;

  private readonly arrivals: SlidingCounts<OrganisationName>;

  private readonly organisations = new Set<OrganisationName>();

  /** Calls in the window that an organisation may send, and the time until which this is used. */
  private level = Infinity;

  private levelUntil = -Infinity;

  private latestRetryAfterMs: number | undefined;

  /**
   * @param clock - Monotonic clock.
   * @param random - Random numbers that select the calls to reject.
   */
  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.counts = new SlidingCounts(() => WINDOW_MS, INTERVALS, clock);
    this.arrivals = new SlidingCounts(() => WINDOW_MS, INTERVALS, clock);
  }

  /**
   * Milliseconds after which an upstream expects to have a free slot, from the latest refusal;
   * `undefined` before the first.
   */
  public get retryAfterMs(): number | undefined {
    return this.latestRetryAfterMs;
  }

  /**
   * Decides whether to reject a call without offering it to an upstream. The result of a call that is not
   * rejected must be recorded.
   *
   * @param organisation - Organisation of the caller; `undefined` if it has none.
   */
  public shouldReject(organisation?: OrganisationName): boolean {
    const calls = this.counts.total('call');
    const admitted = this.counts.total('admitted');
    const share = (calls - OFFERS_PER_ADMITTED * admitted) / (calls + MIN_CALLS);
    const ownShare = organisation ? this.shareOf(organisation, share) : share;
    const isRejected = this.random.below(RANDOM_STEPS) < ownShare * RANDOM_STEPS;
    if (isRejected) this.counts.add('call');
    return isRejected;
  }

  /** Share of an organisation's calls to reject, if a share of all calls is to be rejected. */
  private shareOf(organisation: OrganisationName, share: number): number {
    this.arrivals.add(organisation);
    this.organisations.add(organisation);
    const now = this.clock.now();
    if (now >= this.levelUntil) {
      this.levelUntil = now + WINDOW_MS / INTERVALS;
      this.level = this.fairLevel(share);
    }
    if (share <= 0) return 0;
    return Math.max(0, 1 - this.level / this.arrivals.total(organisation));
  }

  private fairLevel(share: number): number {
    const demands: number[] = [];
    for (const name of this.organisations) {
      const demand = this.arrivals.total(name);
      if (demand === 0) this.organisations.delete(name);
      else demands.push(demand);
    }
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    return maxMinLevel(demands, total * (1 - Math.max(0, share)));
  }

  /** Records a call that got a slot. */
  public recordAdmitted(): void {
    this.counts.add('call');
    this.counts.add('admitted');
  }

  /**
   * Records a call that was refused for lack of slots.
   *
   * @param retryAfterMs - Milliseconds after which a slot is expected to be free.
   */
  public recordRefused(retryAfterMs: number): void {
    this.counts.add('call');
    this.latestRetryAfterMs = retryAfterMs;
  }
}
