import type { ServerResponse } from 'node:http';
import { forwardedAnswerHeaders, OUTCOME_HEADER, REASON_HEADER } from './callHeaders';
import type { Answer, AnswerSink, HeaderNames, Outcome } from './Types';

const MS_PER_SECOND = 1_000;

/** Describes why a call got no answer from an upstream. */
export interface Refusal {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: string;
  /** Milliseconds after which the caller should retry. */
  readonly retryAfterMs?: number;
}

function toSink(response: ServerResponse): AnswerSink {
  return {
    write: (chunk) => response.write(chunk),
    onDrain: (resume) => response.once('drain', resume),
  };
}

/** Sends a response whose body is complete. */
function sendComplete(
  status: number,
  headers: Record<string, string | string[]>,
  body: Buffer,
  response: ServerResponse,
): boolean {
  if (response.destroyed) return false;
  const lacksLength = body.length > 0 && headers['content-length'] === undefined;
  const length = lacksLength ? { 'content-length': String(body.length) } : {};
  response.writeHead(status, { ...headers, ...length });
  response.end(body);
  return true;
}

/**
 * Forwards an upstream's answer to the caller, with backpressure. If the answer is truncated, the
 * caller's connection is destroyed, so that the caller can't take the truncated body for a complete one.
 *
 * @param answer - The upstream's answer.
 * @param response - Response to the caller.
 * @param names - Names of the headers that upstreams use.
 * @returns Whether the complete answer was written to the response.
 */
export async function relayAnswer(
  answer: Answer,
  response: ServerResponse,
  names: HeaderNames,
): Promise<boolean> {
  const headers = forwardedAnswerHeaders(answer.headers, names);
  headers[OUTCOME_HEADER] = 'answered';
  const { completeBody } = answer;
  if (completeBody) return sendComplete(answer.status, headers, completeBody, response);
  response.once('close', () => answer.dispose());
  // Sends head and body in one segment if a part of the body is already available.
  response.cork();
  response.writeHead(answer.status, headers);
  process.nextTick(() => response.uncork());
  try {
    await answer.pipe(toSink(response));
    response.end();
    return true;
  } catch {
    // The call handler logs the truncation when this function returns false.
    response.destroy();
    return false;
  }
}

/**
 * Responds to a call that got no answer from an upstream, unless a response was already begun.
 *
 * @param refusal - Why the call got no answer.
 * @param response - Response to the caller.
 */
export function refuseCall(refusal: Refusal, response: ServerResponse): void {
  if (response.destroyed || response.headersSent) return;
  const { retryAfterMs } = refusal;
  const body = `${JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })}\n`;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: refusal.outcome,
    [REASON_HEADER]: refusal.reason.replace(/[^\x20-\x7e]/g, '?'),
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = (Math.max(0, retryAfterMs) / MS_PER_SECOND).toFixed(3);
  }
  response.writeHead(refusal.status, headers);
  response.end(body);
}
