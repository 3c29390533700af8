import type { Dispatcher } from 'undici';
import type { Address, Clock, Disposable } from '../common/Types';
import type { Service } from '../version/Types';
import Admission from './Admission';
import type AttemptRegistry from './AttemptRegistry';
import { upstreamHeaders } from './callHeaders';
import exchange from './exchange';
import ExchangeError from './ExchangeError';
import NotRunError from './NotRunError';
import type StreamedAnswer from './StreamedAnswer';
import type { Answer, AttemptContext, CallRequest } from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

const HEAD_TIMEOUT_SLACK_MS = 1_000;
const BODY_TIMEOUT_MS = 30_000;

/** A pool of connections that can be closed. */
export type UpstreamPool = Dispatcher & { destroy(): Promise<void> };

/**
 * The upstream beside this daemon. Only this daemon connects to it, so its slots, its drain and
 * what it never ran have one judge.
 */
export default class LocalUpstream implements Disposable {
  private readonly admission: Admission;

  private readonly origin: string;

  /** Attempts taken whose answers aren't complete. */
  private open = 0;

  private draining = false;

  private readonly drainWaiters: (() => void)[] = [];

  /**
   * @param service - The service it belongs to, in the current version.
   * @param address - Where it listens.
   * @param pool - Connections to it.
   * @param registry - Judges attempts.
   * @param clock - Source of time.
   */
  public constructor(
    service: Service,
    public readonly address: Address,
    private readonly pool: UpstreamPool,
    private readonly registry: AttemptRegistry,
    private readonly clock: Clock,
  ) {
    this.origin = `http://${address}`;
    this.admission = new Admission(service, clock, clock.now());
  }

  /** Calls running and waiting, in parts of the slots. */
  public get load(): number {
    return this.admission.load;
  }

  /** Calls that hold a slot, and calls that wait for one. */
  public get counts(): { readonly running: number; readonly waiting: number } {
    return { running: this.admission.running, waiting: this.admission.waiting };
  }

  /** @param service - The service in a new version. */
  public setLimits(service: Service): void {
    this.admission.setLimits(service);
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
    signal: AbortSignal,
  ): Promise<Answer> {
    const { id } = context;
    if (this.draining) throw new NotRunError('the upstream takes no new work');
    if (!this.registry.begin(id)) throw new NotRunError('the attempt was forbidden before it came');
    let ran = false;
    this.open += 1;
    try {
      const release = await this.admission.acquire(context.priority, context.deadline, signal);
      if (signal.aborted || !this.registry.start(id)) {
        release();
        throw new NotRunError('the attempt was given up while it waited', this.load);
      }
      ran = true;
      return await this.dispatch(request, context, signal, release);
    } catch (error) {
      // A request that was never sent hasn't run, although it had its slot.
      this.registry.end(id, ran && !(error instanceof NotRunError));
      this.close();
      throw error;
    }
  }

  /** Takes no attempt from now on; resolves once those taken have ended. */
  public async drain(): Promise<void> {
    this.draining = true;
    if (this.open === 0) return;
    await new Promise<void>((resolve) => {
      this.drainWaiters.push(resolve);
    });
  }

  public dispose(): void {
    void this.pool.destroy();
  }

  private async dispatch(
    request: CallRequest,
    context: AttemptContext,
    signal: AbortSignal,
    release: () => void,
  ): Promise<Answer> {
    const now = this.clock.now();
    let answer: StreamedAnswer;
    try {
      answer = await exchange({
        dispatcher: this.pool,
        origin: this.origin,
        request,
        headers: upstreamHeaders(request, context, now),
        headTimeoutMs: Math.max(1, Math.round(context.deadline - now)) + HEAD_TIMEOUT_SLACK_MS,
        bodyTimeoutMs: BODY_TIMEOUT_MS,
        signal,
      });
    } catch (error) {
      release();
      throw LocalUpstream.translate(error as Error);
    }
    answer.onceClosed(() => {
      this.registry.end(context.id, true);
      release();
      this.close();
    });
    return answer;
  }

  private close(): void {
    this.open -= 1;
    if (this.open > 0) return;
    for (const resolve of this.drainWaiters.splice(0)) resolve();
  }

  private static translate(error: Error): Error {
    if (error instanceof ExchangeError && !error.sent) {
      return new NotRunError(`the upstream can't be reached: ${error.message}`);
    }
    return new UnknownOutcomeError(`the upstream gave no answer: ${error.message}`);
  }
}
