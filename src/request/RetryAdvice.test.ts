/**
 * Simulates, in virtual time, the first seconds after all daemons have started at once. Callers
 * retry after the advised delay, at most twice, and wait at most a third of the time left to their
 * deadline.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import RetryAdvice from './RetryAdvice';

const READY_AT_MS = 1_600;
const ARRIVALS_PER_MS = 0.5;
const MAX_RETRIES = 2;

interface Outcome {
  readonly served: number;
  readonly refusals: number;
}

function simulate(deadlineMs: number, delayMs: () => number): Outcome {
  let served = 0;
  let refusals = 0;
  for (let arrival = 0; arrival < READY_AT_MS * ARRIVALS_PER_MS; arrival += 1) {
    const began = arrival / ARRIVALS_PER_MS;
    let now = began;
    for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
      if (now >= READY_AT_MS) {
        served += 1;
        break;
      }
      refusals += 1;
      now += Math.min(delayMs(), (began + deadlineMs - now) / 3);
    }
  }
  return { served, refusals };
}

test('the delay at daemons that are not ready lets more callers be served after a simultaneous start', () => {
  const rows = [1_200, 2_000, 4_000].map((deadlineMs) => {
    const random = new SeededRandom(5);
    const advice = new RetryAdvice(random);
    const withNotReady = simulate(deadlineMs, () => advice.delayWhenNotReadyMs());
    const withDefault = simulate(deadlineMs, () => advice.delayWhenFullMs(undefined));
    assert.ok(
      withNotReady.served >= withDefault.served && withNotReady.refusals <= withDefault.refusals,
    );
    const share = ({ served }: Outcome) => (served / (READY_AT_MS * ARRIVALS_PER_MS)).toFixed(2);
    return `${deadlineMs} ms: ${share(withNotReady)} of the callers, ${share(withDefault)} with the default delay`;
  });
  assert.snapshot(
    rows.join('\n'),
    `1200 ms: 0.42 of the callers, 0.41 with the default delay
2000 ms: 0.69 of the callers, 0.55 with the default delay
4000 ms: 1.00 of the callers, 0.56 with the default delay`,
  );
});

test('the delays of callers that are refused together are spread evenly', () => {
  const advice = new RetryAdvice(new SeededRandom(9));
  const delays = Array.from({ length: 1_000 }, () => advice.delayWhenFullMs(200));
  const countPerTenth = Array.from(
    { length: 10 },
    (_, tenth) => delays.filter((ms) => Math.min(9, Math.floor((ms - 200) / 20)) === tenth).length,
  );
  assert.ok(Math.min(...countPerTenth) > 60, countPerTenth.join());
});

test.run();
