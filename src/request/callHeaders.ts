/**
 * Headers that azurestream reads and writes; docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { InstanceId, RequestId } from '../common/Types';
import type { AttemptContext, CallRequest, HeaderNames } from './Types';

/** Prefix of the product's own headers. */
const PREFIX = 'x-azurestream-';

/** What became of a call: answered, not-run or unknown. */
export const OUTCOME_HEADER = 'x-azurestream-outcome';
/** Why a call has no answer, in words. */
export const REASON_HEADER = 'x-azurestream-reason';
/** Attempts made for a call so far, on all levels above. */
export const ATTEMPTS_HEADER = 'x-azurestream-attempts';

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

function namedByConnection(connection: string | undefined): ReadonlySet<string> {
  if (!connection || connection === 'keep-alive' || connection === 'close') return new Set();
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/** Whether a header of a request is the daemons' to set, whatever a caller sent. */
function isOwn(name: string, names: HeaderNames): boolean {
  if (name === names.requestId) return false;
  return (
    name.startsWith(PREFIX) ||
    name === names.deadlineMs ||
    name === names.callerService ||
    name === names.expectedInstance
  );
}

/**
 * @param rawHeaders - Names and values in turn, as they came.
 * @param connection - Value of the Connection header.
 * @param names - Names of the callers' headers.
 * @returns Those that may be passed on.
 */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  names: HeaderNames,
): string[] {
  const named = namedByConnection(connection);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const drop =
      HOP_BY_HOP.has(name) || name === 'content-length' || isOwn(name, names) || named.has(name);
    if (!drop) kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/**
 * @param headers - Headers of an answer.
 * @param names - Names of the upstreams' headers.
 * @returns Those that may be passed on.
 */
export function answerHeaders(
  headers: IncomingHttpHeaders,
  names: HeaderNames,
): Record<string, string | string[]> {
  const named = namedByConnection(headers.connection);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const drop = HOP_BY_HOP.has(name) || named.has(name);
    const internal = name.startsWith(PREFIX) && name !== names.requestId;
    if (!drop && !internal && value !== undefined) kept[name] = value;
  }
  return kept;
}

function millisecondsLeft(until: number, now: number): number {
  return Math.max(1, Math.round(until - now));
}

/**
 * @param request - The call.
 * @param context - What travels with it.
 * @param instance - The instance that may run it, where it is known.
 * @param names - Names of the upstream's headers.
 * @param now - Monotonic time in ms.
 * @returns Headers for the upstream, which passes the attempts on with the calls that it makes.
 */
export function upstreamHeaders(
  request: CallRequest,
  context: AttemptContext,
  instance: InstanceId | undefined,
  names: HeaderNames,
  now: number,
): string[] {
  const headers = [
    ...request.headers,
    names.deadlineMs,
    String(millisecondsLeft(context.deadline, now)),
    ATTEMPTS_HEADER,
    String(context.attempts),
  ];
  if (context.callerService) headers.push(names.callerService, context.callerService);
  if (instance) headers.push(names.expectedInstance, instance);
  return headers;
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

/**
 * @param headers - Names and values in turn.
 * @param names - Names of the callers' headers.
 * @returns The caller's id among them, if it sent one.
 */
export function requestIdOf(headers: readonly string[], names: HeaderNames): RequestId | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === names.requestId) return headers[index + 1] as RequestId;
  }
  return undefined;
}
