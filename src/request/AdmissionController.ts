import type { Clock, OrganisationName, RouteName } from '../common/Types';
import type { Priority, Service } from '../version/Types';
import NotRunError from './NotRunError';
import OrganisationUse from './OrganisationUse';
import ServedShares from './ServedShares';
import ServiceTimes from './ServiceTimes';
import SlotReserve from './SlotReserve';
import type { CancelSignal } from './Types';

/** Share of the configured slots that an upstream gets at the start of its warm-up. */
const WARM_UP_INITIAL_SHARE = 0.25;
/**
 * A call that has run for this multiple of its expected duration is overdue: its slot is reused.
 */
const OVERDUE_FACTOR = 5;
/** Minimum run time, in milliseconds, before a call counts as overdue and its slot is reused. */
const MIN_OVERDUE_MS = 800;
/**
 * An upstream counts as silent when each of its slots holds a call that has run for this multiple of its
 * expected duration; upstreams that are slow for a while run 2.5 times slower.
 */
const SILENT_FACTOR = 3;
/** Minimum run time of all running calls, in milliseconds, before the upstream counts as silent. */
const MIN_SILENT_MS = 250;
/** Why a call isn't left to wait at a silent upstream. */
const SILENT_REASON = 'the upstream has fallen silent';
/**
 * A queued call that can't meet its latency objective is refused after this multiple of the wait
 * that was predicted when it was queued.
 */
const LATE_CALL_WAIT_FACTOR = 2;
/**
 * Minimum time, in milliseconds, that a call which can't meet its latency objective may stay
 * queued.
 */
const MIN_LATE_CALL_WAIT_MS = 100;
/**
 * Time, in milliseconds, that a call stays queued once it can no longer meet its latency objective.
 */
const MISSED_OBJECTIVE_GRACE_MS = 250;
/**
 * Maximum predicted wait for a slot, in milliseconds, at which a call that can't meet its latency
 * objective is still queued.
 */
const MAX_LATE_CALL_WAIT_MS = 500;
/** Interval, in milliseconds, between checks of the queue for expired calls and free slots. */
const QUEUE_CHECK_INTERVAL_MS = 50;

/**
 * A call is expected to meet its latency objective if it would do so even with this multiple of the
 * average duration of such calls.
 */
const OBJECTIVE_MARGIN_FACTOR = 1.4;

/**
 * Calls that take up to this fraction of the mean duration are served first: they hardly delay
 * other calls, and the calls that made them occupy slots of other upstreams until they get a
 * response.
 */
const SHORT_CALL_FRACTION = 0.6;
/**
 * Step to which the share of a route's recent calls that got a slot is rounded down; routes with
 * the same rounded share are equal in the order of the queue.
 */
const SERVED_SHARE_STEP = 0.1;

/** Slots, queue length and warm-up time of one upstream. */
export type UpstreamLimits = Pick<Service, 'slots' | 'queue' | 'warmUpMs'>;

/**
 * Releases a slot.
 *
 * @param used - False if the call was never sent, so that its duration is not recorded.
 */
export type Release = (used?: boolean) => void;

/** The properties of a call that determine its queue position; times are monotonic, in ms. */
export interface AdmissionRequest {
  readonly route: RouteName;
  readonly priority: Priority;
  /** Organisation of the caller; `undefined` if it has none. */
  readonly organisation?: OrganisationName | undefined;
  /** Time after which the caller no longer wants a response. */
  readonly deadline: number;
  /** End of the latency objective: a response until then is as useful as an immediate one. */
  readonly objective: number;
  /** Number of attempts made for the call, with this one; 1 if it isn't given. */
  readonly attempts?: number;
}

/** Load of an upstream as its daemon reports it to other daemons. */
export interface SlotLoad {
  /** Number of calls that hold a slot. */
  readonly running: number;
  /** Number of calls that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** Predicted time, in milliseconds, that a call which arrives now waits for a slot. */
  readonly waitMs: number;
}

interface QueuedCall {
  readonly request: AdmissionRequest;
  readonly durationMs: number;
  /** Monotonic time in ms after which the call is refused. */
  readonly expiresAt: number;
  readonly grant: () => void;
  readonly refuse: (reason: string) => void;
}

/** The properties by which queued and arriving calls are ordered. */
type Candidate = Pick<QueuedCall, 'request' | 'durationMs'>;

