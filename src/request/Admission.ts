import type { Clock, RouteName } from '../common/Types';
import type { Priority, Service } from '../version/Types';
import NotRunError from './NotRunError';
import ServedShares from './ServedShares';
import ServiceTimes from './ServiceTimes';
import type { CancelSignal } from './Types';

/** Share of its slots that a cold upstream starts with. */
const COLD_SHARE = 0.25;
/** A call that has run this many times its expected duration no longer blocks its slot. */
const OVERDUE_FACTOR = 5;
/** Shortest run, in milliseconds, after which a call counts as overdue. */
const MIN_OVERDUE_MS = 800;
/** A late call gives up its place after this many times the wait that it was promised. */
const LATE_PATIENCE = 2;
/** Shortest time, in milliseconds, that a late call keeps its place. */
const MIN_LATE_PATIENCE_MS = 100;
/** Time, in milliseconds, that a call keeps its place after it could last have been in time. */
const OVERTAKEN_PATIENCE_MS = 250;
/** Longest wait, in milliseconds, that a call which can't meet its objective is let into. */
const MAX_LATE_WAIT_MS = 500;
/** How often waiting calls are looked through, in milliseconds. */
const REVIEW_MS = 50;

/** A call counts as in time if it would be even after this many average durations. */
const IN_TIME_FACTOR = 1.4;

/**
 * Calls up to this part of the mean duration go first: they hardly delay others, and those that made
 * them hold a slot elsewhere until they are answered.
 */
const SHORT_PART = 0.6;
/** Served shares within a step of this size count as equal. */
const SHARE_STEP = 0.1;

/** Limits of one upstream. */
export type UpstreamLimits = Pick<Service, 'slots' | 'queue' | 'warmUpMs'>;

/**
 * Ends the use of a slot.
 *
 * @param used - False where the call was never sent, so that its time tells nothing.
 */
export type Release = (used?: boolean) => void;

/** What decides when a call gets its slot; times are monotonic, in milliseconds. */
export interface AdmissionRequest {
  readonly route: RouteName;
  readonly priority: Priority;
  /** By when the caller wants the answer at all. */
  readonly deadline: number;
  /** By when the answer is as useful as an immediate one. */
  readonly objective: number;
}

/** What the daemon beside an upstream tells of it; times in milliseconds. */
export interface SlotLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** What a call that arrives now would wait for a slot. */
  readonly waitMs: number;
}

interface Waiting {
  readonly request: AdmissionRequest;
  readonly durationMs: number;
  /** When it gives up its place. */
  readonly patience: number;
  readonly start: () => void;
  readonly refuse: (reason: string) => void;
}

/** What a call's place among others is judged by. */
type Candidate = Pick<Waiting, 'request' | 'durationMs'>;

interface Running {
  readonly startedAt: number;
  readonly overdueAt: number;
}

/**
 * Hands out the slots of the upstream beside this daemon, with a queue in front.
 *
 * Load it answers: arrivals above what the slots can finish, for seconds. First come, first served
 * makes every call late then. Here short calls go first, as other calls wait for them; then those
 * that can still meet their objective, by priority, then by the smaller share that their route was
 * served of, then by the earlier objective. One that can't meet it is let in only for a short wait;
 * one that would miss its deadline is refused on arrival, or as soon as later arrivals that go
 * before it make it so.
 * An upstream that never answers what it can't queue is never sent more than its slots, but for
 * calls that are long overdue, whose answers are likely lost.
 */
export default class Admission {
  private limits: UpstreamLimits;

  private readonly times = new ServiceTimes();

  private readonly shares = new ServedShares();

  private readonly active = new Set<Running>();

