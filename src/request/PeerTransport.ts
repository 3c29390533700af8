import type { Clock } from '../common/Types';
import {
  OUTCOME_HEADER,
  parseLoad,
  peerCallHeaders,
  REACHED_HEADER,
  REASON_HEADER,
  ROOM_HEADER,
} from './callHeaders';
import CALLER_LEFT from './callerLeft';
import exchange from './exchange';
import ExchangeError from './ExchangeError';
import NotRunError from './NotRunError';
import type PeerPools from './PeerPools';
import type StreamedAnswer from './StreamedAnswer';
import type {
  Answer,
  AttemptContext,
  AttemptState,
  AttemptTransport,
  CallRequest,
  Liveness,
  Upstream,
} from './Types';
import UnknownOutcomeError from './UnknownOutcomeError';

/** Longest pause within a body before its connection counts as silent. */
const BODY_TIMEOUT_MS = 30_000;
/** Socket errors of connections that were never opened. */
const UNREACHABLE_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Asks an upstream's daemon, on a new connection, what became of an attempt, and forbids it if it
 * never came.
 *
 * @param upstream - Where the attempt was sent.
 * @param context - The attempt.
 * @param giveUp - Forbids it also where it waits for a slot.
 * @returns The attempt's state; `undefined` where the daemon can't be asked or is a newer
 * incarnation, which proves nothing.
 */
export type Fence = (
  upstream: Upstream,
  context: AttemptContext,
  giveUp: boolean,
) => Promise<AttemptState | undefined>;

/** Sends attempts to the daemon beside the upstream. */
export default class PeerTransport implements AttemptTransport {
  /**
   * @param pools - Connections to other daemons.
   * @param fence - Resolves attempts on connections that failed or fell silent.
   * @param liveness - Watches whether other daemons answer at all.
   * @param silenceMs - How long to wait for an answer's head before asking, in milliseconds.
   * @param clock - Source of time.
   */
  public constructor(
    private readonly pools: PeerPools,
    private readonly fence: Fence,
    private readonly liveness: Liveness,
    private readonly silenceMs: number,
    private readonly clock: Clock,
  ) {}

  public async send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: AbortSignal,
  ): Promise<Answer> {
    const pool = this.pools.get(upstream.address);
    let abort: () => void;
    let verdict: Error | undefined;
    const giveUp = (error: Error) => {
      verdict = error;
      this.pools.leave(upstream.address, pool);
      abort();
    };
    const watch = this.watch(upstream, context, giveUp);
    const life = this.liveness.watch(upstream.address, () => {
      // What may run only once has nothing to gain: its answer may still come.
      if (context.idempotent) giveUp(new UnknownOutcomeError('the daemon stopped answering'));
    });
    try {
      const answer = await exchange({
        dispatcher: pool,
        origin: `http://${upstream.address}`,
        request,
        headers: peerCallHeaders(request, context, upstream.incarnation, this.clock.now()),
        headTimeoutMs: 0,
        bodyTimeoutMs: BODY_TIMEOUT_MS,
        signal,
        onStart: (cancel) => {
          abort = cancel;
        },
      });
      this.liveness.heard(upstream.address);
      return PeerTransport.judge(answer);
    } catch (error) {
      if (verdict) throw verdict;
      if (!(error instanceof ExchangeError)) throw error;
      if (signal.reason === CALLER_LEFT) throw new UnknownOutcomeError('the caller left');
      if (error.code !== undefined && UNREACHABLE_CODES.has(error.code)) {
        this.liveness.refused(upstream.address);
      }
      throw await this.resolve(upstream, context, error);
    } finally {
      clearTimeout(watch.timer);
      watch.stopped = true;
      life.dispose();
    }
  }

  /** Asks after a silent attempt again and again, on new connections, until it is resolved. */
  private watch(
    upstream: Upstream,
    context: AttemptContext,
    giveUp: (error: Error) => void,
  ): { timer: NodeJS.Timeout; stopped: boolean } {
    const watch = { timer: undefined as unknown as NodeJS.Timeout, stopped: false };
    let before: AttemptState | undefined;
    const ask = async () => {
      const state = await this.fence(upstream, context, false);
      if (watch.stopped) return;
      // The answer of an attempt that has just ended may still be on its way.
      const pending =
        state === 'running' || state === 'queued' || (state === 'done' && before !== 'done');
      before = state;
      if (pending) watch.timer = setTimeout(() => void ask(), this.silenceMs);
      else giveUp(PeerTransport.verdict(state, 'the connection fell silent'));
    };
    watch.timer = setTimeout(() => void ask(), this.silenceMs);
    return watch;
  }

  private async resolve(
    upstream: Upstream,
    context: AttemptContext,
    error: ExchangeError,
  ): Promise<Error> {
    if (!error.sent) return new NotRunError(`never sent: ${error.message}`);
    // What may run again is tried elsewhere sooner than its first attempt can be judged.
    if (context.idempotent) return new UnknownOutcomeError(error.message);
    return PeerTransport.verdict(await this.fence(upstream, context, true), error.message);
  }

  private static verdict(state: AttemptState | undefined, reason: string): Error {
    return state === 'forbidden'
      ? new NotRunError(`${reason}; the attempt was fenced off`)
      : new UnknownOutcomeError(`${reason}; the attempt is ${state ?? 'unresolved'}`);
  }

  /** Tells an answer of the upstream from a refusal of its daemon. */
  private static judge(answer: StreamedAnswer): Answer {
    const { headers } = answer;
    const load = parseLoad(headers);
    const outcome = headers[OUTCOME_HEADER];
    if (outcome === 'answered') return Object.assign(answer, { load });
    const reason = String(headers[REASON_HEADER] ?? 'no reason given');
    answer.discard();
    if (outcome !== 'not-run') throw new UnknownOutcomeError(reason);
    const roomMs = Number(headers[ROOM_HEADER]);
    throw new NotRunError(reason, {
      load,
      retryAfterMs: Number.isFinite(roomMs) ? roomMs : undefined,
      reachedUpstream: headers[REACHED_HEADER] !== undefined,
    });
  }
}
