import type { AttemptNumber, Clock, DaemonId, Incarnation, ServiceName } from '../common/Types';
import type { Route, Service } from '../version/Types';
import CallError from './CallError';
import hedgedAttempt, { type Attempt } from './hedgedAttempt';
import isIdempotent from './isIdempotent';
import NotRunError from './NotRunError';
import RETRIED_STATUSES from './retriedStatuses';
import type RetryBudget from './RetryBudget';
import settleCloses from './settleCloses';
import type {
  Answer,
  AttemptContext,
  AttemptResult,
  AttemptTransport,
  Balancer,
  CallRequest,
  CancelSignal,
  Upstream,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

/**
 * Average latencies after which a call counts as a straggler on a route with `hedge`, or with an
 * objective that waiting longer would miss.
 */
const HEDGE_LATENCIES = 3;
const MIN_HEDGE_MS = 5;
/** Part of the objective that is always waited for before a second attempt. */
const OBJECTIVE_PART = 0.9;
/** Lag of the event loop, in ms, above which slowness is this daemon's own: no second attempts. */
const MAX_HEDGE_LAG_MS = 20;
/** Average latencies for every other call that may run again. */
const RESCUE_LATENCIES = 10;
const MIN_RESCUE_MS = 1_000;
/** Daemons that a call is offered to before it is refused; their refusals cost no upstream. */
const MAX_OFFERS = 2;
const NONE: ReadonlySet<DaemonId> = new Set();

/** What every call uses. */
export interface CallServices {
  readonly balancer: Balancer;
  readonly transport: AttemptTransport;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  /** Service beside this daemon, which its callers' calls begin at. */
  readonly callerService: ServiceName | undefined;
  readonly incarnation: () => Incarnation;
  readonly nextAttempt: () => AttemptNumber;
  /** Lag of the event loop, in milliseconds. */
  readonly lagMs: () => number;
  /** How long what is read now may have waited, in milliseconds. */
  readonly waitedMs: () => number;
  readonly onAttempt: (kind: 'first' | 'retry' | 'hedge') => void;
}

/** What the configuration version that the call began with says of it. */
export interface CallTerms {
  readonly route: Route;
  readonly service: Service;
  readonly retryBudget: number;
}

/** Times of a call; monotonic, in milliseconds. */
export interface CallTimes {
  /** By when the answer must have begun. */
  readonly deadline: number;
  /** By when it is as useful as an immediate one. */
  readonly objective: number;
}

/** One attempt of a call, for the log. */
export interface AttemptTrace {
  readonly number: AttemptNumber;
  readonly upstream: DaemonId;
  readonly kind: 'first' | 'retry' | 'hedge';
  /** What it was chosen by: calls at the upstream and slots, as last reported. */
  readonly load: string | undefined;
  readonly loadAgeMs: number | undefined;
  result: string;
  elapsedMs: number;
}

/** One call, from its request to the head of its answer. */
export default class Call {
  /** Attempts made, for the log. */
  public readonly traces: AttemptTrace[] = [];

  /** Why a straggler got no second attempt, for the log. */
  public unhedged: string | undefined;

  private readonly tried = new Set<DaemonId>();

  private readonly idempotent: boolean;

  private attempts: number;

  /** Attempts that an upstream received; only these count as attempts of the route. */
  private received = 0;

  /** Whether some attempt's outcome is unknown, so that the call's can't be "not run". */
  private mayHaveRun = false;

  private retryAfterMs: number | undefined;

  /**
   * @param request - What to send.
   * @param terms - How.
   * @param services - What every call uses.
   * @param budget - Shared by the calls to the service.
   * @param times - By when.
   * @param attemptsAbove - Attempts that the levels above made.
   */
  public constructor(
    private readonly request: CallRequest,
    private readonly terms: CallTerms,
    private readonly services: CallServices,
    private readonly budget: RetryBudget,
    private readonly times: CallTimes,
    private readonly attemptsAbove: number,
  ) {
    this.idempotent = isIdempotent(terms.route, request.method);
    this.attempts = attemptsAbove;
  }

  /**
   * Makes attempts until one is answered, or none may follow.
   *
   * @param signal - Aborted when the caller leaves or the deadline passes.
   * @returns The answer's head.
   * @throws NotRunError - No attempt ran.
   * @throws UnknownOutcomeError - Some attempt may have run.
   */
  public async run(signal: CancelSignal): Promise<Answer> {
    if (signal.aborted) throw new NotRunError('the call was given up before it was begun');
    this.budget.deposit(this.terms.retryBudget);
    for (let offers = 1; ; offers += 1) {
      const upstream = this.choose();
      if (!upstream) throw this.settle(new NotRunError('no upstream takes the call'));
      try {
        const answer = await this.hedged(upstream, signal, offers === 1 ? 'first' : 'retry');
        if (RETRIED_STATUSES.has(answer.status)) await this.seeCloses();
        if (!this.mayImprove(answer, signal)) return answer;
        this.mayHaveRun = true;
        answer.dispose();
      } catch (error) {
        if (!(error instanceof CallError)) throw error;
        await this.seeCloses();
        if (!this.mayRetry(error, offers, signal)) throw this.settle(error);
      }
    }
  }

  /** In a long turn a failure is read before the close of a caller who has left. */
  private seeCloses(): Promise<void> {
    return settleCloses(this.services.waitedMs());
  }

  /** One that was tried comes into question again only where no other is left. */
  private choose(): Upstream | undefined {
    return this.place(this.tried) ?? this.place(NONE);
  }

  private place(exclude: ReadonlySet<DaemonId>): Upstream | undefined {
    const { service, route } = this.terms;
    return this.services.balancer.choose({
      service: service.name,
      route: route.name,
      slots: service.slots,
      objectiveMs: this.times.objective - this.services.clock.now(),
      exclude,
    });
  }

  /** Whether a failure that an upstream answered with is worth another attempt. */
  private mayImprove(answer: Answer, signal: CancelSignal): boolean {
    if (!RETRIED_STATUSES.has(answer.status) || !this.idempotent || this.attemptsAbove > 1) {
      return false;
    }
    return !signal.aborted && this.hasTime() && this.mayReachAnother();
  }

  private mayRetry(error: CallError, offers: number, signal: CancelSignal): boolean {
    const notRun = error instanceof NotRunError;
    if (notRun) this.noteRoom(error);
    if (signal.aborted || !this.hasTime()) return false;
    // Below a level that retries already, only proved non-runs go elsewhere.
    if (!notRun && (!this.idempotent || this.attemptsAbove > 1)) return false;
    if (notRun && !error.details.reachedUpstream) {
      if (offers < MAX_OFFERS) return this.received <= this.terms.route.retries;
      // Nobody refused what was lost with its connection; the budget bounds how often it is sent.
      return error.details.lost === true && this.mayReachAnother();
    }
    return this.mayReachAnother();
  }

  /** Whether the route and the budget let one more upstream receive the call. */
  private mayReachAnother(): boolean {
    return this.received <= this.terms.route.retries && this.budget.withdraw();
  }

  private hasTime(): boolean {
    return this.services.clock.now() < this.times.deadline;
  }

  private noteRoom({ details }: NotRunError): void {
    const { retryAfterMs } = details;
    if (retryAfterMs === undefined) return;
    this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, retryAfterMs);
  }

  private settle(error: CallError): CallError {
    const reason = `${error.message} (attempts: ${[...this.tried].join(', ') || 'none'})`;
    if (error instanceof NotRunError && !this.mayHaveRun) {
      return new NotRunError(reason, { ...error.details, retryAfterMs: this.retryAfterMs });
    }
    return new UnknownOutcomeError(reason);
  }

  /**
   * Sends a second attempt where the first is a straggler, or its upstream's daemon is silent, and
   * the call may run twice.
   */
  private hedged(
    upstream: Upstream,
    signal: CancelSignal,
    kind: 'first' | 'retry',
  ): Promise<Answer> {
    const first: Attempt = (cancel, onSilent) => this.attempt(upstream, cancel, kind, onSilent);
    if (!this.idempotent || this.attemptsAbove > 1) return first(signal, () => undefined);
    return hedgedAttempt(first, (silent) => this.second(silent), this.stragglerMs(), signal);
  }

  /** @param silent - Whether the daemon that has the first attempt is silent. */
  private second(silent: boolean): Attempt | undefined {
    const { balancer, lagMs } = this.services;
    const ownLagMs = lagMs();
    if (ownLagMs > MAX_HEDGE_LAG_MS) return this.holdBack(`own lag ${Math.round(ownLagMs)} ms`);
    const other = this.place(this.tried);
    if (!other) return this.holdBack('no other upstream');
    // Where calls wait for slots, a second attempt delays more than it saves.
    const isCrowded = (balancer.known(other)?.load.waiting ?? 0) > 0;
    if (isCrowded && !silent) return this.holdBack('calls wait there');
    if (!this.mayReachAnother()) return this.holdBack('no retry is left');
    return (cancel, onSilent) => this.attempt(other, cancel, 'hedge', onSilent);
  }

  private holdBack(reason: string): undefined {
    this.unhedged = reason;
    return undefined;
  }

  /** Milliseconds after which an attempt counts as a straggler. */
  private stragglerMs(): number {
    const { route, service } = this.terms;
    const averageMs = this.services.balancer.latencyMs(service.name, route.name);
    if (route.hedge) return Math.max(MIN_HEDGE_MS, HEDGE_LATENCIES * (averageMs ?? 0));
    if (averageMs !== undefined && route.objectiveMs < route.timeoutMs) {
      return Math.max(OBJECTIVE_PART * route.objectiveMs, HEDGE_LATENCIES * averageMs);
    }
    return Math.max(MIN_RESCUE_MS, RESCUE_LATENCIES * (averageMs ?? 0));
  }

  private async attempt(
    upstream: Upstream,
    signal: CancelSignal,
    kind: AttemptTrace['kind'],
    onSilent: () => void,
  ): Promise<Answer> {
    const { balancer, transport, clock, onAttempt } = this.services;
    onAttempt(kind);
    this.tried.add(upstream.daemon);
    this.attempts += 1;
    this.received += 1;
    const context = this.context();
    const trace = this.trace(upstream, context, kind);
    balancer.begin(upstream);
    const began = clock.now();
    let result: AttemptResult = { kind: 'cancelled' };
    try {
      const answer = await transport.send(upstream, this.request, context, signal, onSilent);
      trace.result = String(answer.status);
      const latencyMs = clock.now() - began;
      result = RETRIED_STATUSES.has(answer.status)
        ? { kind: 'failed' }
        : { kind: 'answered', latencyMs, load: answer.load };
      return answer;
    } catch (error) {
      trace.result = (error as Error).message;
      if (!(error instanceof NotRunError)) this.mayHaveRun = true;
      const { details } = error as Partial<NotRunError>;
      if (error instanceof NotRunError && !details?.reachedUpstream) this.received -= 1;
      if (details?.load !== undefined) result = { kind: 'refused', load: details.load };
      else if (!signal.aborted || clock.now() - began > this.stragglerMs()) {
        result = { kind: 'failed' };
      }
      throw error;
    } finally {
      trace.elapsedMs = Math.round(clock.now() - began);
      balancer.end(upstream, this.terms.route.name, result);
    }
  }

  private trace(
    upstream: Upstream,
    { id }: AttemptContext,
    kind: AttemptTrace['kind'],
  ): AttemptTrace {
    const known = this.services.balancer.known(upstream);
    const trace: AttemptTrace = {
      number: id.number,
      upstream: upstream.daemon,
      kind,
      load: known && `${known.load.running}+${known.load.waiting}/${known.load.slots}`,
      loadAgeMs: known && Math.round(known.ageMs),
      result: 'cancelled',
      elapsedMs: 0,
    };
    this.traces.push(trace);
    return trace;
  }

  private context(): AttemptContext {
    const { daemon, incarnation, nextAttempt, callerService } = this.services;
    const { route, service } = this.terms;
    return {
      id: { daemon, incarnation: incarnation(), number: nextAttempt() },
      service: service.name,
      route: route.name,
      priority: route.priority,
      idempotent: this.idempotent,
      deadline: this.times.deadline,
      objective: this.times.objective,
      callerService,
      attempts: this.attempts,
    };
  }
}
