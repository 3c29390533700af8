import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setTimeout as delay } from 'node:timers/promises';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import PeerLiveness from './PeerLiveness';

const PEER = 'peer:1' as Address;
const QUIET = { log: () => undefined };
const SILENCE_MS = 20;

/** Waits until something holds; how long that took is no matter. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await delay(5);
}

test('calls at a daemon that went silent are freed at once, and it comes back', async () => {
  let answers = false;
  const probe = () => Promise.resolve(answers);
  const liveness = new PeerLiveness(probe, { silenceMs: SILENCE_MS }, new SystemClock(), QUIET);
  const freed: string[] = [];
  for (const call of ['a', 'b']) liveness.watch(PEER, () => freed.push(call));
  await until(() => liveness.isLost(PEER));
  assert.equal(freed, ['a', 'b']);
  answers = true;
  await until(() => !liveness.isLost(PEER));
  liveness.dispose();
});

test('a slow call at a daemon that answers probes keeps waiting', async () => {
  let probes = 0;
  const probe = () => {
    probes += 1;
    return Promise.resolve(true);
  };
  const liveness = new PeerLiveness(probe, { silenceMs: SILENCE_MS }, new SystemClock(), QUIET);
  const freed: string[] = [];
  liveness.watch(PEER, () => freed.push('slow'));
  await until(() => probes >= 3);
  assert.equal(freed, []);
  assert.not(liveness.isLost(PEER));
  liveness.dispose();
});

test('a refused connection is a loss without a probe', () => {
  const probe = () => Promise.resolve(false);
  const liveness = new PeerLiveness(probe, { silenceMs: SILENCE_MS }, new SystemClock(), QUIET);
  liveness.refused(PEER);
  assert.ok(liveness.isLost(PEER));
  liveness.heard(PEER);
  assert.not(liveness.isLost(PEER));
  liveness.dispose();
});

test.run();
