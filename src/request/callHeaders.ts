/**
 * The HTTP headers that azurestream reads, writes and forwards; docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import { encodeHeader } from '../common/headerText';
import type { InstanceId, RequestId } from '../common/Types';
import type { AttemptContext, CallRequest, HeaderNames } from './Types';

/** Prefix of the headers that azurestream defines. */
const HEADER_PREFIX = 'x-azurestream-';

/** Header with the outcome of a call: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'x-azurestream-outcome';
/** Header with the reason, as human-readable text, why a call got no response. */
export const REASON_HEADER = 'x-azurestream-reason';
/** Header with the number of attempts made so far for a call and for the calls that led to it. */
export const ATTEMPTS_HEADER = 'x-azurestream-attempts';

/**
 * Headers that concern a single connection and are never forwarded.
 *
 * @see {@link https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1}
 */
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

function connectionOptions(connection: string | undefined): ReadonlySet<string> {
  if (!connection || connection === 'keep-alive' || connection === 'close') return new Set();
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Whether a request header is meant for daemons or set by daemons only, so that a value from the caller is
 * not forwarded.
 */
function isForDaemons(name: string, names: HeaderNames): boolean {
  if (name === names.requestId) return false;
  return (
    name.startsWith(HEADER_PREFIX) ||
    name === names.deadlineMs ||
    name === names.callerService ||
    name === names.apiKey ||
    name === names.organisation ||
    name === names.expectedInstance
  );
}

/**
 * Selects the headers of a request that are forwarded to the upstream.
 *
 * @param rawHeaders - Header names and values, alternating, as received.
 * @param connection - Value of the Connection header.
 * @param names - Names of the headers that callers use.
 * @returns Names and values, alternating, without hop-by-hop headers and those that daemons set.
 */
export function forwardedRequestHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  names: HeaderNames,
): string[] {
  const options = connectionOptions(connection);
  const forwarded: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isDropped =
      HOP_BY_HOP.has(name) ||
      name === 'content-length' ||
      isForDaemons(name, names) ||
      options.has(name);
    if (!isDropped) forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return forwarded;
}

/**
 * Selects the headers of an upstream's answer that are forwarded to the caller.
 *
 * @param headers - Headers of the answer.
 * @param names - Names of the headers that upstreams use.
 * @returns The headers without hop-by-hop headers and those that only daemons and upstreams exchange.
 */
export function forwardedAnswerHeaders(
  headers: IncomingHttpHeaders,
  names: HeaderNames,
): Record<string, string | string[]> {
  const options = connectionOptions(headers.connection);
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP.has(name) || options.has(name);
    const isInternal = name.startsWith(HEADER_PREFIX) && name !== names.requestId;
    if (!isDropped && !isInternal && value !== undefined) forwarded[name] = value;
  }
  return forwarded;
}

function remainingMs(time: number, now: number): number {
  return Math.max(1, Math.round(time - now));
}

/**
 * Builds the headers of a request to the upstream. They include the number of attempts made so far,
 * which the upstream sends on with the calls that it makes for this one.
 *
 * @param request - The request to send.
 * @param context - Properties of the attempt, such as its deadline and the attempts made so far.
 * @param instance - Id of the only upstream instance that may run the request; `undefined` if it
 * isn't known.
 * @param names - Names of the headers that the upstream uses.
 * @param now - Current monotonic time in ms, to calculate the time left until the deadline.
 * @returns Header names and values, alternating.
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
    String(remainingMs(context.deadline, now)),
    ATTEMPTS_HEADER,
    String(context.attempts),
  ];
  if (context.callerService) headers.push(names.callerService, encodeHeader(context.callerService));
  if (context.organisation) headers.push(names.organisation, encodeHeader(context.organisation));
  if (instance) headers.push(names.expectedInstance, instance);
  return headers;
}

/**
 * Reads a header whose value is a positive number.
 *
 * @param headers - Headers of a request or a response.
 * @param name - Name of the header, in lower case.
 * @param fallback - Result if the header is absent or isn't a positive number.
 * @returns The value of the header, or the fallback.
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
 * Finds the request id that the caller sent.
 *
 * @param headers - Header names and values, alternating.
 * @param names - Names of the headers that callers use.
 * @returns The request id; `undefined` if the caller sent none.
 */
export function requestIdOf(headers: readonly string[], names: HeaderNames): RequestId | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === names.requestId) return headers[index + 1] as RequestId;
  }
  return undefined;
}
