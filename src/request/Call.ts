import type {
  AttemptNumber,
  Clock,
  DaemonId,
  Incarnation,
  RouteName,
  ServiceName,
} from '../common/Types';
import type { Organisation, Route, Service } from '../version/Types';
import CallError from './CallError';
import runHedgedAttempts, { type Attempt } from './runHedgedAttempts';
import isIdempotent from './isIdempotent';
import NotRunError from './NotRunError';
import RETRYABLE_STATUSES from './retryableStatuses';
import type AdaptiveThrottle from './AdaptiveThrottle';
import type RetryBudget from './RetryBudget';
import awaitPendingCloses from './awaitPendingCloses';
import type {
  Answer,
  AttemptContext,
  AttemptEnd,
  AttemptResult,
  AttemptTransport,
  Balancer,
  CallRequest,
  CancelSignal,
  Upstream,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

/**
 * Hedge delay as a multiple of the average latency, on routes with the setting `hedge` and on
 * routes with a latency objective, which a longer delay would miss.
 */
const HEDGE_LATENCY_FACTOR = 3;
/** Shortest hedge delay in milliseconds on routes with the setting `hedge`. */
const MIN_HEDGE_MS = 5;
/**
 * Fraction of the latency objective that must elapse before an attempt is hedged on a route without
 * the setting `hedge`.
 */
const MIN_OBJECTIVE_SHARE = 0.9;
/**
 * Event loop lag in milliseconds above which hedging is disabled: the slowness is then caused by this
 * daemon, and another upstream wouldn't respond sooner.
 */
const MAX_HEDGE_LAG_MS = 20;
/**
 * Hedge delay as a multiple of the average latency, for idempotent calls on routes with neither the
 * setting `hedge` nor a latency objective.
 */
const FALLBACK_HEDGE_LATENCY_FACTOR = 10;
/**
 * Shortest hedge delay in milliseconds for idempotent calls on a route without the setting `hedge`,
 * if the route has no latency objective or its average latency isn't known yet.
 */
const MIN_FALLBACK_HEDGE_MS = 1_000;
/**
 * Number of attempts of a call, not counting hedges, after which a refusal by a daemon is final.
 * Such a refusal puts no load on an upstream, so a retry after it doesn't count against the retry
 * budget.
 */
const MAX_FREE_ATTEMPTS = 2;
const NO_DAEMONS: ReadonlySet<DaemonId> = new Set();

/** Balancer, transport, clock and other dependencies shared by all calls. */
export interface CallServices {
  readonly balancer: Balancer;
  readonly transport: AttemptTransport;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  /**
   * Service of the upstream beside this daemon, sent with each call as the service of its caller.
   */
  readonly callerService: ServiceName | undefined;
  readonly incarnation: () => Incarnation;
  readonly nextAttempt: () => AttemptNumber;
  /** Current event loop lag in milliseconds. */
  readonly lagMs: () => number;
  /** Longest time in milliseconds that data read now may have waited in socket buffers. */
  readonly waitedMs: () => number;
  /** Called when an attempt is sent, for the metrics. */
  readonly onAttempt: (kind: 'first' | 'retry' | 'hedge') => void;
  /** Called when an attempt has ended, for the comparison of software versions. */
  readonly onAttemptEnd?: (upstream: Upstream, route: RouteName, end: AttemptEnd) => void;
}

/** Configuration that applies to a call, taken from the version in force when the call began. */
export interface CallPolicy {
  readonly route: Route;
  readonly service: Service;
  /** Organisation of the caller; `undefined` if it has none. */
  readonly organisation?: Organisation | undefined;
  /** Fraction of calls that may be retried or hedged, 0 to 1. */
  readonly retryBudget: number;
}

/** Time limits of a call, as monotonic times in milliseconds. */
export interface CallDeadlines {
  /** Latest time for the head of the response. */
  readonly deadline: number;
  /** End of the latency objective: a response until then is as useful as an immediate one. */
  readonly objective: number;
}

/** Log record of one attempt of a call. */
export interface AttemptTrace {
  readonly number: AttemptNumber;
  readonly upstream: DaemonId;
  readonly kind: 'first' | 'retry' | 'hedge';
  /** Last reported load of the upstream when it was chosen, as `running+waiting/slots`. */
  readonly load: string | undefined;
  readonly loadAgeMs: number | undefined;
  /** Result of the attempt: HTTP status, error message or `cancelled`. */
  result: string;
  elapsedMs: number;
}

/** One call, from its request to the head of its response, with retries and hedges. */
export default class Call {
  /** Log records of the attempts made so far. */
  public readonly traces: AttemptTrace[] = [];

  /** Duration of the attempt that took longest so far, in ms; `undefined` before the first has ended. */
  public longestAttemptMs: number | undefined;

  /** Why no hedge was sent when one was due, for the log. */
  public unhedged: string | undefined;

  /** Why the call was not sent again after its last attempt failed, for the log. */
  public unretried: string | undefined;

  private readonly triedDaemons = new Set<DaemonId>();

  private readonly idempotent: boolean;

  /** Number of attempts made for this call and for the calls above it in the call chain. */
  private attempts: number;

  /**
   * Number of attempts that an upstream may have received; only these count against the route's
   * `retries`.
   */
  private receivedAttempts = 0;

  /**
   * Whether the outcome of any attempt is unknown, which rules out "not run" for the whole call.
   */
  private mayHaveRun = false;

  /** Shortest retry delay in milliseconds that a refusal suggested. */
  private retryAfterMs: number | undefined;

  /**
   * @param request - Request to send.
   * @param policy - Route, service and retry budget that apply to the call.
   * @param services - Dependencies shared by all calls.
   * @param budget - Retry budget shared by all calls to the service.
   * @param throttle - Limits the calls of the route while most are refused.
   * @param times - Deadline and end of the latency objective.
   * @param attemptsAbove - Number of attempts already made for calls further up the call chain.
   * @param repeatProbability - Probability that the call exists only because a call above it was repeated.
   */
  public constructor(
    private readonly request: CallRequest,
    private readonly policy: CallPolicy,
    private readonly services: CallServices,
    private readonly budget: RetryBudget,
    private readonly throttle: AdaptiveThrottle,
    private readonly times: CallDeadlines,
    private readonly attemptsAbove: number,
    private readonly repeatProbability = 0,
  ) {
    this.idempotent = isIdempotent(policy.route, request.method);
    this.attempts = attemptsAbove;
  }

  /**
   * Sends attempts until one is answered or no further attempt is allowed.
   *
   * @param signal - Aborted when the caller disconnects or the deadline passes.
   * @returns The head of the response, whose body can then be piped.
   * @throws NotRunError - No attempt ran.
   * @throws UnknownOutcomeError - An attempt may have run.
   */
  public async run(signal: CancelSignal): Promise<Answer> {
    if (signal.aborted) throw new NotRunError('the call was given up before it was begun');
    if (this.throttle.shouldReject(this.policy.organisation?.name)) {
      const { retryAfterMs } = this.throttle;
      throw new NotRunError('most calls of the route are refused for lack of slots', {
        ...(retryAfterMs !== undefined && { retryAfterMs }),
      });
    }
    this.budget.deposit(this.policy.retryBudget);
    if (this.repeatProbability > 0) this.budget.chargeRepeat(this.repeatProbability);
    for (let tryNumber = 1; ; tryNumber += 1) {
      const upstream = this.choose();
      if (!upstream) {
        if (this.receivedAttempts === 0) this.budget.retract(this.repeatProbability);
        throw this.finalError(new NotRunError('no upstream takes the call'));
      }
      try {
        const answer = await this.sendWithHedge(
          upstream,
          signal,
          tryNumber === 1 ? 'first' : 'retry',
        );
        if (RETRYABLE_STATUSES.has(answer.status)) await this.settlePendingCloses();
        if (!this.mayRetryResponse(answer, signal)) {
          this.throttle.recordAdmitted();
          return answer;
        }
        this.mayHaveRun = true;
        answer.dispose();
      } catch (error) {
        if (!(error instanceof CallError)) throw error;
        await this.settlePendingCloses();
        if (!this.mayRetryError(error, tryNumber, signal)) {
          this.recordRefusal(error);
          if (this.receivedAttempts === 0) this.budget.retract(this.repeatProbability);
          throw this.finalError(error);
        }
      }
    }
  }

  /**
   * Waits until pending connection closes have been processed: after a long turn of the event loop, a
   * failure can be read before the close of the caller's connection, and a retry would be wasted.
   */
  private settlePendingCloses(): Promise<void> {
    return awaitPendingCloses(this.services.waitedMs());
  }

  /** Chooses an upstream, one that was already tried only if there is no other. */
  private choose(): Upstream | undefined {
    return this.chooseExcluding(this.triedDaemons) ?? this.chooseExcluding(NO_DAEMONS);
  }

  private chooseExcluding(exclude: ReadonlySet<DaemonId>): Upstream | undefined {
    const { service, route } = this.policy;
    return this.services.balancer.choose({
      service: service.name,
      route: route.name,
      slots: service.slots,
      objectiveMs: this.times.objective - this.services.clock.now(),
      exclude,
    });
  }

  /** Whether a response with a failure status may be retried; withdraws from the budget if so. */
  private mayRetryResponse(answer: Answer, signal: CancelSignal): boolean {
    if (!RETRYABLE_STATUSES.has(answer.status)) {
      this.unretried = undefined;
      return false;
    }
    if (!this.idempotent || this.attemptsAbove > 1) return this.skipRetry('it may have run');
    return this.isWanted(signal) && this.withdrawRetry();
  }

  /**
   * Whether an error may be retried; withdraws from the budget if the retry puts load on an upstream.
   *
   * @param tryNumber - 1 for the first attempt and its hedges, 2 for the first retry and its hedges,
   * and so on.
   */
  private mayRetryError(error: CallError, tryNumber: number, signal: CancelSignal): boolean {
    const notRun = error instanceof NotRunError;
    if (notRun) this.recordRetryAfter(error);
    if (!this.isWanted(signal)) return false;
    // If a call above in the call chain was retried, this call retries only attempts that provably
    // didn't run.
    if (!notRun && (!this.idempotent || this.attemptsAbove > 1)) {
      return this.skipRetry('it may have run');
    }
    if (notRun && !error.details.reachedUpstream) {
      if (tryNumber < MAX_FREE_ATTEMPTS) return this.hasRetries();
      // An attempt lost with its connection wasn't refused by a daemon, so only the retry budget
      // limits how often it is sent again.
      if (!error.details.connectionLost) return this.skipRetry('daemons refused it');
    }
    return this.withdrawRetry();
  }

  /** Withdraws one retry from the budget, unless the route's retries are used up. */
  private withdrawRetry(): boolean {
    if (!this.hasRetries()) return false;
    return this.budget.withdraw() || this.skipRetry('the retry budget is used up');
  }

  private hasRetries(): boolean {
    if (this.receivedAttempts <= this.policy.route.retries) return true;
    return this.skipRetry("the route's retries are used up");
  }

  /** Whether the caller still waits for a response. */
  private isWanted(signal: CancelSignal): boolean {
    if (signal.aborted) return this.skipRetry('nobody waits for it');
    return this.services.clock.now() < this.times.deadline || this.skipRetry('its time is over');
  }

  private skipRetry(reason: string): false {
    this.unretried = reason;
    return false;
  }

  private recordRetryAfter({ details }: NotRunError): void {
    const { retryAfterMs } = details;
    if (retryAfterMs === undefined) return;
    this.retryAfterMs = Math.min(this.retryAfterMs ?? Infinity, retryAfterMs);
  }

  /** Records in the throttle that the call was refused, unless that was for another reason than slots. */
  private recordRefusal(error: CallError): void {
    if (!(error instanceof NotRunError) || error.details.reachedUpstream) return;
    const { retryAfterMs } = error.details;
    if (retryAfterMs !== undefined) this.throttle.recordRefused(retryAfterMs);
  }

  /** Error of the call after its last attempt failed; its message lists the daemons that were tried. */
  private finalError(error: CallError): CallError {
    const reason = `${error.message} (attempts: ${[...this.triedDaemons].join(', ') || 'none'})`;
    if (error instanceof NotRunError && !this.mayHaveRun) {
      return new NotRunError(reason, { ...error.details, retryAfterMs: this.retryAfterMs });
    }
    return new UnknownOutcomeError(reason);
  }

  /**
   * Sends an attempt. If the call is idempotent, hedges it when it is slow or when the daemon it was
   * sent to falls silent.
   */
  private sendWithHedge(
    upstream: Upstream,
    signal: CancelSignal,
    kind: 'first' | 'retry',
  ): Promise<Answer> {
    const first: Attempt = (cancel, onSilent) => this.attempt(upstream, cancel, kind, onSilent);
    if (!this.idempotent || this.attemptsAbove > 1) return first(signal, () => undefined);
    return runHedgedAttempts(
      first,
      (allSilent) => this.selectHedge(allSilent),
      this.hedgeDelayMs(),
      signal,
    );
  }

  /**
   * @param allSilent - Whether all daemons with an open attempt of this call are silent.
   * @returns The attempt to send as a hedge, or `undefined` if none may be sent now.
   */
  private selectHedge(allSilent: boolean): Attempt | undefined {
    const { balancer, lagMs } = this.services;
    const ownLagMs = lagMs();
    if (ownLagMs > MAX_HEDGE_LAG_MS) return this.skipHedge(`own lag ${Math.round(ownLagMs)} ms`);
    const other = this.chooseExcluding(this.triedDaemons);
    if (!other) return this.skipHedge('no other upstream');
    // At an upstream where calls are queued, a hedge delays those calls more than it helps this
    // one.
    const hasQueue = (balancer.reportedLoad(other)?.load.waiting ?? 0) > 0;
    if (hasQueue && !allSilent) return this.skipHedge('calls wait there');
    if (!this.withdrawRetry()) return this.skipHedge('no retry is left');
    return (cancel, onSilent) => this.attempt(other, cancel, 'hedge', onSilent);
  }

  private skipHedge(reason: string): undefined {
    this.unhedged = reason;
    return undefined;
  }

  /** Milliseconds after which an attempt counts as slow and is hedged. */
  private hedgeDelayMs(): number {
    const { route, service } = this.policy;
    const averageMs = this.services.balancer.latencyMs(service.name, route.name);
    if (route.hedge) return Math.max(MIN_HEDGE_MS, HEDGE_LATENCY_FACTOR * (averageMs ?? 0));
    if (averageMs !== undefined && route.objectiveMs < route.timeoutMs) {
      return Math.max(MIN_OBJECTIVE_SHARE * route.objectiveMs, HEDGE_LATENCY_FACTOR * averageMs);
    }
    return Math.max(MIN_FALLBACK_HEDGE_MS, FALLBACK_HEDGE_LATENCY_FACTOR * (averageMs ?? 0));
  }

  /** Sends one attempt and reports its result to the balancer and the log. */
  private async attempt(
    upstream: Upstream,
    signal: CancelSignal,
    kind: AttemptTrace['kind'],
    onSilent: () => void,
  ): Promise<Answer> {
    const { balancer, transport, clock, onAttempt } = this.services;
    onAttempt(kind);
    this.triedDaemons.add(upstream.daemon);
    this.attempts += 1;
    this.receivedAttempts += 1;
    const context = this.context();
    const trace = this.trace(upstream, context, kind);
    balancer.begin(upstream);
    const startedAt = clock.now();
    let result: AttemptResult = { kind: 'cancelled' };
    let status: number | undefined;
    let isNotRun = false;
    try {
      const answer = await transport.send(upstream, this.request, context, signal, onSilent);
      trace.result = String(answer.status);
      status = answer.status;
      const latencyMs = clock.now() - startedAt;
      result = RETRYABLE_STATUSES.has(answer.status)
        ? { kind: 'failed' }
        : { kind: 'answered', latencyMs, load: answer.load };
      if (result.kind === 'answered') this.measureBytes(answer);
      return answer;
    } catch (error) {
      trace.result = (error as Error).message;
      isNotRun = error instanceof NotRunError;
      if (!isNotRun) this.mayHaveRun = true;
      const { details } = error as Partial<NotRunError>;
      if (error instanceof NotRunError && !details?.reachedUpstream) this.receivedAttempts -= 1;
      if (details?.load !== undefined) result = { kind: 'refused', load: details.load };
      else if (!signal.aborted || clock.now() - startedAt > this.hedgeDelayMs()) {
        result = { kind: 'failed' };
      }
      throw error;
    } finally {
      trace.elapsedMs = Math.round(clock.now() - startedAt);
      this.longestAttemptMs = Math.max(this.longestAttemptMs ?? 0, trace.elapsedMs);
      balancer.end(upstream, this.policy.route.name, result);
      this.services.onAttemptEnd?.(upstream, this.policy.route.name, {
        status,
        isCancelled: status === undefined && signal.aborted,
        isNotRun,
        elapsedMs: clock.now() - startedAt,
      });
    }
  }

  /** Reports the size of an exchange to the balancer, at the end of its body if none was declared. */
  private measureBytes(answer: Answer): void {
    const { balancer } = this.services;
    if (!balancer.recordBytes) return;
    const { service, route } = this.policy;
    const sentBytes = this.request.body?.length ?? 0;
    const record = (bytes: number) =>
      balancer.recordBytes?.(service.name, route.name, sentBytes + bytes);
    const declared = answer.headers['content-length'];
    if (declared !== undefined) record(Number(declared) || 0);
    else answer.onceClosed?.(() => record(answer.receivedBytes ?? 0));
  }

  private trace(
    upstream: Upstream,
    { id }: AttemptContext,
    kind: AttemptTrace['kind'],
  ): AttemptTrace {
    const reported = this.services.balancer.reportedLoad(upstream);
    const trace: AttemptTrace = {
      number: id.number,
      upstream: upstream.daemon,
      kind,
      load: reported && `${reported.load.running}+${reported.load.waiting}/${reported.load.slots}`,
      loadAgeMs: reported && Math.round(reported.ageMs),
      result: 'cancelled',
      elapsedMs: 0,
    };
    this.traces.push(trace);
    return trace;
  }

  private context(): AttemptContext {
    const { daemon, incarnation, nextAttempt, callerService } = this.services;
    const { route, service, organisation } = this.policy;
    return {
      id: { daemon, incarnation: incarnation(), number: nextAttempt() },
      service: service.name,
      route: route.name,
      priority: organisation?.priority ?? route.priority,
      idempotent: this.idempotent,
      deadline: this.times.deadline,
      objective: this.times.objective,
      callerService,
      organisation: organisation?.name,
      attempts: this.attempts,
      isRepeat: this.receivedAttempts > 1 || this.attemptsAbove > 1,
    };
  }
}
