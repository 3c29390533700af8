import type { AttemptNumber, Clock, DaemonId, Incarnation } from '../common/Types';
import type { Route, Service } from '../version/Types';
import { LOAD_HEADER, positiveHeader } from './callHeaders';
import CallError from './CallError';
import hedgedAttempt from './hedgedAttempt';
import isIdempotent from './isIdempotent';
import NotRunError from './NotRunError';
import type RetryBudget from './RetryBudget';
import type {
  Answer,
  AttemptContext,
  AttemptResult,
  AttemptTransport,
  Balancer,
  CallRequest,
  Upstream,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

const HEDGE_LATENCIES = 3;
const MIN_HEDGE_MS = 5;
const RESCUE_LATENCIES = 10;
const MIN_RESCUE_MS = 1_000;
const NONE: ReadonlySet<DaemonId> = new Set();

/** What every call uses. */
export interface CallServices {
  readonly balancer: Balancer;
  readonly transport: AttemptTransport;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  readonly incarnation: () => Incarnation;
  readonly nextAttempt: () => AttemptNumber;
  readonly onAttempt: (kind: 'first' | 'retry' | 'hedge') => void;
}

/** What the configuration version that the call began with says of it. */
export interface CallTerms {
  readonly route: Route;
  readonly service: Service;
  readonly retryBudget: number;
}

/** One call, from its request to the head of its answer. */
export default class Call {
  private readonly tried = new Set<DaemonId>();

  private readonly idempotent: boolean;

  private attempts: number;

  /** Whether some attempt's outcome is unknown, so that the call's can't be "not run". */
  private mayHaveRun = false;

  /**
   * @param request - What to send.
   * @param terms - How.
   * @param services - What every call uses.
   * @param budget - Shared by the calls to the service.
   * @param deadline - Monotonic time in ms by which the answer must have begun.
   * @param attemptsAbove - Attempts that the levels above made.
   */
  public constructor(
    private readonly request: CallRequest,
    private readonly terms: CallTerms,
    private readonly services: CallServices,
    private readonly budget: RetryBudget,
    private readonly deadline: number,
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
  public async run(signal: AbortSignal): Promise<Answer> {
    this.budget.deposit(this.terms.retryBudget);
    for (let retries = 0; ; retries += 1) {
      const upstream = this.choose();
      if (!upstream) throw this.settle(new NotRunError('no upstream takes the call'));
      this.services.onAttempt(retries === 0 ? 'first' : 'retry');
      try {
        return await this.hedged(upstream, signal);
      } catch (error) {
        if (!(error instanceof CallError)) throw error;
        if (!this.mayRetry(error, retries, signal)) throw this.settle(error);
      }
    }
  }

  /** One that was tried comes into question again only where no other is left. */
  private choose(): Upstream | undefined {
    const { balancer } = this.services;
    const { service } = this.terms;
    return balancer.choose(service, this.tried) ?? balancer.choose(service, NONE);
  }

  private mayRetry(error: CallError, retries: number, signal: AbortSignal): boolean {
    const notRun = error instanceof NotRunError;
    if (!notRun) this.mayHaveRun = true;
    if (signal.aborted || this.services.clock.now() >= this.deadline) return false;
    if (retries >= this.terms.route.retries) return false;
    // Below a level that retries already, only proved non-runs go elsewhere.
    if (!notRun && (!this.idempotent || this.attemptsAbove > 1)) return false;
    return this.budget.withdraw();
  }

  private settle(error: CallError): CallError {
    const reason = `${error.message} (attempts: ${[...this.tried].join(', ') || 'none'})`;
    if (error instanceof NotRunError && !this.mayHaveRun) {
      return new NotRunError(reason, error.load);
    }
    return new UnknownOutcomeError(reason);
  }

  /** Sends a second attempt where the first is a straggler and the call may run twice. */
  private hedged(upstream: Upstream, signal: AbortSignal): Promise<Answer> {
    if (!this.idempotent || this.attemptsAbove > 1) return this.attempt(upstream, signal);
    const { balancer } = this.services;
    const first = (cancel: AbortSignal) => this.attempt(upstream, cancel);
    const second = () => {
      const other = balancer.choose(this.terms.service, this.tried);
      if (!other || !this.budget.withdraw()) return undefined;
      this.services.onAttempt('hedge');
      return (cancel: AbortSignal) => this.attempt(other, cancel);
    };
    return hedgedAttempt(first, second, this.stragglerMs(), signal);
  }

  /** Milliseconds after which an attempt counts as a straggler. */
  private stragglerMs(): number {
    const averageMs = this.services.balancer.latencyMs(this.terms.service.name);
    return this.terms.route.hedge
      ? Math.max(MIN_HEDGE_MS, HEDGE_LATENCIES * averageMs)
      : Math.max(MIN_RESCUE_MS, RESCUE_LATENCIES * averageMs);
  }

  private async attempt(upstream: Upstream, signal: AbortSignal): Promise<Answer> {
    const { balancer, transport, clock } = this.services;
    this.tried.add(upstream.daemon);
    this.attempts += 1;
    balancer.begin(upstream);
    const began = clock.now();
    let result: AttemptResult = { kind: 'cancelled' };
    try {
      const answer = await transport.send(upstream, this.request, this.context(), signal);
      const load = positiveHeader(answer.headers, LOAD_HEADER, 0);
      result = { kind: 'answered', latencyMs: clock.now() - began, load };
      return answer;
    } catch (error) {
      if (error instanceof NotRunError && error.load !== undefined) {
        result = { kind: 'refused', load: error.load };
      } else if (!signal.aborted || clock.now() - began > this.stragglerMs()) {
        result = { kind: 'failed' };
      }
      throw error;
    } finally {
      balancer.end(upstream, result);
    }
  }

  private context(): AttemptContext {
    const { daemon, incarnation, nextAttempt } = this.services;
    return {
      id: { daemon, incarnation: incarnation(), number: nextAttempt() },
      service: this.terms.service.name,
      priority: this.terms.route.priority,
      deadline: this.deadline,
      attempts: this.attempts,
    };
  }
}
