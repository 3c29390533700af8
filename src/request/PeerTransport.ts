import type { Clock } from '../common/Types';
import type CallChannel from './CallChannel';
import type { ChannelReply } from './CallChannel';
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
 * A channel on which nothing came while a call waited this long, in milliseconds, may be silent; a lost
 * packet holds it up for less.
 */
const SUSPECT_MS = 500;
/**
 * Questions after an attempt that go unanswered, in a row, before a daemon that takes connections is
 * held for frozen rather than busy.
 */
const MAX_UNANSWERED = 3;
/** Socket error where no process takes connections. */
const REFUSED = 'ECONNREFUSED';
/** Socket error where the network knows no way to a VM, as while it is cut off. */
const NO_WAY = 'EHOSTUNREACH';

/**
 * What the question after an attempt comes to: its state; or that the daemon is a newer incarnation,
 * or couldn't be asked, which both prove nothing.
 */
export type FenceReply = AttemptState | 'replaced' | 'unanswered';

/**
 * Asks an upstream's daemon, on a new connection, what became of an attempt, and forbids it if it
 * never came.
 *
 * @param upstream - Where the attempt was sent.
 * @param context - The attempt.
 * @param giveUp - Forbids it also where it waits for a slot.
 * @returns What it says.
 */
export type Fence = (
  upstream: Upstream,
  context: AttemptContext,
  giveUp: boolean,
) => Promise<FenceReply>;

/** Asks after a call on a channel that may be silent. */
interface SilenceWatch {
  timer: NodeJS.Timeout | undefined;
  stopped: boolean;
  /** Whether the daemon was found unreachable. */
  unreachable: boolean;
  /** Questions in a row that it didn't answer. */
  unanswered: number;
  /** Asks ahead of time, until the first question. */
  askEarly: (() => void) | undefined;
}

/** Sends attempts to the daemon beside the upstream. */
export default class PeerTransport implements AttemptTransport {
  /**
   * @param channels - Connections to other daemons.
   * @param fence - Resolves attempts on connections that failed or fell silent.
   * @param liveness - Watches whether other daemons answer at all.
   * @param silenceMs - How long to wait for an answer's head before asking, in milliseconds.
   * @param clock - Source of time.
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
    let askEarly: () => void = () => undefined;
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
      // What may run again is tried elsewhere sooner than its first attempt can be judged.
      () => (context.idempotent ? onSilent?.() : askEarly()),
    );
    let verdict: Error | undefined;
    const giveUp = (error: Error) => {
      verdict = error;
      this.channels.leave(upstream.address, channel);
      call.abort();
    };
    const watch = this.watch(upstream, context, giveUp);
    askEarly = () => watch.askEarly?.();
    const giveUpUnsent = (reason: string) => giveUp(PeerTransport.lost(`never sent: ${reason}`));
    const life = this.liveness.watch(upstream.address, {
      onSilent: () => (call.isSent() ? onSilent?.() : giveUpUnsent('the daemon stopped answering')),
      onUnreachable: (reason) => {
        watch.unreachable = true;
        const found = `the daemon is unreachable: ${reason}`;
        if (!call.isSent()) giveUpUnsent(found);
        // What may run once has nothing to gain by being given up.
        else if (context.idempotent) giveUp(new UnknownOutcomeError(found));
      },
    });
    try {
      const reply = await call.reply;
      this.liveness.heard(upstream.address);
      return PeerTransport.judge(reply);
    } catch (error) {
      if (verdict) throw verdict;
      if (!(error instanceof ExchangeError)) throw error;
      if (error.aborted) this.suspect(upstream, channel, sentAt);
      throw await this.explain(upstream, context, error, signal);
    } finally {
      clearTimeout(watch.timer);
      watch.stopped = true;
      life.dispose();
    }
  }

  /** Lets new calls go over another channel where a call was given up on one that may be silent. */
  private suspect({ address }: Upstream, channel: CallChannel, sentAt: number): void {
    const isLong = this.clock.now() - sentAt > SUSPECT_MS;
    if (isLong && channel.lastHeardAt < sentAt) this.channels.leave(address, channel);
  }

  private async explain(
    upstream: Upstream,
    context: AttemptContext,
    error: ExchangeError,
    { reason }: CancelSignal,
  ): Promise<Error> {
    // Nobody waits for what became of a call that was given up, and the other daemon is told.
    if (error.aborted) {
      const why = typeof reason === 'symbol' ? reason.description : (reason as Error)?.message;
      return new UnknownOutcomeError(`the call was given up: ${why}`);
    }
    if (error.code === REFUSED) this.liveness.refused(upstream.address);
    else if (error.code === NO_WAY) this.liveness.unconnected(upstream.address);
    return this.resolve(upstream, context, error);
  }

  /** Asks after a silent attempt again and again, on new connections, until it is resolved. */
  private watch(
    upstream: Upstream,
    context: AttemptContext,
    giveUp: (error: Error) => void,
  ): SilenceWatch {
    const watch: SilenceWatch = {
      timer: undefined,
      stopped: false,
      unreachable: false,
      unanswered: 0,
      askEarly: undefined,
    };
    let before: FenceReply | undefined;
    const ask = async () => {
      clearTimeout(watch.timer);
      watch.askEarly = undefined;
      const state = await this.fence(upstream, context, false);
      if (watch.stopped) return;
      watch.unanswered = state === 'unanswered' ? watch.unanswered + 1 : 0;
      const pending = PeerTransport.isPending(state, before, watch);
      before = state;
      if (pending) watch.timer = setTimeout(() => void ask(), this.silenceMs);
      else giveUp(PeerTransport.verdict(state, 'the connection fell silent'));
    };
    watch.timer = setTimeout(() => void ask(), this.silenceMs);
    watch.askEarly = () => void ask();
    return watch;
  }

  private static isPending(
    state: FenceReply,
    before: FenceReply | undefined,
    { unreachable, unanswered }: SilenceWatch,
  ): boolean {
    if (state === 'running' || state === 'queued') return true;
    // The answer of an attempt that has just ended may still be on its way.
    if (state === 'done') return before !== 'done';
    // A daemon that is too busy for the question may be running the call.
    return state === 'unanswered' && !unreachable && unanswered < MAX_UNANSWERED;
  }

  private async resolve(
    upstream: Upstream,
    context: AttemptContext,
    error: ExchangeError,
  ): Promise<Error> {
    if (!error.sent) return PeerTransport.lost(`never sent: ${error.message}`);
    // What may run again is tried elsewhere sooner than its first attempt can be judged.
    if (context.idempotent) return new UnknownOutcomeError(error.message);
    return PeerTransport.verdict(await this.fence(upstream, context, true), error.message);
  }

  private static verdict(state: FenceReply, reason: string): Error {
    if (state === 'forbidden') return PeerTransport.lost(`${reason}; the attempt was fenced off`);
    const known = state === 'replaced' || state === 'unanswered' ? 'unresolved' : state;
    return new UnknownOutcomeError(`${reason}; the attempt is ${known}`);
  }

  private static lost(reason: string): NotRunError {
    return new NotRunError(reason, { lost: true });
  }

  /** Tells an answer of the upstream from a refusal of its daemon. */
  private static judge(reply: ChannelReply): Answer {
    if (reply instanceof StreamedAnswer) return reply;
    const { outcome, reason, load, roomMs, reachedUpstream } = reply;
    if (outcome !== 'not-run') throw new UnknownOutcomeError(reason);
    throw new NotRunError(reason, { load, retryAfterMs: roomMs, reachedUpstream });
  }
}
