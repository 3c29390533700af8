/**
 * Encodes and decodes the frames that daemons exchange on a channel, a WebSocket connection that
 * multiplexes calls. Each frame is a MessagePack array: the index of its kind, the number of the call
 * on the channel, then the fields of that kind. docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import { decode, encode } from '@msgpack/msgpack';
import type {
  AttemptNumber,
  Branded,
  DaemonId,
  Incarnation,
  OrganisationName,
  RouteName,
  ServiceName,
} from '../common/Types';
import FrameError from './FrameError';
import type { AttemptContext, Outcome, RelayedReport, UpstreamLoad } from './Types';

/**
 * Maximum size of an accepted frame in bytes: the largest body that the settings allow, plus room
 * for headers.
 */
export const MAX_FRAME_BYTES = 257 * 1024 * 1024;

/** Number that identifies a call on its channel. */
export type ChannelCallNumber = Branded<number, 'ChannelCallNumber'>;

/** Starts a call: the request of one attempt, sent to the daemon beside the upstream. */
export interface CallFrame {
  readonly kind: 'call';
  readonly number: ChannelCallNumber;
  /** Incarnation of the receiving daemon that the attempt is meant for; any other one refuses it. */
  readonly target: Incarnation;
  readonly context: AttemptContext;
  readonly method: string;
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** Cancels a call that the same daemon started on the channel. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly number: ChannelCallNumber;
}

/** Flow-control credit: the receiver consumed this many bytes of a body, so as many more may be sent. */
export interface CreditFrame {
  readonly kind: 'credit';
  readonly number: ChannelCallNumber;
  readonly bytes: number;
}

/** Status and headers of an answer, with the complete body if it is already available. */
export interface AnswerFrame {
  readonly kind: 'answer';
  readonly number: ChannelCallNumber;
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly load: UpstreamLoad;
  /** The complete body; `undefined` if it follows in `body` frames. */
  readonly completeBody: Buffer | undefined;
}

/** A chunk of an answer's body. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly number: ChannelCallNumber;
  readonly chunk: Buffer;
}

/** Ends a body that was sent in `body` frames. */
export interface EndFrame {
  readonly kind: 'end';
  readonly number: ChannelCallNumber;
  /** Whether the body is complete; false if it was truncated. */
  readonly complete: boolean;
}

/** Ends a call that got no answer from an upstream. */
export interface RefusalFrame {
  readonly kind: 'refusal';
  readonly number: ChannelCallNumber;
  readonly outcome: Exclude<Outcome, 'answered'>;
  readonly reason: string;
  readonly load: UpstreamLoad | undefined;
  /** Milliseconds after which capacity is expected to be free again. */
  readonly capacityAfterMs: number | undefined;
  /** Whether the upstream itself, not its daemon, rejected the call. */
  readonly reachedUpstream: boolean;
}

/** Frames sent by the daemon that opened the channel. */
export type RequestFrame = CallFrame | CancelFrame | CreditFrame;
/** Frames sent by the daemon beside the upstream. */
export type ReplyFrame = AnswerFrame | BodyFrame | EndFrame | RefusalFrame;

/**
 * Kinds of frames on a channel; an encoded frame begins with the index of its kind in this list.
 */
const FRAME_KINDS = ['call', 'cancel', 'credit', 'answer', 'body', 'end', 'refusal'] as const;
/**
 * Factor by which the share of failed calls, 0 to 1, is multiplied to be sent as a whole percent.
 */
const FAILURE_SHARE_SCALE = 100;

type FrameKind = (typeof FRAME_KINDS)[number];
type Fields = readonly unknown[];

function remainingMs(time: number, now: number): number {
  return Math.max(1, Math.round(time - now));
}

function encodeRelayed({ key, ageMs, slots, waiting, meanMs, arrivals }: RelayedReport): Fields {
  return [key, Math.round(ageMs), slots, waiting, Math.round(meanMs), ...arrivals];
}

function encodeLoad(load: UpstreamLoad | undefined): Fields | null {
  if (!load) return null;
  const { running, waiting, slots, waitMs, durationMs, failureShare, lagMs } = load;
  const { meanMs, arrivals, relayed, ahead } = load;
  return [
    running,
    waiting,
    slots,
    Math.round(waitMs),
    durationMs === undefined ? null : Math.round(durationMs),
    Math.round(failureShare * FAILURE_SHARE_SCALE),
    Math.round(lagMs),
    meanMs === undefined ? null : Math.round(meanMs),
    arrivals ?? null,
    relayed ? encodeRelayed(relayed) : null,
    ahead ?? null,
  ];
}

