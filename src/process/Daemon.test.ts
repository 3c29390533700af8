import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import Daemon, { type DaemonParts } from './Daemon';

test('a stop does not cut off a call that comes in while the last news leaves', async () => {
  const events: string[] = [];
  let open = 0;
  let idle: () => void = () => undefined;
  const calls = {
    get openCalls() {
      return open;
    },
    closeConnections: () => undefined,
    whenIdle: async () => {
      if (open === 0) return;
      await new Promise<void>((resolve) => {
        idle = resolve;
      });
    },
  };
  const parts = {
    calls,
    registration: { drain: async () => undefined },
    readiness: { stop: () => undefined },
    callListener: { stopAccepting: () => undefined },
    members: {
      updateSelf: () => {
        // A connection that was kept without a request brings one now.
        open = 1;
        setTimeout(() => {
          events.push('the call is answered');
          open = 0;
          idle();
        }, 300);
      },
    },
    resources: { dispose: () => events.push('everything is released') },
    tasks: [],
    clock: new SystemClock(),
    logger: { log: () => undefined },
    settings: { current: { daemon: { drain: 60_000, leave: 1 } } },
  } as unknown as DaemonParts;
  await new Daemon(parts).stop();
  assert.equal(events, ['the call is answered', 'everything is released']);
});

test.run();
