import * as fc from 'fast-check';
import { HTTPParser } from 'http-parser-js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RequestId } from '../common/Types';
import AnswerFilter from './AnswerFilter';

const ID_HEADER = 'x-id';
const OWN_ID = 'own-1' as RequestId;
const RUNS = 2_000;

function answer(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const OWN = answer(OWN_ID, 'mine');
const FOREIGN = [
  answer('other', 'not mine'),
  answer('other', ''),
  'HTTP/1.1 503 Full\r\nx-id: other\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx-id: other\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
];
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n';
/** Bytes of which it isn't certain where they end or to whom they belong. */
const UNCERTAIN = [
  'garbage',
  'HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nx',
  'HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\nx-id: other\ncontent-length: 0\n\n',
];

/** Passes bytes through a filter in parts that end at the given positions. */
function filterParts(text: string, ends: readonly number[]): { passed: string; dropped: string[] } {
  const dropped: string[] = [];
  const filter = new AnswerFilter(
    ID_HEADER,
    (id) => dropped.push(id),
    () => dropped.push('endless'),
  );
  filter.awaitAnswer(OWN_ID);
  let passed = '';
  let start = 0;
  for (const end of [...ends, text.length]) {
    if (end <= start) continue;
    passed += filter.filter(Buffer.from(text.slice(start, end)))?.toString() ?? '';
    start = end;
  }
  return { passed, dropped };
}

const arbitraryEnds = fc
  .array(fc.nat(400), { maxLength: 12 })
  .map((ends) => ends.sort((one, other) => one - other));

test('responses of other requests are removed, however the bytes are split', () => {
  const before = fc.array(fc.constantFrom(INTERIM, ...FOREIGN), { maxLength: 4 });
  fc.assert(
    fc.property(before, arbitraryEnds, (messages, ends) => {
      const { passed, dropped } = filterParts(messages.join('') + OWN, ends);
      const interim = messages.filter((message) => message === INTERIM);
      assert.is(passed, interim.join('') + OWN);
      assert.is(dropped.length, messages.length - interim.length);
    }),
    { seed: 1, numRuns: RUNS },
  );
});

test('bytes that are uncertain, and all that follow, are passed on unchanged', () => {
  fc.assert(
    fc.property(fc.constantFrom(...UNCERTAIN), arbitraryEnds, (uncertain, ends) => {
      const text = `${uncertain}\r\n\r\n${OWN}`;
      assert.is(filterParts(text, ends).passed, text);
    }),
    { seed: 2, numRuns: RUNS },
  );
});

test('a head without end is reported as such and never passed on', () => {
  const { passed, dropped } = filterParts(
    `HTTP/1.1 200 OK\r\n${'x-a: b\r\n'.repeat(7_000)}`,
    [50_000],
  );
  assert.is(passed, '');
  assert.equal(dropped, ['endless', 'endless']);
});

test('a response of another request that is too long to be held is passed on', () => {
  const text = answer('other', 'x'.repeat(60_000));
  assert.is(filterParts(text, [100, 30_000, 50_000]).passed, text);
});

/** Passes bytes through a filter in chunks of one size; returns how many bytes its parsers read. */
function parsedBytesOf(text: string, chunkSize: number): number {
  const { execute } = HTTPParser.prototype;
  let parsedBytes = 0;
  HTTPParser.prototype.execute = function count(
    this: typeof HTTPParser.prototype,
    chunk: Buffer,
    ...rest
  ) {
    try {
      return execute.call(this, chunk, ...rest);
    } finally {
      parsedBytes += (this as unknown as { offset: number }).offset;
    }
  };
  try {
    const ends = Array.from({ length: text.length / chunkSize }, (_, index) => index * chunkSize);
    filterParts(text, ends);
  } finally {
    HTTPParser.prototype.execute = execute;
  }
  return parsedBytes;
}

// Guards against an upstream whose bytes take the processor for seconds, as each is parsed again and again.
test('however an upstream sends bytes without end, each of them is parsed once', () => {
  const size = 40_000;
  const endless: Readonly<Record<string, string>> = {
    'interim responses': INTERIM.repeat(size / INTERIM.length),
    'responses of others': answer('other', 'x').repeat(size / answer('other', 'x').length),
    'a chunked response of another': `HTTP/1.1 200 OK\r\nx-id: other\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(size / 6)}`,
    'a long response of another': answer('other', 'x'.repeat(size)).slice(0, -1),
  };
  const excessive = Object.entries(endless).flatMap(([name, text]) =>
    [1, 100, size * 2].flatMap((chunkSize) => {
      const parsedBytes = parsedBytesOf(text, chunkSize);
      return parsedBytes > text.length ? [`${name}, ${chunkSize} at a time: ${parsedBytes}`] : [];
    }),
  );
  assert.equal(excessive, []);
});

test.run();
