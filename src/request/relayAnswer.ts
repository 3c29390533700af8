import type { ServerResponse } from 'node:http';
import {
  answerHeaders,
  formatLoad,
  LOAD_HEADER,
  OUTCOME_HEADER,
  REACHED_HEADER,
  REASON_HEADER,
  ROOM_HEADER,
} from './callHeaders';
import type { Answer, AnswerSink, HeaderNames, Outcome, UpstreamLoad } from './Types';

const MS_PER_SECOND = 1_000;

/** Says why a call has no answer. */
export interface Refusal {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: string;
  /** Load of the upstream, for peers. */
  readonly load?: UpstreamLoad;
  /** Milliseconds after which room is expected, for peers. */
  readonly roomMs?: number;
  /** The upstream itself turned the call away, for peers. */
  readonly reachedUpstream?: boolean;
  /** Milliseconds after which a caller should come again. */
  readonly retryAfterMs?: number;
}

function sinkOf(response: ServerResponse): AnswerSink {
  return {
    write: (chunk) => response.write(chunk),
    onDrain: (resume) => response.once('drain', resume),
  };
}

/**
 * Passes an answer on with backpressure. One that breaks off is broken off here too, so that a part
 * never looks whole.
 *
 * @param answer - The answer.
 * @param response - Where it goes.
 * @param names - Names of the upstreams' headers.
 * @param load - Load of the upstream, for peers.
 * @returns Whether the answer was passed on whole.
 */
export async function relayAnswer(
  answer: Answer,
  response: ServerResponse,
  names: HeaderNames,
  load?: UpstreamLoad,
): Promise<boolean> {
  const headers = answerHeaders(answer.headers, names);
  headers[OUTCOME_HEADER] = 'answered';
  if (load !== undefined) headers[LOAD_HEADER] = formatLoad(load);
  response.once('close', () => answer.dispose());
  // Head and body leave in one segment where both are there.
  response.cork();
  response.writeHead(answer.status, headers);
  process.nextTick(() => response.uncork());
  try {
    await answer.pipe(sinkOf(response));
    response.end();
    return true;
  } catch {
    // The caller's connection ends too; whoever awaits this logs that the answer broke off.
    response.destroy();
    return false;
  }
}

/**
 * Answers a call that has no answer from an upstream.
 *
 * @param refusal - Why.
 * @param response - Where it goes.
 */
export function refuseCall(refusal: Refusal, response: ServerResponse): void {
  if (response.destroyed || response.headersSent) return;
  const { load, roomMs, retryAfterMs, reachedUpstream } = refusal;
  const body = `${JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })}\n`;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: refusal.outcome,
    [REASON_HEADER]: refusal.reason.replace(/[^\x20-\x7e]/g, '?'),
  };
  if (load) headers[LOAD_HEADER] = formatLoad(load);
  if (roomMs !== undefined) headers[ROOM_HEADER] = Math.round(roomMs);
  if (reachedUpstream) headers[REACHED_HEADER] = 1;
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = (Math.max(0, retryAfterMs) / MS_PER_SECOND).toFixed(3);
  }
  response.writeHead(refusal.status, headers);
  response.end(body);
}