interface RunningCall {
  readonly startedAt: number;
  readonly isShort: boolean;
  readonly overdueAt: number;
  /** Monotonic time in ms from which the call is evidence that the upstream is silent. */
  readonly silentAt: number;
}

/**
 * Admission control for the upstream beside this daemon: a fixed number of slots and a bounded
 * priority queue.
 *
 * Handles overload that lasts for seconds, during which a first-come, first-served queue would make
 * every call late. The queue orders calls as follows:
 *
 * 1. Short calls, as calls at other upstreams wait for them.
 * 2. Calls that can still meet their objective.
 * 3. Calls of a higher priority.
 * 4. Calls of the organisation that got less slot time lately; only between calls of two organisations, so that
 *    one that sends many times its usual rate doesn't crowd out the others.
 * 5. Calls of the route of which a smaller share was served.
 * 6. Calls with the earlier objective.
 *
 * Long calls leave as many slots free as {@link SlotReserve} keeps for short ones.
 *
 * A call that can't meet its objective is queued only if its predicted wait is short. A call that
 * would miss its deadline is refused on arrival, or as soon as later arrivals with precedence make
 * it miss the deadline.
 *
 * While the upstream is silent, first attempts aren't left to wait where the service has other upstreams: they
 * are refused as not run, so that their daemons send them elsewhere.
 *
 * An upstream may never respond to calls that it can't queue itself, so it is not sent more calls
 * than it has slots. The exception is long overdue calls, whose responses are probably lost: their
 * slots are reused.
 */
export default class AdmissionController {
  private limits: UpstreamLimits;

  private readonly serviceTimes = new ServiceTimes();

  private readonly servedShares = new ServedShares();

  private readonly organisationUse = new OrganisationUse();

  private readonly reserve = new SlotReserve();

  private readonly runningCalls = new Set<RunningCall>();

  private queue: QueuedCall[] = [];

  private checkTimer: NodeJS.Timeout | undefined;

  /**
   * @param limits - Slots, queue length and warm-up time.
   * @param clock - Monotonic clock.
   * @param servingSince - Monotonic time in ms at which the upstream started to serve.
   * @param hasOthers - Whether the service has other upstreams, to which calls can move.
   */
  public constructor(
    limits: UpstreamLimits,
    private readonly clock: Clock,
    private readonly servingSince: number,
    private readonly hasOthers: () => boolean = () => false,
  ) {
    this.limits = limits;
  }

  /** @param limits - Slots, queue length and warm-up time in the new configuration version. */
  public setLimits(limits: UpstreamLimits): void {
    this.limits = limits;
    this.grantFreeSlots();
  }

  /** Number of running and waiting calls divided by the number of slots. */
  public get load(): number {
    return (this.running + this.waiting) / this.availableSlots();
  }

  /** Number of calls that hold a slot. */
  public get running(): number {
    return this.runningCalls.size;
  }

  /** Number of calls that wait for a slot. */
  public get waiting(): number {
    return this.queue.length;
  }

  /** Number of slots that long calls must leave free for short ones. */
  public get reserved(): number {
    return this.reserve.size(this.availableSlots());
  }

  /**
   * @param request - A call.
   * @returns Whether it gets a slot immediately if it arrives now.
   */
  public hasFreeSlot(request: AdmissionRequest): boolean {
    if (this.queue.length > 0) return false;
    return this.mayStart({ request, durationMs: this.expectedDurationMs(request) });
  }

  /**
   * Time in ms for which the upstream has been silent: since each of its slots holds a call that should
   * have ended long ago; 0 while it isn't silent.
   */
  public get silentMs(): number {
    if (this.runningCalls.size < this.availableSlots()) return 0;
    let since = 0;
    for (const { silentAt } of this.runningCalls) since = Math.max(since, silentAt);
    return Math.max(0, this.clock.now() - since);
  }

  /** Load of the upstream, by which other daemons choose upstreams for their calls. */
  public get slotLoad(): SlotLoad {
    const slots = this.availableSlots();
    const isFree = this.queue.length === 0 && this.occupiedSlots() < slots;
    const waitMs = isFree ? 0 : this.predictedWaitMs(this.queue);
    return { running: this.running, waiting: this.waiting, slots, waitMs };
  }

