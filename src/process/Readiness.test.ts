import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import Readiness from './Readiness';

test('callers come once the configuration is known to be current, and not during a stop', () => {
  const clock = new ManualClock();
  const known = { configuration: false, store: false, peer: false };
  const create = () =>
    new Readiness(
      {
        hasConfiguration: () => known.configuration,
        hasReadStore: () => known.store,
        hasPeer: () => known.peer,
      },
      clock,
    );
  const byStore = create();
  const steps: boolean[] = [byStore.isReady];
  known.configuration = true;
  steps.push(byStore.isReady);
  known.store = true;
  steps.push(byStore.isReady);
  byStore.stop();
  steps.push(byStore.isReady);
  assert.equal(steps, [false, false, true, false]);

  known.store = false;
  const byPeers = create();
  known.peer = true;
  const later = [0, 500, 600].map((ms) => {
    clock.advance(ms);
    return byPeers.isReady;
  });
  assert.equal(later, [false, false, true]);
});

test.run();
