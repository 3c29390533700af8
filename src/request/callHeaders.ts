/**
 * Headers that azurestream reads and writes; docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import type {
  AttemptNumber,
  DaemonId,
  Incarnation,
  InstanceId,
  RouteName,
  ServiceName,
} from '../common/Types';
import type { AttemptContext, AttemptId, CallRequest, HeaderNames, UpstreamLoad } from './Types';

/** Prefix of the product's own headers. */
const PREFIX = 'x-azurestream-';

/** What became of a call: answered, not-run or unknown. */
export const OUTCOME_HEADER = 'x-azurestream-outcome';
/** Why a call has no answer, in words. */
export const REASON_HEADER = 'x-azurestream-reason';
/** Attempts made for a call so far, on all levels above. */
export const ATTEMPTS_HEADER = 'x-azurestream-attempts';
/** Load of the upstream, from the daemon beside it. */
export const LOAD_HEADER = 'x-azurestream-load';
/** Milliseconds after which a daemon expects room. */
export const ROOM_HEADER = 'x-azurestream-room-ms';

/** The upstream itself turned the call away. */
export const REACHED_HEADER = 'x-azurestream-reached-upstream';

/** One attempt between daemons: all its parts in one header, for few bytes between zones. */
const CALL_HEADER = 'x-azurestream-call';
const CALL_PARTS = 9;

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
  const parts = [
    `${incarnation}.${number}.${daemon}`,
    target,
    context.service,
    context.route,
    context.priority,
    millisecondsLeft(context.deadline, now),
    // May be negative: an answer that is late already.
    Math.round(context.objective - now),
    context.attempts,
    context.callerService ?? '',
  ];
  return [...request.headers, CALL_HEADER, parts.join(';')];
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
 * @param load - Load of the upstream beside this daemon.
 * @returns Value of the load header.
 */
export function formatLoad(load: UpstreamLoad): string {
  const { running, waiting, slots, waitMs, durationMs, failureShare, lagMs } = load;
  const duration = durationMs === undefined ? '' : Math.round(durationMs);
  return [
    running,
    waiting,
    slots,
    Math.round(waitMs),
    duration,
    failureShare.toFixed(2),
    Math.round(lagMs),
  ].join(',');
}

/**
 * @param headers - Headers of an answer from a peer.
 * @returns The load that it tells, or `undefined` where it tells none.
 */
export function parseLoad(headers: IncomingHttpHeaders): UpstreamLoad | undefined {
  const text = headers[LOAD_HEADER];
  if (typeof text !== 'string') return undefined;
  const [running, waiting, slots, waitMs, duration, failureShare, lagMs] = text.split(',');
  const load = {
    running: Number(running),
    waiting: Number(waiting),
    slots: Number(slots),
    waitMs: Number(waitMs),
    durationMs: duration ? Number(duration) : undefined,
    failureShare: Number(failureShare),
    lagMs: Number(lagMs),
  };
  const { durationMs, ...required } = load;
  const numbers = [...Object.values(required), durationMs ?? 0];
  return numbers.every(Number.isFinite) && load.slots > 0 ? load : undefined;
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
  const text = headers[CALL_HEADER];
  const parts = typeof text === 'string' ? text.split(';') : [];
  if (parts.length !== CALL_PARTS) return undefined;
  const [attempt, target, service, route, priority, deadlineMs, objectiveMs, attempts, caller] =
    parts as [string, string, string, string, string, string, string, string, string];
  const id = parseAttempt(attempt);
  const numbers = [id.number, id.incarnation, Number(target), Number(priority), Number(attempts)];
  if (!numbers.every(Number.isSafeInteger)) return undefined;
  if (!Number.isFinite(Number(deadlineMs)) || !Number.isFinite(Number(objectiveMs))) {
    return undefined;
  }
  return {
    target: Number(target) as Incarnation,
    context: {
      id,
      service: service as ServiceName,
      route: route as RouteName,
      priority: Number(priority),
      idempotent: false,
      deadline: now + Number(deadlineMs),
      objective: now + Number(objectiveMs),
      attempts: Number(attempts),
      callerService: caller ? (caller as ServiceName) : undefined,
    },
  };
}
