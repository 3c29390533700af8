import type { Clock } from '../common/Types';
import type CallChannel from './CallChannel';
import type { ChannelReply } from './CallChannel';
import abortOverdueBody, { PEER_BODY_LIMITS } from './abortOverdueBody';
import type CallChannels from './CallChannels';
import ExchangeError from './ExchangeError';
import NotRunError from './NotRunError';
import StreamedAnswer from './StreamedAnswer';
import type {
  Answer,
  AttemptContext,
  AttemptState,
  AttemptTransport,
  CallRequest,
  CancelSignal,
  Liveness,
  Upstream,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

/**
 * If nothing is received on a channel while a call waits there for longer than this time, in
 * milliseconds, the channel is suspected to be silent. The loss of a single packet causes a shorter
 * pause.
 */
const SUSPICION_THRESHOLD_MS = 500;
/**
 * Number of consecutive unanswered fence requests (queries for the state of an attempt) after which
 * a daemon that accepts connections is considered frozen instead of busy.
 */
const MAX_UNANSWERED_REQUESTS = 3;
/** Code of the socket error if no process listens at the address. */
const REFUSED_CODE = 'ECONNREFUSED';
/** Code of the socket error if there is no route to a VM, as during a network partition. */
const NO_ROUTE_CODE = 'EHOSTUNREACH';

/**
 * Result of a fence request: the state of the attempt, `replaced` if the daemon has restarted since
 * (a newer incarnation), or `unanswered` if the request got no response. The last two prove nothing
 * about the attempt.
 */
export type FenceResult = AttemptState | 'replaced' | 'unanswered';

/**
 * Fences an attempt: asks the upstream's daemon, on a new connection, for the state of the attempt. If
 * the daemon hasn't received the attempt, it refuses it from then on.
 *
 * @param upstream - The upstream to which the attempt was sent.
 * @param context - Id and metadata of the attempt.
 * @param giveUp - Whether to forbid the attempt also if it is still waiting for a slot.
 * @returns State of the attempt, or why it can't be determined.
 */
export type Fence = (
  upstream: Upstream,
  context: AttemptContext,
  giveUp: boolean,
) => Promise<FenceResult>;

/** Progress of the fence requests that are repeated while a call waits for its answer. */
interface FenceRequests {
  timer: NodeJS.Timeout | undefined;
  stopped: boolean;
  /** Whether the failure detector found the daemon unreachable. */
  unreachable: boolean;
  /** Number of consecutive fence requests without a response. */
  unanswered: number;
  /** Sends the first fence request now, before the timer expires; `undefined` once it was sent. */
  fenceNow: (() => void) | undefined;
}

/** Sends attempts over a channel to the daemon beside the upstream, and determines how they ended. */
export default class PeerTransport implements AttemptTransport {
  /**
   * @param channels - Channels to other daemons.
   * @param fence - Determines the state of attempts on connections that failed or are silent.
   * @param liveness - Failure detector for other daemons.
   * @param silenceMs - Wait for an answer's head before the first fence request, and between two of
   * them, in milliseconds.
   * @param clock - Monotonic clock, to measure how long calls have waited.
   */
  public constructor(
    private readonly channels: CallChannels,
    private readonly fence: Fence,
    private readonly liveness: Liveness,
    private readonly silenceMs: number,
    private readonly clock: Clock,
  ) {}

  public async send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    onSilent?: () => void,
  ): Promise<Answer> {
    const channel = this.channels.get(upstream.address);
    const sentAt = this.clock.now();
    let fenceNow: () => void = () => undefined;
    const call = channel.send(
      {
        target: upstream.incarnation,
        context,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
      },
      signal,
      // An idempotent call is sent to another upstream instead, which is faster than fencing this attempt.
      () => (context.idempotent ? onSilent?.() : fenceNow()),
    );
    let abortError: Error | undefined;
    const giveUp = (error: Error) => {
      abortError = error;
      this.channels.retire(upstream.address, channel);
      call.abort();
    };
    const fencing = this.startFencing(upstream, context, giveUp);
    fenceNow = () => fencing.fenceNow?.();
    const giveUpUnsent = (reason: string) => giveUp(PeerTransport.notRun(`never sent: ${reason}`));
    const livenessWatch = this.liveness.watch(upstream.address, {
      onSilent: () => (call.isSent() ? onSilent?.() : giveUpUnsent('the daemon stopped answering')),
      onUnreachable: (reason) => {
        fencing.unreachable = true;
        const unreachableReason = `the daemon is unreachable: ${reason}`;
        if (!call.isSent()) giveUpUnsent(unreachableReason);
        // Giving up a call that must not run twice gains nothing: it could not be retried.
        else if (context.idempotent) giveUp(new UnknownOutcomeError(unreachableReason));
      },
    });
    try {
      const reply = await call.reply;
      this.liveness.reportResponse(upstream.address);
      this.limitBody(reply, context, () => this.replaceSilent(upstream, channel));
      return PeerTransport.toAnswer(reply);
    } catch (error) {
      if (abortError) throw abortError;
      if (!(error instanceof ExchangeError)) throw error;
      if (error.aborted) this.replaceIfSilent(upstream, channel, sentAt);
      throw await this.toAttemptError(upstream, context, error, signal);
    } finally {
      clearTimeout(fencing.timer);
      fencing.stopped = true;
      livenessWatch.dispose();
    }
  }

  /** Ends a body that stalls after its call's deadline, as the other daemon may be lost and end nothing. */
  private limitBody(reply: ChannelReply, { deadline }: AttemptContext, onAbort: () => void): void {
    if (!(reply instanceof StreamedAnswer)) return;
    abortOverdueBody(reply, deadline - this.clock.now(), onAbort, PEER_BODY_LIMITS);
  }

  /** Has new calls use a new channel if nothing came on the current one while a body stalled. */
  private replaceSilent({ address }: Upstream, channel: CallChannel): void {
    const silentMs = this.clock.now() - channel.lastReceivedAt;
    if (silentMs >= PEER_BODY_LIMITS.progressWindowMs) this.channels.retire(address, channel);
  }

  /** After a call was aborted, has new calls use a new channel if the current one may be silent. */
  private replaceIfSilent({ address }: Upstream, channel: CallChannel, sentAt: number): void {
    const waitedLong = this.clock.now() - sentAt > SUSPICION_THRESHOLD_MS;
    if (waitedLong && channel.lastReceivedAt < sentAt) this.channels.retire(address, channel);
  }

  private async toAttemptError(
    upstream: Upstream,
    context: AttemptContext,
    error: ExchangeError,
    { reason }: CancelSignal,
  ): Promise<Error> {
    // Nobody waits for the outcome of an aborted call, and the channel cancels it at the other daemon.
    if (error.aborted) {
      const cause = typeof reason === 'symbol' ? reason.description : (reason as Error)?.message;
      return new UnknownOutcomeError(`the call was given up: ${cause}`);
    }
    if (error.code === REFUSED_CODE) this.liveness.reportConnectionRefused(upstream.address);
    else if (error.code === NO_ROUTE_CODE) this.liveness.reportNoRoute(upstream.address);
    return this.determineOutcome(upstream, context, error);
  }

  /** Sends fence requests for an unanswered attempt, on new connections, until its state is known. */
  private startFencing(
    upstream: Upstream,
    context: AttemptContext,
    giveUp: (error: Error) => void,
  ): FenceRequests {
    const fencing: FenceRequests = {
      timer: undefined,
      stopped: false,
      unreachable: false,
      unanswered: 0,
      fenceNow: undefined,
    };
    let previousState: FenceResult | undefined;
    const sendRequest = async () => {
      clearTimeout(fencing.timer);
      fencing.fenceNow = undefined;
      const state = await this.fence(upstream, context, false);
      if (fencing.stopped) return;
      fencing.unanswered = state === 'unanswered' ? fencing.unanswered + 1 : 0;
      const isPending = PeerTransport.isPending(state, previousState, fencing);
      previousState = state;
      if (isPending) fencing.timer = setTimeout(() => void sendRequest(), this.silenceMs);
      else giveUp(PeerTransport.errorForState(state, 'the connection fell silent'));
    };
    fencing.timer = setTimeout(() => void sendRequest(), this.silenceMs);
    fencing.fenceNow = () => void sendRequest();
    return fencing;
  }

  private static isPending(
    state: FenceResult,
    previousState: FenceResult | undefined,
    { unreachable, unanswered }: FenceRequests,
  ): boolean {
    if (state === 'running' || state === 'queued') return true;
    // The answer of an attempt that has just ended may still be in transit.
    if (state === 'done') return previousState !== 'done';
    // A daemon that is too busy to answer the fence request may be running the call.
    return state === 'unanswered' && !unreachable && unanswered < MAX_UNANSWERED_REQUESTS;
  }

  private async determineOutcome(
    upstream: Upstream,
    context: AttemptContext,
    error: ExchangeError,
  ): Promise<Error> {
    if (!error.sent) return PeerTransport.notRun(`never sent: ${error.message}`);
    // An idempotent call is sent to another upstream instead, which is faster than fencing this attempt.
    if (context.idempotent) return new UnknownOutcomeError(error.message);
    return PeerTransport.errorForState(await this.fence(upstream, context, true), error.message);
  }

  private static errorForState(state: FenceResult, reason: string): Error {
    if (state === 'forbidden') return PeerTransport.notRun(`${reason}; the attempt was fenced off`);
    const shownState = state === 'replaced' || state === 'unanswered' ? 'unresolved' : state;
    return new UnknownOutcomeError(`${reason}; the attempt is ${shownState}`);
  }

  private static notRun(reason: string): NotRunError {
    return new NotRunError(reason, { connectionLost: true });
  }

  /** Returns the upstream's answer, or throws an error if the other daemon refused the call. */
  private static toAnswer(reply: ChannelReply): Answer {
    if (reply instanceof StreamedAnswer) return reply;
    const { outcome, reason, load, capacityAfterMs, reachedUpstream } = reply;
    if (outcome !== 'not-run') throw new UnknownOutcomeError(reason);
    throw new NotRunError(reason, { load, retryAfterMs: capacityAfterMs, reachedUpstream });
  }
}
