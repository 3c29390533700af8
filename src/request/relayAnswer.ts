import type { ServerResponse } from 'node:http';
import { answerHeaders, OUTCOME_HEADER, REASON_HEADER } from './callHeaders';
import type { Answer, AnswerSink, HeaderNames, Outcome } from './Types';

const MS_PER_SECOND = 1_000;

/** Says why a call has no answer. */
export interface Refusal {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: string;
  /** Milliseconds after which a caller should come again. */
  readonly retryAfterMs?: number;
}

function sinkOf(response: ServerResponse): AnswerSink {
  return {
    write: (chunk) => response.write(chunk),
    onDrain: (resume) => response.once('drain', resume),
  };
}

/** Writes head and body at once. */
function endWhole(
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
 * Passes an answer on with backpressure. One that breaks off is broken off here too, so that a part
 * never looks whole.
 *
 * @param answer - The answer.
 * @param response - Where it goes.
 * @param names - Names of the upstreams' headers.
 * @returns Whether the answer was passed on whole.
 */
export async function relayAnswer(
  answer: Answer,
  response: ServerResponse,
  names: HeaderNames,
): Promise<boolean> {
  const headers = answerHeaders(answer.headers, names);
  headers[OUTCOME_HEADER] = 'answered';
  const { whole } = answer;
  if (whole) return endWhole(answer.status, headers, whole, response);
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
