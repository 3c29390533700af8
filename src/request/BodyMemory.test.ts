import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import BodyMemory from './BodyMemory';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import readRequest from './readRequest';

const KIBIBYTE = 1024;
const MAX_BYTES = 100 * KIBIBYTE;
const SHORT_WAIT_MS = 5;

/** A request whose body comes in parts; without a length, it is chunked. */
function upload(parts: readonly Buffer[], length?: number): IncomingMessage {
  const framing =
    length === undefined
      ? { 'transfer-encoding': 'chunked' }
      : { 'content-length': String(length) };
  const head = { method: 'POST', url: '/', rawHeaders: ['Host', 'mesh'], headers: framing };
  return Object.assign(Readable.from(parts), head) as unknown as IncomingMessage;
}

test('memory for bodies is taken in order, and a body larger than all of it takes all', async () => {
  const memory = new BodyMemory(MAX_BYTES);
  const events: string[] = [];
  const take = async (name: string, bytes: number) => {
    const release = await memory.take(bytes);
    events.push(`${name} taken`);
    return () => {
      events.push(`${name} released`);
      release();
      release();
    };
  };
  const [releaseFirst, releaseSecond] = await Promise.all([
    take('first', 60 * KIBIBYTE),
    take('second', 40 * KIBIBYTE),
  ]);
  const largest = take('largest', 10 * MAX_BYTES);
  const small = take('small', KIBIBYTE);
  releaseFirst();
  await new Promise(setImmediate);
  releaseSecond();
  const releaseLargest = await largest;
  await new Promise(setImmediate);
  releaseLargest();
  await small;
  assert.snapshot(
    events.join('\n'),
    `first taken
second taken
first released
second released
largest taken
largest released
small taken`,
  );
});

// Guards against memory that a body that gave up takes later and never gives back.
test('a body that waits for memory for too long is refused, and later ones get theirs', async () => {
  const memory = new BodyMemory(MAX_BYTES, SHORT_WAIT_MS);
  const release = await memory.take(MAX_BYTES);
  const error = await memory.take(1).then(
    () => undefined,
    (reason: Error) => reason,
  );
  assert.is(error?.constructor.name, 'NotRunError');
  release();
  (await memory.take(MAX_BYTES))();
  (await memory.take(MAX_BYTES))();
});

test('bodies that are not small take memory for their largest possible size before they are read on', async () => {
  const part = Buffer.alloc(40 * KIBIBYTE, 'x');
  const read = async (message: IncomingMessage) => {
    const taken: number[] = [];
    const request = await readRequest(message, MAX_BYTES, DEFAULT_HEADER_NAMES, async (bytes) => {
      taken.push(bytes);
    }).then(
      ({ body }) => `${body!.length} bytes, ${body!.every((byte) => byte === part[0])}`,
      ({ message: reason }: Error) => reason,
    );
    return `${request}; taken: ${taken.join()}`;
  };
  const lines = {
    'small, with its length': await read(upload([part], part.length)),
    'small, chunked': await read(upload([part, part.subarray(0, 1)])),
    'not small, with its length': await read(upload([part, part], 2 * part.length)),
    'not small, chunked': await read(upload([part, part])),
    'too large, chunked': await read(upload([part, part, part])),
    'too large, with its length': await read(upload([part, part, part], 3 * part.length)),
  };
  assert.equal(lines, {
    'small, with its length': '40960 bytes, true; taken: ',
    'small, chunked': '40961 bytes, true; taken: ',
    'not small, with its length': '81920 bytes, true; taken: 81920',
    'not small, chunked': '81920 bytes, true; taken: 102400',
    'too large, chunked': 'a body of more than 102400 bytes; taken: 102400',
    'too large, with its length': 'a body of 122880 bytes, at most 102400; taken: ',
  });
});

test.run();
