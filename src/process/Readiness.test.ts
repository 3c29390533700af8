import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import Readiness from './Readiness';

test('the daemon is ready once the configuration is confirmed as current, and not during a stop', () => {
  const clock = new ManualClock();
  const conditions = { configuration: false, store: false, peer: false };
  const createReadiness = () =>
    new Readiness(
      {
        hasConfiguration: () => conditions.configuration,
        isConfirmedByStore: () => conditions.store,
        hasReachablePeer: () => conditions.peer,
      },
      clock,
      { log: () => undefined },
    );
  const confirmedByStore = createReadiness();
  const readySteps: boolean[] = [confirmedByStore.isReady];
  conditions.configuration = true;
  readySteps.push(confirmedByStore.isReady);
  conditions.store = true;
  readySteps.push(confirmedByStore.isReady);
  confirmedByStore.stop();
  readySteps.push(confirmedByStore.isReady);
  assert.equal(readySteps, [false, false, true, false]);

  conditions.store = false;
  const syncedWithPeers = createReadiness();
  conditions.peer = true;
  const readyOverTime = [0, 500, 600].map((ms) => {
    clock.advance(ms);
    return syncedWithPeers.isReady;
  });
  assert.equal(readyOverTime, [false, false, true]);
});

test.run();
