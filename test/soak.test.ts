import { test } from 'uvu';
import * as assert from 'uvu/assert';
import soak from './soak';

const ZONES = ['coq', 'coq', 'rogers', 'rogers', 'kootenay'];
const OPTIONS = { lengthMs: 12_000, faults: 14 };
/** First and last seed, such as `1-50`; by default a single one, as each takes half a minute. */
const [first = 1, last = first] = (process.env.AZURESTREAM_SOAK_SEEDS ?? '1')
  .split('-')
  .map(Number);

for (let seed = first; seed <= last; seed += 1) {
  test(`promises hold, and the mesh recovers, through overlapping faults of seed ${seed}`, async () => {
    const { violations, calls, answered } = await soak(seed, ZONES, OPTIONS);
    assert.equal(violations, []);
    assert.ok(answered > 0, `${answered} of ${calls} calls were answered`);
  });
}

test.run();
