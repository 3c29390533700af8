import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ServiceName } from '../common/Types';
import type { CurrentVersion, Route } from '../version/Types';
import Call, { type CallServices, type CallTerms } from './Call';
import { ATTEMPTS_HEADER, DEADLINE_HEADER, positiveHeader } from './callHeaders';
import CALLER_LEFT from './callerLeft';
import NotRunError from './NotRunError';
import readRequest from './readRequest';
import { refuseCall, relayAnswer, type Refusal } from './relayAnswer';
import RequestError from './RequestError';
import RetryBudget from './RetryBudget';
import type { Outcome, UpstreamDirectory } from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

const MAX_DEPTH_ATTEMPTS = 1_000;
const DEADLINE_PASSED = Symbol('the deadline passed');

/** Bounds on callers' requests. */
export interface CallLimits {
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number;
  /** Calls open at once; one more is refused as not run. */
  readonly maxOpenCalls: number;
}

/** Tells what ended a call. */
export interface CallReport {
  readonly outcome: Outcome;
  readonly status: number;
  readonly durationMs: number;
}

/** Where a request would go, and why it wouldn't. */
export type Resolution =
  | { readonly kind: 'terms'; readonly terms: CallTerms }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Answers the requests of callers by the configuration in force. */
export default class CallHandler {
  private readonly budgets = new Map<ServiceName, RetryBudget>();

  private open = 0;

  private draining = false;

  private idle: (() => void) | undefined;

  public constructor(
    private readonly versions: CurrentVersion,
    private readonly directory: UpstreamDirectory,
    private readonly services: CallServices,
    private readonly limits: CallLimits,
    private readonly report: (report: CallReport) => void,
  ) {}

  /** Calls that haven't ended. */
  public get openCalls(): number {
    return this.open;
  }

  /** Refuses new calls as not run from now on; resolves once none is open. */
  public async drain(): Promise<void> {
    this.draining = true;
    if (this.open === 0) return;
    await new Promise<void>((resolve) => {
      this.idle = resolve;
    });
  }

  /**
   * @param method - HTTP method.
   * @param path - Path, with or without the query.
   * @returns The route and service for it, or the answer that refuses it.
   */
  public resolve(method: string, path: string): Resolution {
    const { snapshot } = this.versions;
    if (!snapshot) return CallHandler.refusal(503, 'no configuration is in force here yet');
    const route = this.match(method, path);
    if (!route) return CallHandler.refusal(404, 'no route matches');
    const service = snapshot.configuration.services.get(route.service)!;
    if (this.directory.upstreams(service.name).length === 0) {
      return CallHandler.refusal(503, CallHandler.absence(route));
    }
    const { retryBudget } = snapshot.configuration;
    return { kind: 'terms', terms: { route, service, retryBudget } };
  }

  /**
   * @param method - HTTP method.
   * @param path - Path, with or without the query.
   * @returns The route of the version in force that matches.
   */
  public match(method: string, path: string): Route | undefined {
    return this.versions.snapshot?.match(method, path.split('?', 1)[0]!);
  }

  /**
   * Answers one request.
   *
   * @param message - The request.
   * @param response - Where the answer goes.
   */
  public async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const began = this.services.clock.now();
    this.open += 1;
    let outcome: Outcome = 'answered';
    try {
      await this.answer(message, response);
    } catch (error) {
      const refusal = CallHandler.refusalOf(error as Error);
      outcome = refusal.outcome;
      refuseCall(refusal, response);
      // What is left of a refused body isn't read; the connection can't be used again.
      if (!message.complete) response.once('finish', () => message.socket.destroySoon());
    } finally {
      this.open -= 1;
      if (this.open === 0) this.idle?.();
      const durationMs = this.services.clock.now() - began;
      this.report({ outcome, status: response.statusCode, durationMs });
    }
  }

  /**
   * @param service - Name of the service.
   * @returns The budget that its retries and hedges share.
   */
  public budget(service: ServiceName): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new RetryBudget();
      this.budgets.set(service, budget);
    }
    return budget;
  }

  private async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.draining) throw new NotRunError('this daemon is stopping');
    if (this.open > this.limits.maxOpenCalls) throw new NotRunError('too many calls are open here');
    const request = await readRequest(message, this.limits.maxBodyBytes);
    const resolution = this.resolve(request.method, request.path);
    if (resolution.kind === 'refused') {
      refuseCall(resolution.refusal, response);
      return;
    }
    await this.carry(message, response, request, resolution.terms);
  }

  private async carry(
    message: IncomingMessage,
    response: ServerResponse,
    request: Awaited<ReturnType<typeof readRequest>>,
    terms: CallTerms,
  ): Promise<void> {
    const { clock } = this.services;
    const askedMs = positiveHeader(message.headers, DEADLINE_HEADER, Infinity);
    const allowedMs = Math.min(askedMs, terms.route.timeoutMs);
    const attempts = positiveHeader(message.headers, ATTEMPTS_HEADER, 0);
    if (attempts > MAX_DEPTH_ATTEMPTS) throw new NotRunError('the call made too many attempts');
    const cancel = new AbortController();
    const timer = setTimeout(() => cancel.abort(DEADLINE_PASSED), allowedMs);
    const leave = () => cancel.abort(CALLER_LEFT);
    response.once('close', leave);
    try {
      const call = new Call(
        request,
        terms,
        this.services,
        this.budget(terms.service.name),
        clock.now() + allowedMs,
        attempts,
      );
      const answer = await call.run(cancel.signal);
      clearTimeout(timer);
      // From here on the answer itself notices that the caller left.
      response.off('close', leave);
      await relayAnswer(answer, response);
    } finally {
      clearTimeout(timer);
    }
  }

  private static absence({ name, service }: Route): string {
    return `route ${name} is not in force: service ${service} has no upstream that serves`;
  }

  private static refusal(status: number, reason: string): Resolution {
    return { kind: 'refused', refusal: { status, outcome: 'not-run', reason } };
  }

  private static refusalOf(error: Error): Refusal {
    const reason = error.message;
    if (error instanceof RequestError) return { status: error.status, outcome: 'not-run', reason };
    if (error instanceof NotRunError) return { status: 503, outcome: 'not-run', reason };
    if (error instanceof UnknownOutcomeError) return { status: 502, outcome: 'unknown', reason };
    return { status: 500, outcome: 'unknown', reason };
  }
}