  /**
   * @param request - Route and priority of a call.
   * @returns Number of calls that hold a slot or would get one before it, and of slots that it must leave free.
   */
  public callsAhead({ route, priority }: Pick<AdmissionRequest, 'route' | 'priority'>): number {
    const durationMs = this.serviceTimes.averageMs(route);
    if (durationMs === undefined) return this.running + this.waiting;
    const isShort = this.isShort({ durationMs });
    let ahead = this.running;
    if (!isShort) {
      const idle = Math.max(0, this.availableSlots() - this.occupiedSlots());
      ahead += Math.min(idle, this.reserved);
    }
    for (const entry of this.queue) {
      if (this.isShort(entry) || (!isShort && entry.request.priority <= priority)) ahead += 1;
    }
    return ahead;
  }

  /**
   * @param route - A route.
   * @returns Average time in ms that calls of the route hold a slot; `undefined` before the first.
   */
  public durationMs(route: RouteName): number | undefined {
    return this.serviceTimes.averageMs(route);
  }

  /** Average time in ms that calls of all routes hold a slot; `undefined` before the first. */
  public get meanDurationMs(): number | undefined {
    return this.serviceTimes.meanMs || undefined;
  }

  /**
   * Waits for a slot.
   *
   * @param request - The call's route, priority, deadline and objective.
   * @param signal - Cancels the wait.
   * @returns A function that releases the slot.
   * @throws NotRunError - The queue is full, the wait would be too long, or the caller left.
   */
  public acquire(request: AdmissionRequest, signal: CancelSignal): Promise<Release> {
    if (signal.aborted) return Promise.reject(this.notRunError('the caller left before it came'));
    if (this.hasFreeSlot(request)) return Promise.resolve(this.takeSlot(request));
    const durationMs = this.expectedDurationMs(request);
    const refusal = this.refusalReason(request, durationMs);
    if (refusal) {
      this.servedShares.record(request.route, false);
      return Promise.reject(this.notRunError(refusal));
    }
    return this.enqueue(request, durationMs, signal);
  }

  /** @param reason - Why all queued calls are refused; reaches their callers. */
  public refuseQueued(reason: string): void {
    const refused = this.queue;
    this.queue = [];
    for (const entry of refused) entry.refuse(reason);
  }

  private enqueue(
    request: AdmissionRequest,
    durationMs: number,
    signal: CancelSignal,
  ): Promise<Release> {
    return new Promise((resolve, reject) => {
      const queuedAt = this.clock.now();
      const waitsForLongCall = this.isShort({ durationMs }) && this.runsLongCall();
      const recordWait = () => {
        if (!waitsForLongCall) return;
        this.reserve.recordWait(this.clock.now() - queuedAt, this.availableSlots());
      };
      const onAbort = () => {
        this.queue = this.queue.filter((entry) => entry.request !== request);
        recordWait();
        reject(this.notRunError('the caller left while it waited'));
      };
      const leaveQueue = () => {
        signal.removeEventListener('abort', onAbort);
        recordWait();
      };
      const entry: QueuedCall = {
        request,
        durationMs,
        expiresAt: this.expiryTime(request, durationMs),
        grant: () => {
          leaveQueue();
          resolve(this.takeSlot(request));
        },
        refuse: (reason) => {
          leaveQueue();
          this.servedShares.record(request.route, false);
          reject(this.notRunError(reason));
        },
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.queue.push(entry);
      this.evictOverflow();
      this.grantFreeSlots();
    });
  }

  private runsLongCall(): boolean {
    for (const { isShort } of this.runningCalls) if (!isShort) return true;
    return false;
  }

  private takeSlot(request: AdmissionRequest): Release {
    const startedAt = this.clock.now();
    const expectedMs = this.expectedDurationMs(request);
    // The expected duration is 0 before the first call has ended; no call counts as overdue then.
    const overdueMs =
      expectedMs > 0 ? Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expectedMs) : Infinity;
    const silentMs =
      expectedMs > 0 ? Math.max(MIN_SILENT_MS, SILENT_FACTOR * expectedMs) : Infinity;
    const running: RunningCall = {
      startedAt,
      isShort: this.isShort({ durationMs: expectedMs }),
      overdueAt: startedAt + overdueMs,
      silentAt: startedAt + silentMs,
    };
    this.runningCalls.add(running);
    const { organisation } = request;
    if (organisation) this.organisationUse.add(organisation, expectedMs, startedAt);
    this.servedShares.record(request.route, true);
    return (used = true) => {
      if (!this.runningCalls.delete(running)) return;
      const endedAt = this.clock.now();
      if (used) this.serviceTimes.record(request.route, endedAt - startedAt, endedAt);
      this.grantFreeSlots();
    };
  }

