import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DaemonId } from '../common/Types';
import {
  decodeReplyFrame,
  decodeRequestFrame,
  encodeFrame,
  type CallFrame,
  type ReplyFrame,
  type RequestFrame,
} from './channelFrames';
import FrameError from './FrameError';

const DAEMON = 'near' as DaemonId;
const PROPERTY = { seed: 20261204, numRuns: 500 };

/** Generates objects with the default prototype, like decoded frames. */
const record = <Value>(shape: { [Key in keyof Value]: fc.Arbitrary<Value[Key]> }) =>
  fc.record(shape, { noNullPrototype: true });
const count = fc.nat(1_000_000);
const bytes = fc.uint8Array({ maxLength: 64 }).map((array) => Buffer.from(array));
const earlierLoad = record({
  running: fc.nat(40),
  waiting: fc.nat(40),
  slots: fc.integer({ min: 1, max: 64 }),
  waitMs: count,
  durationMs: fc.option(count, { nil: undefined }),
  failureShare: fc.nat(100).map((percent) => percent / 100),
  lagMs: count,
});
/** Fields that older releases leave out. */
const laterLoad = fc.record(
  {
    meanMs: count,
    arrivals: fc.array(count),
    relayed: record({
      key: count,
      ageMs: count,
      slots: fc.integer({ min: 1, max: 64 }),
      waiting: count,
      meanMs: count,
      arrivals: fc.array(count),
    }),
  },
  { requiredKeys: [], noNullPrototype: true },
);
const load = fc.tuple(earlierLoad, laterLoad).map(([earlier, later]) => ({ ...earlier, ...later }));

/**
 * Generates call frames. Times are whole milliseconds, because frames carry the rounded time left;
 * deadlines lie in the future.
 */
const call = record({
  kind: fc.constant('call' as const),
  number: count,
  target: count,
  context: record({
    id: record({ daemon: fc.constant(DAEMON), incarnation: count, number: count }),
    service: fc.string(),
    route: fc.string(),
    priority: fc.nat(9),
    idempotent: fc.constant(false),
    deadline: fc.integer({ min: 1, max: 60_000 }),
    objective: fc.integer({ min: -60_000, max: 60_000 }),
    attempts: count,
    callerService: fc.option(fc.string(), { nil: undefined }),
    organisation: fc.option(fc.string(), { nil: undefined }),
    isRepeat: fc.boolean(),
  }),
  method: fc.string(),
  path: fc.string(),
  headers: fc.array(fc.string()),
  body: fc.option(bytes),
}) as unknown as fc.Arbitrary<CallFrame>;

const request = fc.oneof(
  call,
  record({ kind: fc.constant('cancel' as const), number: count }),
  record({ kind: fc.constant('credit' as const), number: count, bytes: count }),
) as unknown as fc.Arbitrary<RequestFrame>;

const reply = fc.oneof(
  record({
    kind: fc.constant('answer' as const),
    number: count,
    status: fc.integer({ min: 200, max: 599 }),
    headers: fc.dictionary(
      fc.constantFrom('server', 'etag', 'set-cookie'),
      fc.oneof(fc.string(), fc.array(fc.string())),
      { noNullPrototype: true },
    ),
    load,
    completeBody: fc.option(bytes, { nil: undefined }),
  }),
  record({ kind: fc.constant('body' as const), number: count, chunk: bytes }),
  record({ kind: fc.constant('end' as const), number: count, complete: fc.boolean() }),
  record({
    kind: fc.constant('refusal' as const),
    number: count,
    outcome: fc.constantFrom('not-run' as const, 'unknown' as const),
    reason: fc.string(),
    load: fc.option(load, { nil: undefined }),
    capacityAfterMs: fc.option(count, { nil: undefined }),
    reachedUpstream: fc.boolean(),
  }),
) as unknown as fc.Arbitrary<ReplyFrame>;

test('decoding an encoded frame returns an equal frame', () => {
  fc.assert(
    fc.property(request, (frame) => {
      assert.equal(decodeRequestFrame(encodeFrame(frame, 0), DAEMON, 0), frame);
    }),
    PROPERTY,
  );
  fc.assert(
    fc.property(reply, (frame) => {
      assert.equal(decodeReplyFrame(encodeFrame(frame, 0)), frame);
    }),
    PROPERTY,
  );
});

test('remaining times in a frame count from the time of decoding', () => {
  const [frame] = fc.sample(call, { seed: 3, numRuns: 1 }) as [CallFrame];
  const decodedLater = decodeRequestFrame(encodeFrame(frame, 0), DAEMON, 500) as CallFrame;
  assert.is(decodedLater.context.deadline, frame.context.deadline + 500);
  assert.is(decodedLater.context.objective, frame.context.objective + 500);
});

test('decoding malformed bytes throws nothing but FrameError', () => {
  const throwsOnlyFrameError = (decode: () => unknown) => {
    try {
      decode();
    } catch (error) {
      assert.instance(error, FrameError);
    }
  };
  const malformedFrames = fc.oneof(
    fc.uint8Array({ maxLength: 80 }),
    fc.tuple(fc.oneof(request, reply), fc.nat(400), fc.nat(255)).map(([frame, at, byte]) => {
      const encoded = encodeFrame(frame, 0);
      encoded[at % encoded.length] = byte;
      return encoded;
    }),
    fc.tuple(fc.oneof(request, reply), fc.nat(400)).map(([frame, at]) => {
      const encoded = encodeFrame(frame, 0);
      return encoded.subarray(0, at % encoded.length);
    }),
  );
  fc.assert(
    fc.property(malformedFrames, (data) => {
      throwsOnlyFrameError(() => decodeRequestFrame(data, DAEMON, 0));
      throwsOnlyFrameError(() => decodeReplyFrame(data));
    }),
    { ...PROPERTY, numRuns: 3_000 },
  );
});

test.run();
