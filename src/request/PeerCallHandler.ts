import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Incarnation, ServiceName } from '../common/Types';
import { parsePeerCall, type PeerCall } from './callHeaders';
import CALLER_LEFT from './callerLeft';
import type LocalUpstream from './LocalUpstream';
import NotRunError from './NotRunError';
import readRequest from './readRequest';
import { refuseCall, relayAnswer } from './relayAnswer';

/** The upstream beside this daemon, and whose it is. */
export interface LocalService {
  readonly service: ServiceName;
  readonly upstream: LocalUpstream;
}

/** Runs on the upstream beside this daemon what other daemons send. */
export default class PeerCallHandler {
  /**
   * @param local - The upstream, while it takes new work.
   * @param incarnation - Of this daemon.
   * @param maxBodyBytes - Largest request body.
   * @param clock - Source of time.
   */
  public constructor(
    private readonly local: () => LocalService | undefined,
    private readonly incarnation: () => Incarnation,
    private readonly maxBodyBytes: number,
    private readonly clock: Clock,
  ) {}

  /**
   * @param message - The request.
   * @param response - Where the answer goes.
   */
  public async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const cancel = new AbortController();
    const leave = () => cancel.abort(CALLER_LEFT);
    response.once('close', leave);
    const local = this.local();
    try {
      const call = this.accept(message, local);
      const request = await readRequest(message, this.maxBodyBytes);
      const answer = await local!.upstream.run(request, call.context, cancel.signal);
      response.off('close', leave);
      await relayAnswer(answer, response, local!.upstream.load);
    } catch (error) {
      const notRun = error instanceof NotRunError;
      refuseCall(
        {
          status: notRun ? 503 : 502,
          outcome: notRun ? 'not-run' : 'unknown',
          reason: (error as Error).message,
          load: local?.upstream.load ?? 1,
        },
        response,
      );
    }
  }

  private accept(message: IncomingMessage, local: LocalService | undefined): PeerCall {
    const call = parsePeerCall(message.headers, this.clock.now());
    if (!call) throw new NotRunError('this address takes calls of daemons only');
    if (call.target !== this.incarnation()) {
      throw new NotRunError('the call was meant for another incarnation of this daemon');
    }
    if (local?.service !== call.context.service) {
      throw new NotRunError(`service ${call.context.service} takes no new work here`);
    }
    return call;
  }
}
