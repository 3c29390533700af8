import type { ServerResponse } from 'node:http';
import { answerHeaders, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER } from './callHeaders';
import type { Answer, AnswerSink, Outcome } from './Types';

/** Says why a call has no answer. */
export interface Refusal {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: string;
  /** Load of the upstream in parts of its slots, for peers. */
  readonly load?: number;
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
 * @param load - Load of the upstream, for peers.
 */
export async function relayAnswer(
  answer: Answer,
  response: ServerResponse,
  load?: number,
): Promise<void> {
  const headers = answerHeaders(answer.headers);
  headers[OUTCOME_HEADER] = 'answered';
  if (load !== undefined) headers[LOAD_HEADER] = load.toFixed(2);
  response.once('close', () => answer.dispose());
  // Head and body leave in one segment where both are there.
  response.cork();
  response.writeHead(answer.status, headers);
  process.nextTick(() => response.uncork());
  try {
    await answer.pipe(sinkOf(response));
    response.end();
  } catch {
    response.destroy();
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
  const body = `${JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })}\n`;
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: refusal.outcome,
    [REASON_HEADER]: refusal.reason.replace(/[^\x20-\x7e]/g, '?'),
    ...(refusal.load === undefined ? {} : { [LOAD_HEADER]: refusal.load.toFixed(2) }),
  });
  response.end(body);
}