  private queue: Waiting[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param limits - Slots and queue length.
   * @param clock - Source of time.
   * @param servingSince - Monotonic time in ms at which the upstream began to serve.
   */
  public constructor(
    limits: UpstreamLimits,
    private readonly clock: Clock,
    private readonly servingSince: number,
  ) {
    this.limits = limits;
  }

  /** @param limits - The limits in a new version. */
  public setLimits(limits: UpstreamLimits): void {
    this.limits = limits;
    this.fill();
  }

  /** Calls running and waiting, in parts of the slots. */
  public get load(): number {
    return (this.running + this.waiting) / this.slots();
  }

  /** Calls that hold a slot. */
  public get running(): number {
    return this.active.size;
  }

  /** Calls that wait for a slot. */
  public get waiting(): number {
    return this.queue.length;
  }

  /** Whether a call that arrives now gets a slot at once. */
  public get hasFreeSlot(): boolean {
    return this.queue.length === 0 && this.occupied() < this.slots();
  }

  /** What callers' daemons place their calls by. */
  public get slotLoad(): SlotLoad {
    const slots = this.slots();
    const waitMs = this.occupied() < slots ? 0 : this.waitFor(this.queue);
    return { running: this.running, waiting: this.waiting, slots, waitMs };
  }

  /**
   * @param route - A route.
   * @returns Milliseconds that its calls take here on average; `undefined` before any was seen.
   */
  public durationMs(route: RouteName): number | undefined {
    return this.times.known(route);
  }

  /**
   * @param request - What decides when it gets its slot.
   * @param signal - Gives up the wait.
   * @returns The slot's release.
   * @throws NotRunError - The queue is full, the wait would be too long, or the caller left.
   */
  public acquire(request: AdmissionRequest, signal: CancelSignal): Promise<Release> {
    if (signal.aborted) return Promise.reject(this.notRun('the caller left before it came'));
    if (this.hasFreeSlot) return Promise.resolve(this.take(request));
    const durationMs = this.expectedMs(request);
    const refusal = this.refusal(request, durationMs);
    if (refusal) {
      this.shares.note(request.route, false);
      return Promise.reject(this.notRun(refusal));
    }
    return this.wait(request, durationMs, signal);
  }

  /** Refuses every call that waits. */
  public refuseWaiting(reason: string): void {
    const refused = this.queue;
    this.queue = [];
    for (const entry of refused) entry.refuse(reason);
  }

  private wait(
    request: AdmissionRequest,
    durationMs: number,
    signal: CancelSignal,
  ): Promise<Release> {
    return new Promise((resolve, reject) => {
      const leave = () => {
        this.queue = this.queue.filter((entry) => entry.request !== request);
        reject(this.notRun('the caller left while it waited'));
      };
      const settle = () => signal.removeEventListener('abort', leave);
      const entry: Waiting = {
        request,
        durationMs,
        patience: this.patience(request, durationMs),
        start: () => {
          settle();
          resolve(this.take(request));
        },
        refuse: (reason) => {
          settle();
          this.shares.note(request.route, false);
          reject(this.notRun(reason));
        },
      };
      signal.addEventListener('abort', leave, { once: true });
      this.queue.push(entry);
      this.shorten();
      this.fill();
    });
  }

  private take(request: AdmissionRequest): Release {
    const startedAt = this.clock.now();
    const expectedMs = this.expectedMs(request);
    // Before any call has ended nothing tells what is long.
    const overdueMs =
      expectedMs > 0 ? Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expectedMs) : Infinity;
    const running: Running = { startedAt, overdueAt: startedAt + overdueMs };
    this.active.add(running);
    this.shares.note(request.route, true);
    return (used = true) => {
      if (!this.active.delete(running)) return;
      const endedAt = this.clock.now();
      if (used) this.times.note(request.route, endedAt - startedAt, endedAt);
      this.fill();
    };
  }

  /** Gives free slots to those that wait. */
  private fill(): void {
    this.expire();
    while (this.queue.length > 0 && this.occupied() < this.slots()) {
      const next = this.first();
      this.drop(next);
      next.start();
    }
    this.schedule();
  }

  private first(): Waiting {
    const now = this.clock.now();
    return this.queue.reduce((best, entry) => (this.goesBefore(entry, best, now) ? entry : best));
  }

  private goesBefore(a: Candidate, b: Candidate, now: number): boolean {
    const shortness = Number(this.isShort(a)) - Number(this.isShort(b));
    if (shortness !== 0) return shortness > 0;
    const aInTime = Admission.isInTime(a, now);
    const bInTime = Admission.isInTime(b, now);
    if (aInTime !== bInTime) return aInTime;
    if (a.request.priority !== b.request.priority) return a.request.priority < b.request.priority;
    const shares = this.shareStep(a) - this.shareStep(b);
    if (shares !== 0) return shares < 0;
    return a.request.objective < b.request.objective;
  }

