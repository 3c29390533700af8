/**
 * Frames between daemons on a channel, which carries many calls at once. Each is a MessagePack array
 * whose first element tells its kind and whose second is the number of the call on the channel;
 * docs/PROTOCOL.md lists them.
 *
 * @packageDocumentation
 */
import { decode, encode } from '@msgpack/msgpack';
import type {
  AttemptNumber,
  Branded,
  DaemonId,
  Incarnation,
  RouteName,
  ServiceName,
} from '../common/Types';
import FrameError from './FrameError';
import type { AttemptContext, Outcome, UpstreamLoad } from './Types';

/** Largest frame that is taken in: the largest body that settings allow, and headers. */
export const MAX_FRAME_BYTES = 257 * 1024 * 1024;

/** Number of a call on its channel. */
export type ChannelCallNumber = Branded<number, 'ChannelCallNumber'>;

/** A call, as one daemon gives it to another. */
export interface CallFrame {
  readonly kind: 'call';
  readonly number: ChannelCallNumber;
  /** Incarnation of the daemon that is meant. */
  readonly target: Incarnation;
  readonly context: AttemptContext;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** The sender of a call doesn't want it any more. */
export interface CancelFrame {
  readonly kind: 'cancel';
  readonly number: ChannelCallNumber;
}

/** Bytes of an answer's body were used; as many more may come. */
export interface CreditFrame {
  readonly kind: 'credit';
  readonly number: ChannelCallNumber;
  readonly bytes: number;
}

/** The head of an answer, with the whole body where it is there already. */
export interface AnswerFrame {
  readonly kind: 'answer';
  readonly number: ChannelCallNumber;
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly load: UpstreamLoad;
  /** `undefined` where the body follows in parts. */
  readonly whole: Buffer | undefined;
}

/** A part of a body. */
export interface BodyFrame {
  readonly kind: 'body';
  readonly number: ChannelCallNumber;
  readonly chunk: Buffer;
}

/** The end of a body that came in parts. */
export interface EndFrame {
  readonly kind: 'end';
  readonly number: ChannelCallNumber;
  /** Whether the body is whole; otherwise it broke off. */
  readonly complete: boolean;
}

/** A call that has no answer of an upstream. */
export interface RefusalFrame {
  readonly kind: 'refusal';
  readonly number: ChannelCallNumber;
  readonly outcome: Exclude<Outcome, 'answered'>;
  readonly reason: string;
  readonly load: UpstreamLoad | undefined;
  /** Milliseconds after which room is expected. */
  readonly roomMs: number | undefined;
  /** Whether the upstream itself turned the call away. */
  readonly reachedUpstream: boolean;
}

/** What the daemon that opened a channel sends. */
export type RequestFrame = CallFrame | CancelFrame | CreditFrame;
/** What the daemon beside the upstream sends. */
export type ReplyFrame = AnswerFrame | BodyFrame | EndFrame | RefusalFrame;

const KINDS = ['call', 'cancel', 'credit', 'answer', 'body', 'end', 'refusal'] as const;
const SHARE_STEPS = 100;

type Kind = (typeof KINDS)[number];
type Fields = readonly unknown[];

function millisecondsLeft(until: number, now: number): number {
  return Math.max(1, Math.round(until - now));
}

function loadFields(load: UpstreamLoad | undefined): Fields | null {
  if (!load) return null;
  const { running, waiting, slots, waitMs, durationMs, failureShare, lagMs } = load;
  return [
    running,
    waiting,
    slots,
    Math.round(waitMs),
    durationMs === undefined ? null : Math.round(durationMs),
    Math.round(failureShare * SHARE_STEPS),
    Math.round(lagMs),
  ];
}

function callFields({ target, context, method, path, headers, body }: CallFrame, now: number) {
  const { id, service, route, priority, deadline, objective, attempts, callerService } = context;
  return [
    [
      id.incarnation,
      id.number,
      target,
      service,
      route,
      priority,
      millisecondsLeft(deadline, now),
      // May be negative: an answer that is late already.
      Math.round(objective - now),
      attempts,
      callerService ?? null,
    ],
    method,
    path,
    headers,
    body,
  ];
}

function fieldsOf(frame: RequestFrame | ReplyFrame, now: number): Fields {
  switch (frame.kind) {
    case 'call':
      return callFields(frame, now);
    case 'credit':
      return [frame.bytes];
    case 'answer':
      return [frame.status, frame.headers, loadFields(frame.load), frame.whole ?? null];
    case 'body':
      return [frame.chunk];
    case 'end':
      return [frame.complete];
    case 'refusal':
      return [
        frame.outcome,
        frame.reason,
        loadFields(frame.load),
        frame.roomMs === undefined ? null : Math.round(frame.roomMs),
        frame.reachedUpstream,
      ];
    default:
      return [];
  }
}

/**
 * @param frame - What to tell; times in it are monotonic here.
 * @param now - Monotonic time in ms.
 * @returns The frame's bytes, with times as what is left of them.
 */
export function encodeFrame(frame: RequestFrame | ReplyFrame, now: number): Uint8Array {
  return encode([KINDS.indexOf(frame.kind), frame.number, ...fieldsOf(frame, now)]);
}

function asFields(value: unknown): Fields {
  if (!Array.isArray(value)) throw new FrameError('an array was expected');
  return value;
}

function asNumber(value: unknown): number {
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    throw new FrameError('a number was expected');
  }
  return value;
}

