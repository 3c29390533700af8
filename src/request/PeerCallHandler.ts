import type { Clock, DaemonId, Incarnation, Logger, ServiceName } from '../common/Types';
import { requestIdOf } from './callHeaders';
import type { CallFrame, RefusalFrame } from './channelFrames';
import type LocalUpstream from './LocalUpstream';
import NotRunError from './NotRunError';
import settleCloses from './settleCloses';
import type { Answer, CancelSignal, ChannelCalls, HeaderNames } from './Types';

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
  readonly names: HeaderNames;
  /** How long a frame that is read now may have waited, in milliseconds. */
  readonly waitedMs: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Runs on the upstream beside this daemon what other daemons send. */
export default class PeerCallHandler implements ChannelCalls {
  /** @param services - What it uses. */
  public constructor(private readonly services: PeerCallServices) {}

  public async run(frame: CallFrame, cancel: CancelSignal): Promise<Answer> {
    const { names, waitedMs } = this.services;
    const { upstream } = this.accept(frame);
    await settleCloses(waitedMs());
    const { method, path, headers, body } = frame;
    const requestId = requestIdOf(headers, names);
    return upstream.run({ method, path, requestId, headers, body }, frame.context, cancel);
  }

  public refusalOf(frame: CallFrame, error: Error): Omit<RefusalFrame, 'kind' | 'number'> {
    const notRun = error instanceof NotRunError;
    const { load, retryAfterMs, reachedUpstream = false } = notRun ? error.details : {};
    this.note(frame, error);
    return {
      outcome: notRun ? 'not-run' : 'unknown',
      reason: error.message,
      load: load ?? this.services.local()?.upstream.loadFor(frame.context),
      roomMs: retryAfterMs,
      reachedUpstream,
    };
  }

  public noteBadFrame(daemon: DaemonId, error: Error): void {
    this.services.logger.log('Closed a channel whose frames cannot be read.', {
      daemon,
      reason: error.message,
    });
  }

  private note({ context, headers }: CallFrame, error: Error): void {
    const { logger, clock, names } = this.services;
    const { id, route, priority, deadline, objective } = context;
    const counts = this.services.local()?.upstream.counts;
    logger.log('Turned a call away.', {
      request: requestIdOf(headers, names),
      attempt: `${id.number}.${id.daemon}`,
      route,
      priority,
      outcome: error instanceof NotRunError ? 'not-run' : 'unknown',
      reason: error.message,
      deadlineLeftMs: Math.round(deadline - clock.now()),
      objectiveLeftMs: Math.round(objective - clock.now()),
      running: counts?.running,
      waiting: counts?.waiting,
    });
  }

  private accept({ target, context }: CallFrame): LocalService {
    const local = this.services.local();
    if (target !== this.services.incarnation()) {
      throw new NotRunError('the call was meant for another incarnation of this daemon');
    }
    if (this.services.clock.now() >= context.deadline) {
      throw new NotRunError('the deadline has passed');
    }
    if (local?.service !== context.service) {
      throw new NotRunError(`service ${context.service} takes no new work here`);
    }
    return local;
  }
}
