/**
 * Headers that azurestream reads and writes; docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { AttemptNumber, DaemonId, Incarnation, ServiceName } from '../common/Types';
import type { AttemptContext, AttemptId, CallRequest } from './Types';

/** Prefix of every header of azurestream. */
const PREFIX = 'x-azurestream-';

/** What became of a call: answered, not-run or unknown. */
export const OUTCOME_HEADER = 'x-azurestream-outcome';
/** Why a call has no answer, in words. */
export const REASON_HEADER = 'x-azurestream-reason';
/** Milliseconds that are left for a call. */
export const DEADLINE_HEADER = 'x-azurestream-deadline-ms';
/** Attempts made for a call so far, on all levels above. */
export const ATTEMPTS_HEADER = 'x-azurestream-attempts';
/** Calls running and waiting at an upstream, in parts of its slots. */
export const LOAD_HEADER = 'x-azurestream-load';

const ATTEMPT_HEADER = 'x-azurestream-attempt';
const TARGET_HEADER = 'x-azurestream-target';
const SERVICE_HEADER = 'x-azurestream-service';
const PRIORITY_HEADER = 'x-azurestream-priority';

/** @see {@link https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1} */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** A call as a peer sent it. */
export interface PeerCall {
  readonly context: AttemptContext;
  /** Incarnation of the daemon that the peer meant. */
  readonly target: Incarnation;
}

function namedByConnection(connection: string | undefined): ReadonlySet<string> {
  if (!connection || connection === 'keep-alive' || connection === 'close') return new Set();
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * @param rawHeaders - Names and values in turn, as they came.
 * @param connection - Value of the Connection header.
 * @returns Those that may be passed on.
 */
export function forwardedHeaders(rawHeaders: readonly string[], connection?: string): string[] {
  const named = namedByConnection(connection);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const drop =
      HOP_BY_HOP.has(name) ||
      name === 'content-length' ||
      name.startsWith(PREFIX) ||
      named.has(name);
    if (!drop) kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/**
 * @param headers - Headers of an answer.
 * @returns Those that may be passed on.
 */
export function answerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const named = namedByConnection(headers.connection);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const drop = HOP_BY_HOP.has(name) || name.startsWith(PREFIX) || named.has(name);
    if (!drop && value !== undefined) kept[name] = value;
  }
  return kept;
}

/**
 * @param request - The call.
 * @param context - What travels with it.
 * @param target - Incarnation of the daemon it is meant for.
 * @param now - Monotonic time in ms.
 * @returns Headers for the peer.
 */
export function peerCallHeaders(
  request: CallRequest,
  context: AttemptContext,
  target: Incarnation,
  now: number,
): string[] {
  const { daemon, incarnation, number } = context.id;
  return [
    ...request.headers,
    ATTEMPT_HEADER,
    `${incarnation}.${number}.${daemon}`,
    TARGET_HEADER,
    String(target),
    SERVICE_HEADER,
    context.service,
    PRIORITY_HEADER,
    context.priority,
    DEADLINE_HEADER,
    String(Math.max(1, Math.round(context.deadline - now))),
    ATTEMPTS_HEADER,
    String(context.attempts),
  ];
}

/**
 * @param request - The call.
 * @param context - What travels with it.
 * @param now - Monotonic time in ms.
 * @returns Headers for the upstream, which passes them on with the calls that it makes in turn.
 */
export function upstreamHeaders(
  request: CallRequest,
  context: AttemptContext,
  now: number,
): string[] {
  return [
    ...request.headers,
    DEADLINE_HEADER,
    String(Math.max(1, Math.round(context.deadline - now))),
    ATTEMPTS_HEADER,
    String(context.attempts),
  ];
}

/**
 * @param headers - Headers of a request or an answer.
 * @param name - Name of the header.
 * @param fallback - Value where it is absent or no positive number.
 * @returns Its value.
 */
export function positiveHeader(
  headers: IncomingHttpHeaders,
  name: string,
  fallback: number,
): number {
  const value = Number(headers[name]);
  return Number.isFinite(value) && value > 0 ? value : fallback;
}

function parseAttempt(text: string): AttemptId {
  const [incarnation, number, ...daemon] = text.split('.');
  return {
    incarnation: Number(incarnation) as Incarnation,
    number: Number(number) as AttemptNumber,
    daemon: daemon.join('.') as DaemonId,
  };
}

/**
 * @param headers - Headers from a peer.
 * @param now - Monotonic time in ms.
 * @returns The call, or `undefined` where this is none.
 */
export function parsePeerCall(headers: IncomingHttpHeaders, now: number): PeerCall | undefined {
  const attempt = headers[ATTEMPT_HEADER];
  const service = headers[SERVICE_HEADER];
  if (typeof attempt !== 'string' || typeof service !== 'string') return undefined;
  const id = parseAttempt(attempt);
  if (!Number.isSafeInteger(id.number) || !Number.isSafeInteger(id.incarnation)) return undefined;
  return {
    target: Number(headers[TARGET_HEADER]) as Incarnation,
    context: {
      id,
      service: service as ServiceName,
      priority: headers[PRIORITY_HEADER] === 'background' ? 'background' : 'interactive',
      deadline: now + positiveHeader(headers, DEADLINE_HEADER, 1),
      attempts: positiveHeader(headers, ATTEMPTS_HEADER, 1),
    },
  };
}