function asText(value: unknown): string {
  if (typeof value !== 'string') throw new FrameError('a text was expected');
  return value;
}

function asBytes(value: unknown): Buffer {
  if (!(value instanceof Uint8Array)) throw new FrameError('bytes were expected');
  return Buffer.from(value.buffer, value.byteOffset, value.byteLength);
}

function asOptional<Value>(value: unknown, read: (value: unknown) => Value): Value | undefined {
  return value === null || value === undefined ? undefined : read(value);
}

function asLoad(value: unknown): UpstreamLoad {
  const [running, waiting, slots, waitMs, durationMs, failures, lagMs] = asFields(value);
  return {
    running: asNumber(running),
    waiting: asNumber(waiting),
    slots: Math.max(1, asNumber(slots)),
    waitMs: asNumber(waitMs),
    durationMs: asOptional(durationMs, asNumber),
    failureShare: asNumber(failures) / SHARE_STEPS,
    lagMs: asNumber(lagMs),
  };
}

function asHeaders(value: unknown): Record<string, string | string[]> {
  if (typeof value !== 'object' || value === null) throw new FrameError('headers were expected');
  const headers: Record<string, string | string[]> = {};
  for (const [name, text] of Object.entries(value)) {
    headers[name] = Array.isArray(text) ? text.map(asText) : asText(text);
  }
  return headers;
}

function asContext(value: unknown, daemon: DaemonId, now: number) {
  const [incarnation, number, target, service, route, priority, leftMs, aimMs, attempts, caller] =
    asFields(value);
  const context: AttemptContext = {
    id: {
      daemon,
      incarnation: asNumber(incarnation) as Incarnation,
      number: asNumber(number) as AttemptNumber,
    },
    service: asText(service) as ServiceName,
    route: asText(route) as RouteName,
    priority: asNumber(priority),
    // Known to the daemon that sends the attempt only.
    idempotent: false,
    deadline: now + asNumber(leftMs),
    objective: now + asNumber(aimMs),
    attempts: asNumber(attempts),
    callerService: asOptional(caller, asText) as ServiceName | undefined,
  };
  return { context, target: asNumber(target) as Incarnation };
}

interface RawFrame {
  readonly kind: Kind;
  readonly number: ChannelCallNumber;
  readonly fields: Fields;
}

function decodeRaw(bytes: Uint8Array): RawFrame {
  let content: unknown;
  try {
    content = decode(bytes);
  } catch (error) {
    throw new FrameError((error as Error).message);
  }
  const [kind, number, ...fields] = asFields(content);
  const name = KINDS[asNumber(kind)];
  if (!name) throw new FrameError('the kind is unknown');
  return { kind: name, number: asNumber(number) as ChannelCallNumber, fields };
}

/**
 * @param bytes - A frame from the daemon that opened the channel.
 * @param daemon - That daemon.
 * @param now - Monotonic time in ms, from which times left are counted.
 * @returns The frame.
 * @throws FrameError - It can't be read.
 */
export function decodeRequestFrame(bytes: Uint8Array, daemon: DaemonId, now: number): RequestFrame {
  const { kind, number, fields } = decodeRaw(bytes);
  switch (kind) {
    case 'call': {
      const [context, method, path, headers, body] = fields;
      return {
        kind,
        number,
        ...asContext(context, daemon, now),
        method: asText(method),
        path: asText(path),
        headers: asFields(headers).map(asText),
        body: asOptional(body, asBytes) ?? null,
      };
    }
    case 'cancel':
      return { kind, number };
    case 'credit':
      return { kind, number, bytes: asNumber(fields[0]) };
    default:
      throw new FrameError(`a frame of kind ${kind} came from the daemon that opened the channel`);
  }
}

/**
 * @param bytes - A frame from the daemon that the channel was opened to.
 * @returns The frame.
 * @throws FrameError - It can't be read.
 */
export function decodeReplyFrame(bytes: Uint8Array): ReplyFrame {
  const { kind, number, fields } = decodeRaw(bytes);
  switch (kind) {
    case 'answer': {
      const [status, headers, load, whole] = fields;
      return {
        kind,
        number,
        status: asNumber(status),
        headers: asHeaders(headers),
        load: asLoad(load),
        whole: asOptional(whole, asBytes),
      };
    }
    case 'body':
      return { kind, number, chunk: asBytes(fields[0]) };
    case 'end':
      return { kind, number, complete: fields[0] === true };
    case 'refusal': {
      const [outcome, reason, load, roomMs, reached] = fields;
      return {
        kind,
        number,
        outcome: outcome === 'not-run' ? 'not-run' : 'unknown',
        reason: asText(reason),
        load: asOptional(load, asLoad),
        roomMs: asOptional(roomMs, asNumber),
        reachedUpstream: reached === true,
      };
    }
    default:
      throw new FrameError(`a frame of kind ${kind} came from the daemon that was called`);
  }
}