function encodeCall({ target, context, method, path, headers, body }: CallFrame, now: number) {
  const { id, service, route, priority, deadline, objective, attempts, callerService } = context;
  const { organisation, isRepeat } = context;
  return [
    [
      id.incarnation,
      id.number,
      target,
      service,
      route,
      priority,
      remainingMs(deadline, now),
      // Time left of the latency objective; negative if the objective has already been missed.
      Math.round(objective - now),
      attempts,
      callerService ?? null,
      organisation ?? null,
      isRepeat,
    ],
    method,
    path,
    headers,
    body,
  ];
}

function encodeFields(frame: RequestFrame | ReplyFrame, now: number): Fields {
  switch (frame.kind) {
    case 'call':
      return encodeCall(frame, now);
    case 'credit':
      return [frame.bytes];
    case 'answer':
      return [frame.status, frame.headers, encodeLoad(frame.load), frame.completeBody ?? null];
    case 'body':
      return [frame.chunk];
    case 'end':
      return [frame.complete];
    case 'refusal':
      return [
        frame.outcome,
        frame.reason,
        encodeLoad(frame.load),
        frame.capacityAfterMs === undefined ? null : Math.round(frame.capacityAfterMs),
        frame.reachedUpstream,
      ];
    default:
      return [];
  }
}

/**
 * Encodes a frame. Points in time are sent as remaining milliseconds, as daemons share no clock.
 *
 * @param frame - The frame, with times on the monotonic clock of this daemon.
 * @param now - Monotonic time in ms.
 * @returns The MessagePack bytes of the frame.
 */
export function encodeFrame(frame: RequestFrame | ReplyFrame, now: number): Uint8Array {
  return encode([FRAME_KINDS.indexOf(frame.kind), frame.number, ...encodeFields(frame, now)]);
}

function expectArray(value: unknown): Fields {
  if (!Array.isArray(value)) throw new FrameError('an array was expected');
  return value;
}

function expectNumber(value: unknown): number {
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    throw new FrameError('a number was expected');
  }
  return value;
}

function expectString(value: unknown): string {
  if (typeof value !== 'string') throw new FrameError('a text was expected');
  return value;
}

function expectBytes(value: unknown): Buffer {
  if (!(value instanceof Uint8Array)) throw new FrameError('bytes were expected');
  return Buffer.from(value.buffer, value.byteOffset, value.byteLength);
}

function isPresent(value: unknown): boolean {
  return value !== null && value !== undefined;
}

function decodeOptional<Value>(
  value: unknown,
  decodeValue: (value: unknown) => Value,
): Value | undefined {
  return isPresent(value) ? decodeValue(value) : undefined;
}

function decodeRelayed(value: unknown): RelayedReport {
  const [key, ageMs, slots, waiting, meanMs, ...arrivals] = expectArray(value);
  return {
    key: expectNumber(key),
    ageMs: expectNumber(ageMs),
    slots: Math.max(1, expectNumber(slots)),
    waiting: expectNumber(waiting),
    meanMs: expectNumber(meanMs),
    arrivals: arrivals.map(expectNumber),
  };
}

function decodeLoad(value: unknown): UpstreamLoad {
  const [
    running,
    waiting,
    slots,
    waitMs,
    durationMs,
    failurePercent,
    lagMs,
    // Older releases leave these out.
    meanMs,
    arrivals,
    relayed,
    ahead,
  ] = expectArray(value);
  return {
    running: expectNumber(running),
    waiting: expectNumber(waiting),
    slots: Math.max(1, expectNumber(slots)),
    waitMs: expectNumber(waitMs),
    durationMs: decodeOptional(durationMs, expectNumber),
    failureShare: expectNumber(failurePercent) / FAILURE_SHARE_SCALE,
    lagMs: expectNumber(lagMs),
    ...(isPresent(meanMs) && { meanMs: expectNumber(meanMs) }),
    ...(isPresent(arrivals) && { arrivals: expectArray(arrivals).map(expectNumber) }),
    ...(isPresent(relayed) && { relayed: decodeRelayed(relayed) }),
    ...(isPresent(ahead) && { ahead: expectNumber(ahead) }),
  };
}

function decodeHeaders(value: unknown): Record<string, string | string[]> {
  if (typeof value !== 'object' || value === null) throw new FrameError('headers were expected');
  const headers: Record<string, string | string[]> = {};
  for (const [name, text] of Object.entries(value)) {
    headers[name] = Array.isArray(text) ? text.map(expectString) : expectString(text);
  }
  return headers;
}