  /**
   * Refuses queued calls whose expiry time has passed and grants the free slots to other queued
   * calls.
   */
  private grantFreeSlots(): void {
    this.refuseExpired();
    this.refuseMovable();
    while (this.queue.length > 0 && this.occupiedSlots() < this.availableSlots()) {
      const next = this.firstInOrder();
      if (!this.mayStart(next)) break;
      this.removeFromQueue(next);
      next.grant();
    }
    const isWithheld = this.queue.length > 0;
    const idleSlots = isWithheld ? Math.max(0, this.availableSlots() - this.occupiedSlots()) : 0;
    this.reserve.setIdle(idleSlots, this.clock.now());
    this.scheduleCheck();
  }

  /** Whether a slot is free that isn't kept for calls other than this one. */
  private mayStart(call: Candidate): boolean {
    const free = this.availableSlots() - this.occupiedSlots();
    if (free <= 0) return false;
    return this.isShort(call) || free > this.reserved;
  }

  private firstInOrder(): QueuedCall {
    const now = this.clock.now();
    return this.queue.reduce((best, entry) => (this.precedes(entry, best, now) ? entry : best));
  }

  /** Whether call `a` gets a slot before call `b`, by the order listed in the class comment. */
  private precedes(a: Candidate, b: Candidate, now: number): boolean {
    const shortDifference = Number(this.isShort(a)) - Number(this.isShort(b));
    if (shortDifference !== 0) return shortDifference > 0;
    const aMeetsObjective = AdmissionController.meetsObjective(a, now);
    const bMeetsObjective = AdmissionController.meetsObjective(b, now);
    if (aMeetsObjective !== bMeetsObjective) return aMeetsObjective;
    if (a.request.priority !== b.request.priority) return a.request.priority < b.request.priority;
    const useDifference = this.useDifference(a, b, now);
    if (useDifference !== 0) return useDifference < 0;
    const shareDifference = this.servedShareStep(a) - this.servedShareStep(b);
    if (shareDifference !== 0) return shareDifference < 0;
    return a.request.objective < b.request.objective;
  }

  /** Difference of the slot time that the organisations of two calls got; 0 if it doesn't apply. */
  private useDifference(a: Candidate, b: Candidate, now: number): number {
    const first = a.request.organisation;
    const second = b.request.organisation;
    if (!first || !second || first === second) return 0;
    return this.organisationUse.read(first, now) - this.organisationUse.read(second, now);
  }

  private isShort({ durationMs }: Pick<Candidate, 'durationMs'>): boolean {
    return durationMs <= SHORT_CALL_FRACTION * this.serviceTimes.meanMs;
  }

  private servedShareStep({ request }: Candidate): number {
    return Math.floor(this.servedShares.shareOf(request.route) / SERVED_SHARE_STEP);
  }

  /** Why an arriving call is refused; `undefined` if it may be queued. */
  private refusalReason(request: AdmissionRequest, durationMs: number): string | undefined {
    if (this.shouldMove(request)) return SILENT_REASON;
    const now = this.clock.now();
    const arrival: Candidate = { request, durationMs };
    const ahead = this.queue.filter((entry) => !this.precedes(arrival, entry, now));
    if (this.queue.length >= this.limits.queue) {
      if (ahead.length === this.queue.length) return 'the queue is full';
    }
    const waitMs = this.predictedWaitMs(ahead);
    if (now + waitMs + durationMs > request.deadline) return 'the wait would pass the deadline';
    const isLate =
      !this.isShort(arrival) && !AdmissionController.meetsObjective(arrival, now + waitMs);
    if (isLate && waitMs > MAX_LATE_CALL_WAIT_MS) return 'the wait would pass the objective by far';
    return undefined;
  }

