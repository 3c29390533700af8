import type { Address, Clock, Disposable, InstanceId, Logger } from '../common/Types';
import Admission, { type Release, type UpstreamLimits } from './Admission';
import type AttemptRegistry from './AttemptRegistry';
import { upstreamHeaders } from './callHeaders';
import endLateBody from './endLateBody';
import exchange from './exchange';
import ExchangeError from './ExchangeError';
import NotRunError from './NotRunError';
import settleCloses from './settleCloses';
import type StreamedAnswer from './StreamedAnswer';
import type {
  Answer,
  AttemptContext,
  CallRequest,
  CancelSignal,
  HeaderNames,
  UpstreamLoad,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';
import type UpstreamConnections from './UpstreamConnections';

/** An answer that comes after its deadline is still awaited this long, for its connection's sake. */
const HEAD_TIMEOUT_SLACK_MS = 1_000;
/** Longest pause within a body before its connection counts as silent. */
const BODY_TIMEOUT_MS = 30_000;
/** A call without an answer for this many average durations makes the connections suspect. */
const SILENT_FACTOR = 5;
/** Shortest time without an answer, in milliseconds, that makes the connections suspect. */
const MIN_SILENT_MS = 1_000;
/** Weight of the newest call in the share of failed ones: about the last twenty count. */
const FAILURE_WEIGHT = 0.05;
const MISDIRECTED = 421;
const FIRST_FAILURE_STATUS = 500;

/** What a local upstream uses of its daemon. */
export interface LocalUpstreamServices {
  /** Opens connections to the upstream. */
  readonly connect: () => UpstreamConnections;
  /** Judges attempts. */
  readonly registry: AttemptRegistry;
  readonly names: HeaderNames;
  /** Lag of this daemon's event loop, in milliseconds. */
  readonly lagMs: () => number;
  /** How long what is read now may have waited, in milliseconds. */
  readonly waitedMs: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Told when the upstream takes no connection. */
  readonly onUnreachable: () => void;
}

/**
 * The upstream beside this daemon. Only this daemon connects to it, so its slots, its drain and
 * what it never ran have one judge.
 */
export default class LocalUpstream implements Disposable {
  /** The start of the upstream that may run calls; `undefined` where it didn't say. */
  public instance: InstanceId | undefined;

  private readonly admission: Admission;

  private readonly origin: string;

  private connections: UpstreamConnections;

  private failureShare = 0;

  /** Attempts taken whose answers aren't complete. */
  private open = 0;

  private draining = false;

  private readonly drainWaiters: (() => void)[] = [];

  /**
   * @param limits - Its slots and queue.
   * @param address - Where it listens.
   * @param services - What it uses.
   */
  public constructor(
    limits: UpstreamLimits,
    public readonly address: Address,
    private readonly services: LocalUpstreamServices,
  ) {
    const { clock } = services;
    this.origin = `http://${address}`;
    this.connections = services.connect();
    this.admission = new Admission(limits, clock, clock.now());
  }

  /** Calls running and waiting, in parts of the slots. */
  public get load(): number {
    return this.admission.load;
  }

  /** Calls that hold a slot, and calls that wait for one. */
  public get counts(): { readonly running: number; readonly waiting: number } {
    return { running: this.admission.running, waiting: this.admission.waiting };
  }

  /**
   * @param context - A call; its route's durations are told.
   * @returns What callers' daemons place their calls by.
   */
  public loadFor({ route }: Pick<AttemptContext, 'route'>): UpstreamLoad {
    return {
      ...this.admission.slotLoad,
      durationMs: this.admission.durationMs(route),
      failureShare: this.failureShare,
      lagMs: this.services.lagMs(),
    };
  }

  /** @param limits - The limits in a new version. */
  public setLimits(limits: UpstreamLimits): void {
    this.admission.setLimits(limits);
  }

  /**
   * Runs an attempt at most once.
   *
   * @param request - The call.
   * @param context - What travels with it.
   * @param signal - Cancels it.
   * @returns The answer's head.
   * @throws NotRunError - It didn't run and never will.
   * @throws UnknownOutcomeError - It may have run.
   */
  public async run(
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
  ): Promise<Answer> {
    const { registry, waitedMs } = this.services;
    const { id } = context;
    if (this.draining) throw new NotRunError('the upstream takes no new work');
    if (!registry.admit(id)) throw new NotRunError('the attempt was forbidden before it came');
    let ran = false;
    this.open += 1;
    try {
      const waits = !this.admission.hasFreeSlot;
      const release = await this.admission.acquire(context, signal);
      // In a long turn the slot comes free before the close of a call that was given up is read.
      if (waits) await settleCloses(waitedMs());
      const late = this.services.clock.now() >= context.deadline;
      if (late || signal.aborted || this.draining || !registry.start(id)) {
        release(false);
        throw new NotRunError('the attempt was given up while it waited');
      }
      ran = true;
      return await this.dispatch(request, context, signal, release);
    } catch (error) {
      // A request that was never sent hasn't run, although it had its slot.
      registry.end(id, ran && !(error instanceof NotRunError));
      this.close();
      throw error instanceof NotRunError ? this.withLoad(error, context) : error;
    }
  }

  /** Takes no attempt from now on; resolves once those that run have ended. */
  public async drain(): Promise<void> {
    this.draining = true;
    this.admission.refuseWaiting('the upstream drains');
    if (this.open === 0) return;
    await new Promise<void>((resolve) => {
      this.drainWaiters.push(resolve);
    });
  }

  public dispose(): void {
    this.connections.destroy();
  }

  private async dispatch(
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    release: Release,
  ): Promise<Answer> {
    const { clock, names } = this.services;
    const { connections } = this;
    const began = clock.now();
    let answer: StreamedAnswer;
    try {
      answer = await exchange({
        dispatcher: connections.pool,
        endedInOrder: () => connections.endedInOrder(),
        meterOfHead: () => connections.meterOfHead,
        origin: this.origin,
        request,
        headers: upstreamHeaders(request, context, this.instance, names, began),
        headTimeoutMs: Math.max(1, Math.round(context.deadline - began)) + HEAD_TIMEOUT_SLACK_MS,
        bodyTimeoutMs: BODY_TIMEOUT_MS,
        signal,
      });
      this.judge(answer, request);
    } catch (error) {
      const elapsedMs = clock.now() - began;
      release(!(error instanceof ExchangeError) || error.sent);
      this.noteFailure(error as Error, context, connections, elapsedMs);
      throw LocalUpstream.translate(error as Error);
    }
    this.noteResult(answer.status >= FIRST_FAILURE_STATUS);
    answer.load = this.loadFor(context);
    answer.onceClosed(() => {
      this.services.registry.end(context.id, true);
      release();
      this.close();
    });
    endLateBody(answer, context.deadline - clock.now(), () => this.noteGivenUp(answer, context));
    return answer;
  }

  /** Tells the upstream's answer to this request from refusals and from other bytes. */
  private judge(answer: StreamedAnswer, request: CallRequest): void {
    const { names } = this.services;
    const { headers, status } = answer;
    const echoed = headers[names.requestId];
    if (echoed !== undefined && request.requestId !== undefined && echoed !== request.requestId) {
      answer.dispose();
      throw new UnknownOutcomeError('the connection brought the answer of another request');
    }
    if (headers[names.notExecuted] !== undefined) {
      answer.discard();
      const reason =
        status === MISDIRECTED ? 'another instance is at the address' : 'the upstream sheds load';
      throw new NotRunError(reason, { reachedUpstream: true });
    }
    const isUnsigned = names.signature !== undefined && headers[names.signature] === undefined;
    if (isUnsigned && status < 400) {
      answer.dispose();
      throw new UnknownOutcomeError('the answer is not signed by the upstream');
    }
  }

  private noteFailure(
    error: Error,
    { route, id }: AttemptContext,
    connections: UpstreamConnections,
    elapsedMs: number,
  ): void {
    const { logger, onUnreachable } = this.services;
    const neverSent = error instanceof ExchangeError && !error.sent;
    const aborted = error instanceof ExchangeError && error.aborted;
    if (!aborted) {
      this.noteResult(true);
      logger.log('The upstream gave no usable answer.', {
        attempt: `${id.number}.${id.daemon}`,
        route,
        reason: error.message,
        elapsedMs: Math.round(elapsedMs),
      });
    }
    if (neverSent && !aborted) onUnreachable();
    const silentMs = Math.max(
      MIN_SILENT_MS,
      SILENT_FACTOR * (this.admission.durationMs(route) ?? 0),
    );
    if (aborted && elapsedMs > silentMs && this.connections === connections) {
      this.renewConnections();
    }
  }

  private noteGivenUp(answer: StreamedAnswer, { route, id }: AttemptContext): void {
    this.noteResult(true);
    this.services.logger.log('Gave up an answer that went on after its time.', {
      attempt: `${id.number}.${id.daemon}`,
      route,
      receivedBytes: answer.receivedBytes,
      declaredBytes: answer.headers['content-length'],
    });
  }

  /** Leaves connections that may have gone silent; what runs on them goes on. */
  private renewConnections(): void {
    this.connections.retire();
    this.connections = this.services.connect();
    this.services.logger.log('Renewed the connections to the upstream.', { address: this.address });
  }

  private noteResult(failed: boolean): void {
    this.failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureShare);
  }

  private withLoad(error: NotRunError, context: AttemptContext): NotRunError {
    const load = this.loadFor(context);
    return new NotRunError(error.message, { retryAfterMs: load.waitMs, ...error.details, load });
  }

  private close(): void {
    this.open -= 1;
    if (this.open > 0) return;
    for (const resolve of this.drainWaiters.splice(0)) resolve();
  }

  private static translate(error: Error): Error {
    if (error instanceof NotRunError) return error;
    if (error instanceof ExchangeError && !error.sent) {
      return new NotRunError(`the upstream can't be reached: ${error.message}`);
    }
    return new UnknownOutcomeError(`the upstream gave no answer: ${error.message}`);
  }
}