function decodeContext(value: unknown, daemon: DaemonId, now: number) {
  const [
    incarnation,
    number,
    target,
    service,
    route,
    priority,
    deadlineMs,
    objectiveMs,
    attempts,
    caller,
    // Older releases leave these out.
    organisation,
    isRepeat,
  ] = expectArray(value);
  const context: AttemptContext = {
    id: {
      daemon,
      incarnation: expectNumber(incarnation) as Incarnation,
      number: expectNumber(number) as AttemptNumber,
    },
    service: expectString(service) as ServiceName,
    route: expectString(route) as RouteName,
    priority: expectNumber(priority),
    // Whether the call is idempotent isn't sent: only the daemon that sends the attempt uses it.
    idempotent: false,
    deadline: now + expectNumber(deadlineMs),
    objective: now + expectNumber(objectiveMs),
    attempts: expectNumber(attempts),
    callerService: decodeOptional(caller, expectString) as ServiceName | undefined,
    organisation: decodeOptional(organisation, expectString) as OrganisationName | undefined,
    isRepeat: isRepeat === true,
  };
  return { context, target: expectNumber(target) as Incarnation };
}

interface FrameEnvelope {
  readonly kind: FrameKind;
  readonly number: ChannelCallNumber;
  readonly fields: Fields;
}

function decodeEnvelope(bytes: Uint8Array): FrameEnvelope {
  let decoded: unknown;
  try {
    decoded = decode(bytes);
  } catch (error) {
    throw new FrameError((error as Error).message);
  }
  const [kind, number, ...fields] = expectArray(decoded);
  const kindName = FRAME_KINDS[expectNumber(kind)];
  if (!kindName) throw new FrameError('the kind is unknown');
  return { kind: kindName, number: expectNumber(number) as ChannelCallNumber, fields };
}

/**
 * Decodes a frame from the daemon that opened the channel.
 *
 * @param bytes - The MessagePack bytes of the frame.
 * @param daemon - The daemon that opened the channel.
 * @param now - Monotonic time in ms to which the remaining times in the frame are added.
 * @returns The frame, with times on the monotonic clock of this daemon.
 * @throws FrameError - The bytes are malformed, or the frame's kind isn't one that this side receives.
 */
export function decodeRequestFrame(bytes: Uint8Array, daemon: DaemonId, now: number): RequestFrame {
  const { kind, number, fields } = decodeEnvelope(bytes);
  switch (kind) {
    case 'call': {
      const [context, method, path, headers, body] = fields;
      return {
        kind,
        number,
        ...decodeContext(context, daemon, now),
        method: expectString(method),
        path: expectString(path),
        headers: expectArray(headers).map(expectString),
        body: decodeOptional(body, expectBytes) ?? null,
      };
    }
    case 'cancel':
      return { kind, number };
    case 'credit':
      return { kind, number, bytes: expectNumber(fields[0]) };
    default:
      throw new FrameError(`a frame of kind ${kind} came from the daemon that opened the channel`);
  }
}

/**
 * Decodes a frame from the daemon that the channel was opened to.
 *
 * @param bytes - The MessagePack bytes of the frame.
 * @returns The frame.
 * @throws FrameError - The bytes are malformed, or the frame's kind isn't one that this side receives.
 */
export function decodeReplyFrame(bytes: Uint8Array): ReplyFrame {
  const { kind, number, fields } = decodeEnvelope(bytes);
  switch (kind) {
    case 'answer': {
      const [status, headers, load, completeBody] = fields;
      return {
        kind,
        number,
        status: expectNumber(status),
        headers: decodeHeaders(headers),
        load: decodeLoad(load),
        completeBody: decodeOptional(completeBody, expectBytes),
      };
    }
    case 'body':
      return { kind, number, chunk: expectBytes(fields[0]) };
    case 'end':
      return { kind, number, complete: fields[0] === true };
    case 'refusal': {
      const [outcome, reason, load, capacityAfterMs, reachedUpstream] = fields;
      return {
        kind,
        number,
        outcome: outcome === 'not-run' ? 'not-run' : 'unknown',
        reason: expectString(reason),
        load: decodeOptional(load, decodeLoad),
        capacityAfterMs: decodeOptional(capacityAfterMs, expectNumber),
        reachedUpstream: reachedUpstream === true,
      };
    }
    default:
      throw new FrameError(`a frame of kind ${kind} came from the daemon that was called`);
  }
}
