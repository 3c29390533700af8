/**
 * Replays, in virtual time, the first seconds after all daemons started at once: callers come again as
 * they are told, at most twice and no later than a third of the time they have left.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import RetryAdvice from './RetryAdvice';

const READY_AT_MS = 1_600;
const ARRIVALS_PER_MS = 0.5;
const REPEATS = 2;

interface Outcome {
  readonly served: number;
  readonly refusals: number;
}

function play(deadlineMs: number, adviceMs: () => number): Outcome {
  let served = 0;
  let refusals = 0;
  for (let arrival = 0; arrival < READY_AT_MS * ARRIVALS_PER_MS; arrival += 1) {
    const began = arrival / ARRIVALS_PER_MS;
    let now = began;
    for (let repeat = 0; repeat <= REPEATS; repeat += 1) {
      if (now >= READY_AT_MS) {
        served += 1;
        break;
      }
      refusals += 1;
      now += Math.min(adviceMs(), (began + deadlineMs - now) / 3);
    }
  }
  return { served, refusals };
}

test('callers that come while all daemons start are served once these know each other', () => {
  const rows = [1_200, 2_000, 4_000].map((deadlineMs) => {
    const random = new SeededRandom(5);
    const advice = new RetryAdvice(random);
    const ours = play(deadlineMs, () => advice.whenUnready());
    const hasty = play(deadlineMs, () => advice.whenFull(undefined));
    assert.ok(ours.served >= hasty.served && ours.refusals <= hasty.refusals);
    const share = ({ served }: Outcome) => (served / (READY_AT_MS * ARRIVALS_PER_MS)).toFixed(2);
    return `${deadlineMs} ms: ${share(ours)} of the callers, ${share(hasty)} of hasty ones`;
  });
  assert.snapshot(
    rows.join('\n'),
    `1200 ms: 0.42 of the callers, 0.41 of hasty ones
2000 ms: 0.69 of the callers, 0.55 of hasty ones
4000 ms: 1.00 of the callers, 0.56 of hasty ones`,
  );
});

test('callers that are refused together come again spread over as long as they wait', () => {
  const advice = new RetryAdvice(new SeededRandom(9));
  const waits = Array.from({ length: 1_000 }, () => advice.whenFull(200));
  const perTenth = Array.from(
    { length: 10 },
    (_, tenth) => waits.filter((ms) => Math.min(9, Math.floor((ms - 200) / 20)) === tenth).length,
  );
  assert.ok(Math.min(...perTenth) > 60, perTenth.join());
});

test.run();
