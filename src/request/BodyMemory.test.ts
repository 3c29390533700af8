import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import BodyMemory from './BodyMemory';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import readRequest from './readRequest';

const KIBIBYTE = 1024;
const MAX_BYTES = 200 * KIBIBYTE;
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
    const share = memory.share();
    await share.grow(bytes);
    events.push(`${name} taken`);
    return () => {
      events.push(`${name} released`);
      share.release();
      share.release();
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
  const first = memory.share();
  await first.grow(MAX_BYTES);
  const error = await memory
    .share()
    .grow(1)
    .catch((reason: Error) => reason);
  assert.is(error?.constructor.name, 'NotRunError');
  first.release();
  for (let later = 0; later < 2; later += 1) {
    const share = memory.share();
    await share.grow(MAX_BYTES);
    share.release();
  }
});

// Guards against a body that waits for what it holds itself.
test('a body that grows takes what it lacks, up to all of the memory', async () => {
  const memory = new BodyMemory(MAX_BYTES, SHORT_WAIT_MS);
  const growing = memory.share();
  for (const bytes of [1, 60 * KIBIBYTE, MAX_BYTES, 10 * MAX_BYTES]) await growing.grow(bytes);
  assert.ok(
    await memory
      .share()
      .grow(1)
      .then(
        () => false,
        () => true,
      ),
  );
  growing.release();
  await memory.share().grow(MAX_BYTES);
});

test('bodies that are not small take memory for their buffers before they are read on', async () => {
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
  const parts = (count: number) => Array<Buffer>(count).fill(part);
  const lines = {
    'small, with its length': await read(upload(parts(1), part.length)),
    'small, chunked': await read(upload([part, part.subarray(0, 1)])),
    'not small, with its length': await read(upload(parts(2), 2 * part.length)),
    'not small, chunked': await read(upload(parts(2))),
    'growing, chunked': await read(upload(parts(5))),
    'too large, chunked': await read(upload(parts(6))),
    'too large, with its length': await read(upload(parts(6), 6 * part.length)),
  };
  assert.equal(lines, {
    'small, with its length': '40960 bytes, true; taken: ',
    'small, chunked': '40961 bytes, true; taken: ',
    'not small, with its length': '81920 bytes, true; taken: 81920',
    'not small, chunked': '81920 bytes, true; taken: 163840',
    'growing, chunked': '204800 bytes, true; taken: 163840,204800',
    'too large, chunked': 'a body of more than 204800 bytes; taken: 163840,204800',
    'too large, with its length': 'a body of 245760 bytes, at most 204800; taken: ',
  });
});

test.run();
