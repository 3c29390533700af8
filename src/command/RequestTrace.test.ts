import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RequestTrace from './RequestTrace';

function line(second: number, daemon: string, message: string, fields: object = {}): string {
  const time = new Date(Date.UTC(2026, 0, 1, 12, 0, second)).toISOString();
  return JSON.stringify({ level: 'info', time, daemon, part: 'test', message, ...fields });
}

const LOGS = [
  line(8, 'far', 'A version came into force.', { version: 6 }),
  line(12, 'far', 'The event loop was held up.', { lagMs: 640 }),
  line(12, 'other', 'The event loop was held up.', { lagMs: 300 }),
  `  13.2 near ${line(14, 'near', 'Call not answered.', {
    request: 'a1',
    outcome: 'unknown',
    reason: 'no answer came in time',
    durationMs: 1_200,
    attempts: [{ number: 7, upstream: 'far', kind: 'first', elapsedMs: 1_198 }],
  })}`,
  line(13, 'far', 'The upstream gave no usable answer.', { attempt: '7.near', reason: 'aborted' }),
  line(13, 'far', 'The upstream gave no usable answer.', { attempt: '8.near', reason: 'reset' }),
  line(13, 'near', 'Call answered.', { request: 'b2' }),
  '{"cut',
  'no JSON at all',
  '{"time":"never","daemon":1}',
  line(20, 'near', 'Stops.'),
];

test('a trace holds lines of the request, of its attempts and others of the daemons involved', () => {
  const trace = new RequestTrace('a1');
  for (const text of LOGS) trace.add(text);
  assert.snapshot(
    trace
      .toLines()
      .map(({ time, isOwn, daemon, message, fields }) =>
        [time.slice(17, 19), isOwn ? 'own' : 'else', daemon, message, JSON.stringify(fields)].join(
          ' ',
        ),
      )
      .join('\n'),
    `12 else far The event loop was held up. {"lagMs":640}
13 own far The upstream gave no usable answer. {"attempt":"7.near","reason":"aborted"}
14 own near Call not answered. {"outcome":"unknown","reason":"no answer came in time","durationMs":1200,"attempts":[{"number":7,"upstream":"far","kind":"first","elapsedMs":1198}]}`,
  );
});

test('the trace of a request that no line mentions is empty', () => {
  const trace = new RequestTrace('c3');
  for (const text of LOGS) trace.add(text);
  assert.equal(trace.toLines(), []);
});

test.run();
