import type { Clock, DaemonId, Incarnation, Logger, ServiceName } from '../common/Types';
import { requestIdOf } from './callHeaders';
import type { CallFrame, RefusalFrame } from './channelFrames';
import type LocalUpstream from './LocalUpstream';
import NotRunError from './NotRunError';
import awaitPendingCloses from './awaitPendingCloses';
import type { Answer, CancelSignal, ChannelCallHandler, HeaderNames } from './Types';

/** The upstream beside this daemon, with the service that it belongs to. */
export interface LocalService {
  readonly service: ServiceName;
  readonly upstream: LocalUpstream;
}

/** Dependencies of the handler of calls from other daemons. */
export interface PeerCallServices {
  /** Returns the local upstream; `undefined` while it accepts no new calls. */
  readonly local: () => LocalService | undefined;
  /** Returns the incarnation of this daemon. */
  readonly incarnation: () => Incarnation;
  readonly names: HeaderNames;
  /** Returns the longest time, in milliseconds, for which a frame read now may have waited unread. */
  readonly waitedMs: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Handles calls from other daemons: runs them on the upstream beside this daemon. */
export default class PeerCallHandler implements ChannelCallHandler {
  /** @param services - Dependencies, such as the upstream beside this daemon. */
  public constructor(private readonly services: PeerCallServices) {}

  public async run(frame: CallFrame, cancel: CancelSignal): Promise<Answer> {
    const { names, waitedMs } = this.services;
    const { upstream } = this.requireRunnable(frame);
    await awaitPendingCloses(waitedMs());
    const { method, path, headers, body } = frame;
    const requestId = requestIdOf(headers, names);
    return upstream.run({ method, path, requestId, headers, body }, frame.context, cancel);
  }

  public refusalOf(frame: CallFrame, error: Error): Omit<RefusalFrame, 'kind' | 'number'> {
    const isNotRun = error instanceof NotRunError;
    const { load, retryAfterMs, reachedUpstream = false } = isNotRun ? error.details : {};
    this.logRefusal(frame, error);
    return {
      outcome: isNotRun ? 'not-run' : 'unknown',
      reason: error.message,
      load: load ?? this.services.local()?.upstream.loadFor(frame.context),
      capacityAfterMs: retryAfterMs,
      reachedUpstream,
    };
  }

  public reportInvalidFrame(daemon: DaemonId, error: Error): void {
    this.services.logger.log('Closed a channel whose frames cannot be read.', {
      daemon,
      reason: error.message,
    });
  }

  private logRefusal({ context, headers }: CallFrame, error: Error): void {
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
      reserved: counts?.reserved,
    });
  }

  private requireRunnable({ target, context }: CallFrame): LocalService {
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
