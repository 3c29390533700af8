import type {
  Address,
  Clock,
  DaemonId,
  Disposable,
  InstanceId,
  Logger,
  ZoneName,
} from '../common/Types';
import AdmissionController, { type Release, type UpstreamLimits } from './AdmissionController';
import ArrivalRates from './ArrivalRates';
import type AttemptRegistry from './AttemptRegistry';
import AnswerMatcher, { MISDIRECTED_REQUEST_STATUS, type AnswerMatch } from './AnswerMatcher';
import { upstreamHeaders } from './callHeaders';
import abortOverdueBody from './abortOverdueBody';
import exchange from './exchange';
import ExchangeError from './ExchangeError';
import NotRunError from './NotRunError';
import RouteStatistics from './RouteStatistics';
import awaitPendingCloses from './awaitPendingCloses';
import type StreamedAnswer from './StreamedAnswer';
import type {
  Answer,
  AttemptContext,
  CallRequest,
  CancelSignal,
  HeaderNames,
  RelayedReport,
  UpstreamLoad,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';
import type UpstreamConnections from './UpstreamConnections';
import type UpstreamRuns from './UpstreamRuns';

/**
 * Time after the deadline, in milliseconds, for which the head of a response is still awaited: a late
 * response lets its connection be reused.
 */
const HEAD_TIMEOUT_SLACK_MS = 1_000;
/** Longest pause within a response body before its connection counts as dead, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;
/**
 * If a call is cancelled after it has waited this many times the average duration of its route for
 * a response, the connections to the upstream are suspected to be dead and replaced.
 */
const SUSPECT_DURATION_FACTOR = 5;
/** Shortest wait for a response, in milliseconds, after which connections are suspected as dead. */
const MIN_SUSPECT_MS = 1_000;
/** Weight of a new sample in the moving average of failures, which spans about twenty calls. */
const FAILURE_WEIGHT = 0.05;
/** Why the outcome of a request stays unknown, by what its response says of it. */
const UNUSABLE_ANSWERS = {
  foreign: 'the connection brought the answer of another request',
  unproven: 'the connection brought a refusal that may be meant for another request',
};
/** Lowest HTTP status that counts as a failure of the upstream. */
const MIN_FAILURE_STATUS = 500;

/** Use of an upstream's slots. */
export interface SlotCounts {
  /** Number of calls that hold a slot. */
  readonly running: number;
  /** Number of calls that are queued for a slot. */
  readonly waiting: number;
  /** Number of slots that long calls must leave free for short ones. */
  readonly reserved: number;
}

/** Dependencies of a local upstream. */
export interface LocalUpstreamServices {
  /** Creates a connection pool for the upstream. */
  readonly connect: () => UpstreamConnections;
  /** Tracks attempts, so that each one runs at most once. */
  readonly registry: AttemptRegistry;
  /** Counts what runs at the upstream. */
  readonly runs: UpstreamRuns;
  readonly names: HeaderNames;
  /** Current event loop lag of this daemon, in milliseconds. */
  readonly lagMs: () => number;
  /** Longest time in milliseconds that data read now may have waited in socket buffers. */
  readonly waitedMs: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when a connection to the upstream can't be established. */
  readonly onUnreachable: () => void;
  /** Returns the zone of a daemon; without it, arrivals aren't reported by zone. */
  readonly zoneOf?: (daemon: DaemonId) => ZoneName | undefined;
  /** Whether the service has other upstreams; without it, calls wait here though the upstream is silent. */
  readonly hasOthers?: () => boolean;
  /** Returns a report on another upstream of the service, to be passed on with the load. */
  readonly relay?: () => RelayedReport | undefined;
}

/**
 * The upstream beside this daemon. Only this daemon connects to it, so this class alone assigns its
 * slots, drains it and decides which attempts never ran.
 */
export default class LocalUpstream implements Disposable {
  /** Instance id of the upstream process that may run calls; `undefined` if it announced none. */
  public instance: InstanceId | undefined;

  private readonly admission: AdmissionController;

  private readonly origin: string;

  private connections: UpstreamConnections;

  private readonly matcher: AnswerMatcher;

  private readonly statistics: RouteStatistics;

  private readonly arrivals = new ArrivalRates();

  /** Moving average of the share of calls that failed at the upstream, 0 to 1. */
  private failureShare = 0;

  /** Number of accepted attempts whose response bodies haven't ended. */
  private openAttempts = 0;

  private draining = false;

  private readonly drainWaiters: (() => void)[] = [];

  /**
   * @param limits - Limits on slots, queue and warm-up.
   * @param address - Address at which the upstream listens.
   * @param services - Dependencies, such as the connection pool and the record of attempts.
   */
  public constructor(
    limits: UpstreamLimits,
    public readonly address: Address,
    private readonly services: LocalUpstreamServices,
  ) {
    const { clock, logger } = services;
    this.statistics = new RouteStatistics('Runs of a route at the upstream.', logger, clock);
    this.origin = `http://${address}`;
    this.connections = services.connect();
    this.matcher = new AnswerMatcher(services.names);
    this.admission = new AdmissionController(limits, clock, clock.now(), services.hasOthers);
  }

  /** Running and queued calls as a ratio of the slots. */
  public get load(): number {
    return this.admission.load;
  }

  /** Numbers of calls that hold a slot, of calls queued for one, and of slots kept free of long calls. */
  public get counts(): SlotCounts {
    const { running, waiting, reserved } = this.admission;
    return { running, waiting, reserved };
  }

  /**
   * @param context - Call on whose route it is reported.
   * @returns Load report by which other daemons balance their calls.
   */
  public loadFor(context: Pick<AttemptContext, 'route' | 'priority'>): UpstreamLoad {
    const { route } = context;
    return {
      ...this.admission.slotLoad,
      ahead: this.admission.callsAhead(context),
      durationMs: this.admission.durationMs(route),
      failureShare: this.failureShare,
      // Other daemons add the lag to the expected duration, and forget it within two seconds.
      lagMs: this.services.lagMs() + this.admission.silentMs,
      meanMs: this.admission.meanDurationMs,
      arrivals: this.arrivals.report(this.services.clock.now()),
      relayed: this.services.relay?.(),
    };
  }

  /** @param limits - Limits on slots, queue and warm-up in a new configuration version. */
  public setLimits(limits: UpstreamLimits): void {
    this.admission.setLimits(limits);
  }

  /**
   * Runs an attempt at most once.
   *
   * @param request - Request to send.
   * @param context - Metadata of the attempt.
   * @param signal - Cancels the attempt.
   * @returns The response, as soon as its head has arrived.
   * @throws NotRunError - The attempt didn't run and never will.
   * @throws UnknownOutcomeError - The attempt may have run.
   */
  public async run(
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
  ): Promise<Answer> {
    const { registry, waitedMs, clock } = this.services;
    const { id } = context;
    const arrivedAt = clock.now();
    let startedAt: number | undefined;
    const callerZone = this.services.zoneOf?.(id.daemon);
    if (callerZone !== undefined) this.arrivals.record(callerZone, arrivedAt);
    if (this.draining) throw new NotRunError('the upstream takes no new work');
    if (!registry.admit(id)) throw new NotRunError('the attempt was forbidden before it came');
    let mayHaveRun = false;
    this.openAttempts += 1;
    try {
      const wasQueued = !this.admission.hasFreeSlot(context);
      const release = await this.admission.acquire(context, signal);
      startedAt = clock.now();
      // After a long turn of the event loop, a queued call may get a slot although its caller has
      // closed the connection, as the close hasn't been read yet.
      if (wasQueued) await awaitPendingCloses(waitedMs());
      const isLate = clock.now() >= context.deadline;
      if (isLate || signal.aborted || this.draining || !registry.start(id)) {
        release(false);
        throw new NotRunError('the attempt was given up while it waited');
      }
      mayHaveRun = true;
      const answer = await this.dispatch(request, context, signal, release);
      this.recordRun(context, arrivedAt, startedAt, String(answer.status));
      return answer;
    } catch (error) {
      this.recordRun(context, arrivedAt, startedAt, (error as Error).message);
      // A request that was never sent hasn't run, although it held a slot.
      registry.end(id, mayHaveRun && !(error instanceof NotRunError));
      this.endAttempt();
      throw error instanceof NotRunError ? this.withLoad(error, context) : error;
    }
  }

  /**
   * Refuses new and queued attempts.
   *
   * @returns Resolves when all running attempts have ended.
   */
  public async drain(): Promise<void> {
    this.draining = true;
    this.admission.refuseQueued('the upstream drains');
    if (this.openAttempts === 0) return;
    await new Promise<void>((resolve) => {
      this.drainWaiters.push(resolve);
    });
  }

  public dispose(): void {
    this.connections.destroy();
  }

  /** Sends an attempt that holds a slot, and releases the slot when the response has ended. */
  private async dispatch(
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    release: Release,
  ): Promise<Answer> {
    const { clock, names, runs } = this.services;
    const { connections } = this;
    const sentAt = clock.now();
    runs.begin(context.isRepeat);
    let answer: StreamedAnswer;
    try {
      const result = await exchange({
        connections,
        matcher: this.matcher,
        origin: this.origin,
        request,
        headers: upstreamHeaders(request, context, this.instance, names, sentAt),
        headTimeoutMs: Math.max(1, Math.round(context.deadline - sentAt)) + HEAD_TIMEOUT_SLACK_MS,
        bodyTimeoutMs: BODY_TIMEOUT_MS,
        signal,
      });
      answer = result.answer;
      this.checkAnswer(answer, result.match);
    } catch (error) {
      const elapsedMs = clock.now() - sentAt;
      release(!(error instanceof ExchangeError) || error.sent);
      runs.end(context.isRepeat, error instanceof ExchangeError && error.sent);
      this.handleFailure(error as Error, context, connections, elapsedMs);
      throw LocalUpstream.toCallError(error as Error);
    }
    this.recordResult(answer.status >= MIN_FAILURE_STATUS);
    answer.load = this.loadFor(context);
    answer.onceClosed(() => {
      this.services.registry.end(context.id, true);
      release();
      runs.end(context.isRepeat);
      this.endAttempt();
    });
    abortOverdueBody(answer, context.deadline - clock.now(), () =>
      this.handleAbortedBody(answer, context),
    );
    return answer;
  }

  /**
   * Throws if a response is a refusal by the upstream, or if it can't be trusted to be the upstream's
   * response to this request.
   */
  private checkAnswer(answer: StreamedAnswer, match: AnswerMatch): void {
    const { names } = this.services;
    const { headers, status } = answer;
    if (match === 'refusal') {
      answer.discard();
      const reason =
        status === MISDIRECTED_REQUEST_STATUS
          ? 'another instance is at the address'
          : 'the upstream sheds load';
      throw new NotRunError(reason, { reachedUpstream: true });
    }
    if (match === 'foreign' || match === 'unproven') {
      answer.dispose();
      throw new UnknownOutcomeError(UNUSABLE_ANSWERS[match]);
    }
    const isUnsigned = names.signature !== undefined && headers[names.signature] === undefined;
    if (isUnsigned && status < 400) {
      answer.dispose();
      throw new UnknownOutcomeError('the answer is not signed by the upstream');
    }
  }

  private handleFailure(
    error: Error,
    { route, id }: AttemptContext,
    connections: UpstreamConnections,
    elapsedMs: number,
  ): void {
    const { logger, onUnreachable } = this.services;
    const neverSent = error instanceof ExchangeError && !error.sent;
    const aborted = error instanceof ExchangeError && error.aborted;
    if (!aborted) {
      this.recordResult(true);
      logger.log('The upstream gave no usable answer.', {
        attempt: `${id.number}.${id.daemon}`,
        route,
        reason: error.message,
        elapsedMs: Math.round(elapsedMs),
      });
    }
    if (neverSent && !aborted) onUnreachable();
    const suspectMs = Math.max(
      MIN_SUSPECT_MS,
      SUSPECT_DURATION_FACTOR * (this.admission.durationMs(route) ?? 0),
    );
    if (aborted && elapsedMs > suspectMs && this.connections === connections) {
      this.replaceConnections();
    }
  }

  private handleAbortedBody(answer: StreamedAnswer, { route, id }: AttemptContext): void {
    this.recordResult(true);
    this.services.logger.log('Gave up an answer that went on after its time.', {
      attempt: `${id.number}.${id.daemon}`,
      route,
      receivedBytes: answer.receivedBytes,
      declaredBytes: answer.headers['content-length'],
    });
  }

  /** Opens a new connection pool in place of one that may be dead; calls on the old one continue. */
  private replaceConnections(): void {
    this.connections.retire();
    this.connections = this.services.connect();
    this.services.logger.log('Renewed the connections to the upstream.', { address: this.address });
  }

  /** Records how long an attempt waited for a slot, and how long it then took to be answered. */
  private recordRun(
    { route, objective }: AttemptContext,
    arrivedAt: number,
    startedAt: number | undefined,
    result: string,
  ): void {
    const now = this.services.clock.now();
    this.statistics.record({
      route,
      result,
      lateMs: now - objective,
      stagesMs: {
        queue: (startedAt ?? now) - arrivedAt,
        ...(startedAt !== undefined && { run: now - startedAt }),
      },
    });
  }

  private recordResult(failed: boolean): void {
    this.failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureShare);
  }

  private withLoad(error: NotRunError, context: AttemptContext): NotRunError {
    const load = this.loadFor(context);
    return new NotRunError(error.message, { retryAfterMs: load.waitMs, ...error.details, load });
  }

  private endAttempt(): void {
    this.openAttempts -= 1;
    if (this.openAttempts > 0) return;
    for (const resolve of this.drainWaiters.splice(0)) resolve();
  }

  private static toCallError(error: Error): Error {
    if (error instanceof NotRunError) return error;
    if (error instanceof ExchangeError && !error.sent) {
      return new NotRunError(`the upstream can't be reached: ${error.message}`);
    }
    return new UnknownOutcomeError(`the upstream gave no answer: ${error.message}`);
  }
}
