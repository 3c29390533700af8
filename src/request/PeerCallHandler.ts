import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Incarnation, Logger, ServiceName } from '../common/Types';
import { parsePeerCall, type PeerCall } from './callHeaders';
import CALLER_LEFT from './callerLeft';
import type LocalUpstream from './LocalUpstream';
import NotRunError from './NotRunError';
import readRequest from './readRequest';
import { refuseCall, relayAnswer } from './relayAnswer';
import settleCloses from './settleCloses';
import type { CallRequest, HeaderNames } from './Types';

/** The upstream beside this daemon, and whose it is. */
export interface LocalService {
  readonly service: ServiceName;
  readonly upstream: LocalUpstream;
}

/** What the handler uses of its daemon. */
export interface PeerCallServices {
  /** The upstream, while it takes new work. */
  readonly local: () => LocalService | undefined;
  /** Of this daemon. */
  readonly incarnation: () => Incarnation;
  /** Largest request body. */
  readonly maxBodyBytes: () => number;
  readonly names: HeaderNames;
  /** Lag of the event loop, in milliseconds: how long a request may have waited to be read. */
  readonly lagMs: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Runs on the upstream beside this daemon what other daemons send. */
export default class PeerCallHandler {
  /** @param services - What it uses. */
  public constructor(private readonly services: PeerCallServices) {}

  /**
   * @param message - The request.
   * @param response - Where the answer goes.
   */
  public async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { names, clock } = this.services;
    const cancel = new AbortController();
    const leave = () => cancel.abort(CALLER_LEFT);
    response.once('close', leave);
    const began = clock.now();
    const local = this.services.local();
    let call: PeerCall | undefined;
    let request: CallRequest | undefined;
    try {
      call = this.accept(message, local);
      request = await readRequest(message, this.services.maxBodyBytes(), names);
      await settleCloses(this.services.lagMs());
      const answer = await local!.upstream.run(request, call.context, cancel.signal);
      response.off('close', leave);
      await relayAnswer(answer, response, names, local!.upstream.loadFor(call.context));
    } catch (error) {
      const notRun = error instanceof NotRunError;
      const { load, retryAfterMs, reachedUpstream } = notRun ? error.details : {};
      this.note(call, request, error as Error, clock.now() - began);
      refuseCall(
        {
          status: notRun ? 503 : 502,
          outcome: notRun ? 'not-run' : 'unknown',
          reason: (error as Error).message,
          load: load ?? (call && local?.upstream.loadFor(call.context)),
          roomMs: retryAfterMs,
          reachedUpstream,
        },
        response,
      );
    }
  }

  private note(
    call: PeerCall | undefined,
    request: CallRequest | undefined,
    error: Error,
    elapsedMs: number,
  ): void {
    const { logger, clock } = this.services;
    logger.log('Turned a call away.', {
      request: request?.requestId,
      attempt: call && `${call.context.id.number}.${call.context.id.daemon}`,
      route: call?.context.route,
      outcome: error instanceof NotRunError ? 'not-run' : 'unknown',
      reason: error.message,
      elapsedMs: Math.round(elapsedMs),
      deadlineLeftMs: call && Math.round(call.context.deadline - clock.now()),
      running: this.services.local()?.upstream.counts.running,
      waiting: this.services.local()?.upstream.counts.waiting,
    });
  }

  private accept(message: IncomingMessage, local: LocalService | undefined): PeerCall {
    const { clock, lagMs } = this.services;
    const call = parsePeerCall(message.headers, clock.now() - lagMs());
    if (!call) throw new NotRunError('this address takes calls of daemons only');
    if (call.target !== this.services.incarnation()) {
      throw new NotRunError('the call was meant for another incarnation of this daemon');
    }
    if (clock.now() >= call.context.deadline) throw new NotRunError('the deadline has passed');
    if (local?.service !== call.context.service) {
      throw new NotRunError(`service ${call.context.service} takes no new work here`);
    }
    return call;
  }
}
