import { test } from 'uvu';
import * as assert from 'uvu/assert';
import replayRefusals, { type Throttle } from '../../stand-in/replayRefusals';
import AdaptiveThrottle from './AdaptiveThrottle';

/** The smallest share of its worth that a kind of request must earn. */
const FLOOR = 0.42;

const NO_THROTTLE: Throttle = {
  shouldReject: () => false,
  recordAdmitted: () => undefined,
  recordRefused: () => undefined,
};

test('refusals do not keep an overload up after its cause is gone', async () => {
  const naive = await replayRefusals(() => NO_THROTTLE);
  const throttled = await replayRefusals((clock, random) => new AdaptiveThrottle(clock, random));
  const show = (shares: readonly number[]) =>
    shares.map((share) => (share < FLOOR ? 'short' : 'served')).join(' ');
  assert.snapshot(
    `without: ${show(naive)}\nwith:    ${show(throttled)}`,
    `without: served served served short short short short short short short short short
with:    served served served short short served served served served served served served`,
  );
});

test.run();