  /**
   * Whether a call is better off at another upstream, as this one is silent. A call that was sent elsewhere
   * before waits here: a second refusal would be final, also where all upstreams are slow at once.
   */
  private shouldMove({ attempts = 1 }: AdmissionRequest): boolean {
    return attempts <= 1 && this.silentMs > 0 && this.hasOthers();
  }

  private expectedDurationMs({ route, objective }: AdmissionRequest): number {
    const now = this.clock.now();
    return this.serviceTimes.expectedMs(route, objective - now, now);
  }

  /** Monotonic time in ms after which a call that is queued now is refused. */
  private expiryTime(request: AdmissionRequest, durationMs: number): number {
    const now = this.clock.now();
    const latestStart = request.deadline - durationMs;
    if (this.isShort({ durationMs })) return latestStart;
    if (AdmissionController.meetsObjective({ request, durationMs }, now)) {
      const latestStartInTime = request.objective - OBJECTIVE_MARGIN_FACTOR * durationMs;
      return Math.min(latestStart, latestStartInTime + MISSED_OBJECTIVE_GRACE_MS);
    }
    const predictedMs = this.predictedWaitMs(this.queue);
    return Math.min(
      latestStart,
      now + Math.max(MIN_LATE_CALL_WAIT_MS, LATE_CALL_WAIT_FACTOR * predictedMs),
    );
  }

  /** Refuses queued calls whose expiry time has passed. */
  private refuseExpired(): void {
    const now = this.clock.now();
    for (const entry of this.queue.filter(({ expiresAt }) => now > expiresAt)) {
      this.removeFromQueue(entry);
      entry.refuse('no slot came free in time');
    }
  }

  /** Refuses queued calls that are better off at another upstream. */
  private refuseMovable(): void {
    for (const entry of this.queue.filter(({ request }) => this.shouldMove(request))) {
      this.removeFromQueue(entry);
      entry.refuse(SILENT_REASON);
    }
  }

  /** Refuses the calls that are last in order while the queue exceeds its limit. */
  private evictOverflow(): void {
    const now = this.clock.now();
    while (this.queue.length > this.limits.queue) {
      const last = this.queue.reduce((worst, entry) =>
        this.precedes(entry, worst, now) ? worst : entry,
      );
      this.removeFromQueue(last);
      last.refuse('calls of a higher rank took its place');
    }
  }

  private scheduleCheck(): void {
    if (this.queue.length === 0 || this.checkTimer) return;
    this.checkTimer = setTimeout(() => {
      this.checkTimer = undefined;
      this.grantFreeSlots();
    }, QUEUE_CHECK_INTERVAL_MS);
    this.checkTimer.unref();
  }

  /** Predicted time in ms until a call that is queued behind the calls `ahead` gets a slot. */
  private predictedWaitMs(ahead: readonly QueuedCall[]): number {
    const aheadMs = ahead.reduce((sum, { durationMs }) => sum + durationMs, 0);
    return (this.serviceTimes.meanMs + aheadMs) / this.availableSlots();
  }

  private removeFromQueue(entry: QueuedCall): void {
    const index = this.queue.indexOf(entry);
    if (index >= 0) this.queue.splice(index, 1);
  }

  private notRunError(reason: string): NotRunError {
    return new NotRunError(reason, { retryAfterMs: this.slotLoad.waitMs });
  }

  private static meetsObjective({ request, durationMs }: Candidate, start: number): boolean {
    return start + OBJECTIVE_MARGIN_FACTOR * durationMs <= request.objective;
  }

  /**
   * Number of slots in use. Overdue calls aren't counted, as their slots are reused; each slot is
   * reused only once, so at most as many overdue calls are left out as there are slots.
   */
  private occupiedSlots(): number {
    const now = this.clock.now();
    let overdue = 0;
    for (const { overdueAt } of this.runningCalls) if (now > overdueAt) overdue += 1;
    return this.runningCalls.size - Math.min(overdue, this.limits.slots);
  }

  /** Number of slots that may be used now; it grows during the upstream's warm-up. */
  private availableSlots(): number {
    const { slots, warmUpMs } = this.limits;
    const ageMs = this.clock.now() - this.servingSince;
    if (ageMs >= warmUpMs) return slots;
    return Math.max(1, Math.floor(slots * Math.max(WARM_UP_INITIAL_SHARE, ageMs / warmUpMs)));
  }
}
