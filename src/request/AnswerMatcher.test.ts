import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RequestId } from '../common/Types';
import AnswerMatcher, { type AnswerHead } from './AnswerMatcher';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import type { HeaderNames } from './Types';

const OWN_ID = 'own' as RequestId;
const SIGNED: HeaderNames = {
  ...DEFAULT_HEADER_NAMES,
  isRequestIdAlwaysEchoed: true,
  signature: 'signature',
};

/** Rows of what each response says of a request, and whether its connection may be used again. */
function matchAll(names: HeaderNames): string {
  const ids = { own: OWN_ID, other: 'other', none: undefined };
  const kinds: Record<string, Pick<AnswerHead, 'status' | 'headers'>> = {
    answer: { status: 200, headers: { [names.signature ?? 'x']: '1' } },
    'unsigned failure': { status: 500, headers: {} },
    'unsigned 503': { status: 503, headers: {} },
    refusal: { status: 503, headers: { [names.notExecuted]: '1' } },
    misdirected: { status: 421, headers: {} },
  };
  const rows: string[] = [];
  for (const [kind, { status, headers }] of Object.entries(kinds)) {
    for (const [idName, id] of Object.entries(ids)) {
      const echoed = id === undefined ? headers : { ...headers, [names.requestId]: id };
      const head: AnswerHead = { status, headers: echoed };
      const matcher = new AnswerMatcher(names);
      const matches = [matcher.match(head, OWN_ID), matcher.match(head, OWN_ID)];
      const reuse = matcher.allowsReuse(head) ? 'reused' : 'closed';
      rows.push(`${kind}, id ${idName}: ${matches.join(' / ')}, ${reuse}`);
    }
  }
  return rows.join('\n');
}

test('what a response, the first such one / a second one, says of the request that waits for it', () => {
  assert.snapshot(
    matchAll(DEFAULT_HEADER_NAMES),
    `answer, id own: answer / answer, reused
answer, id other: foreign / foreign, reused
answer, id none: answer / answer, reused
unsigned failure, id own: answer / answer, reused
unsigned failure, id other: foreign / foreign, reused
unsigned failure, id none: answer / answer, reused
unsigned 503, id own: answer / answer, reused
unsigned 503, id other: foreign / foreign, reused
unsigned 503, id none: answer / answer, reused
refusal, id own: refusal / unproven, reused
refusal, id other: foreign / foreign, reused
refusal, id none: refusal / unproven, closed
misdirected, id own: refusal / unproven, reused
misdirected, id other: foreign / foreign, reused
misdirected, id none: refusal / unproven, closed`,
  );
});

test('where upstreams always echo ids and sign, a response without id proves nothing', () => {
  assert.snapshot(
    matchAll(SIGNED),
    `answer, id own: answer / answer, reused
answer, id other: foreign / foreign, reused
answer, id none: foreign / foreign, reused
unsigned failure, id own: answer / answer, reused
unsigned failure, id other: foreign / foreign, reused
unsigned failure, id none: foreign / foreign, reused
unsigned 503, id own: unproven / unproven, reused
unsigned 503, id other: foreign / foreign, reused
unsigned 503, id none: unproven / unproven, reused
refusal, id own: refusal / unproven, reused
refusal, id other: foreign / foreign, reused
refusal, id none: unproven / unproven, closed
misdirected, id own: refusal / unproven, reused
misdirected, id other: foreign / foreign, reused
misdirected, id none: unproven / unproven, closed`,
  );
});

test.run();
