import * as fc from 'fast-check';
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
  const filter = new AnswerFilter(ID_HEADER, (id) => dropped.push(id));
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

test('a response of another request that is too long to be held is passed on', () => {
  const text = answer('other', 'x'.repeat(60_000));
  assert.is(filterParts(text, [100, 30_000, 50_000]).passed, text);
});

test.run();