  private isShort({ durationMs }: Candidate): boolean {
    return durationMs <= SHORT_PART * this.times.mean;
  }

  private shareStep({ request }: Candidate): number {
    return Math.floor(this.shares.of(request.route) / SHARE_STEP);
  }

  private refusal(request: AdmissionRequest, durationMs: number): string | undefined {
    const now = this.clock.now();
    const probe: Candidate = { request, durationMs };
    const ahead = this.queue.filter((entry) => !this.goesBefore(probe, entry, now));
    if (this.queue.length >= this.limits.queue) {
      if (ahead.length === this.queue.length) return 'the queue is full';
    }
    const waitMs = this.waitFor(ahead);
    if (now + waitMs + durationMs > request.deadline) return 'the wait would pass the deadline';
    const isLate = !this.isShort(probe) && !Admission.isInTime(probe, now + waitMs);
    if (isLate && waitMs > MAX_LATE_WAIT_MS) return 'the wait would pass the objective by far';
    return undefined;
  }

  private expectedMs({ route, objective }: AdmissionRequest): number {
    const now = this.clock.now();
    return this.times.expected(route, objective - now, now);
  }

  private patience(request: AdmissionRequest, durationMs: number): number {
    const now = this.clock.now();
    const latestStart = request.deadline - durationMs;
    if (this.isShort({ request, durationMs })) return latestStart;
    if (Admission.isInTime({ request, durationMs }, now)) {
      const lastInTime = request.objective - IN_TIME_FACTOR * durationMs;
      return Math.min(latestStart, lastInTime + OVERTAKEN_PATIENCE_MS);
    }
    const promisedMs = this.waitFor(this.queue);
    return Math.min(latestStart, now + Math.max(MIN_LATE_PATIENCE_MS, LATE_PATIENCE * promisedMs));
  }

  /** Refuses what can no longer be answered by its deadline. */
  private expire(): void {
    const now = this.clock.now();
    for (const entry of this.queue.filter(({ patience }) => now > patience)) {
      this.drop(entry);
      entry.refuse('no slot came free in time');
    }
  }

  /** Refuses what has lost its place. */
  private shorten(): void {
    const now = this.clock.now();
    while (this.queue.length > this.limits.queue) {
      const last = this.queue.reduce((worst, entry) =>
        this.goesBefore(entry, worst, now) ? worst : entry,
      );
      this.drop(last);
      last.refuse('calls of a higher rank took its place');
    }
  }

  private schedule(): void {
    if (this.queue.length === 0 || this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.fill();
    }, REVIEW_MS);
    this.timer.unref();
  }

  /** Milliseconds until a slot is free for one that waits behind `ahead`. */
  private waitFor(ahead: readonly Waiting[]): number {
    const aheadMs = ahead.reduce((sum, { durationMs }) => sum + durationMs, 0);
    return (this.times.mean + aheadMs) / this.slots();
  }

  private drop(entry: Waiting): void {
    const index = this.queue.indexOf(entry);
    if (index >= 0) this.queue.splice(index, 1);
  }

  private notRun(reason: string): NotRunError {
    return new NotRunError(reason, { retryAfterMs: this.slotLoad.waitMs });
  }

  private static isInTime({ request, durationMs }: Candidate, start: number): boolean {
    return start + IN_TIME_FACTOR * durationMs <= request.objective;
  }

  /** Slots that are in use; long overdue calls leave theirs to others, once for each slot. */
  private occupied(): number {
    const now = this.clock.now();
    let overdue = 0;
    for (const { overdueAt } of this.active) if (now > overdueAt) overdue += 1;
    return this.active.size - Math.min(overdue, this.limits.slots);
  }

  /** Slots that may be used now; a cold upstream gets them step by step. */
  private slots(): number {
    const { slots, warmUpMs } = this.limits;
    const age = this.clock.now() - this.servingSince;
    if (age >= warmUpMs) return slots;
    return Math.max(1, Math.floor(slots * Math.max(COLD_SHARE, age / warmUpMs)));
  }
}
