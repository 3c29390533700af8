import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import Daemon, { type DaemonDependencies } from './Daemon';

/** Creates stubs of a daemon's dependencies, with the call handler `calls`. */
function createDependencies(
  drainMs: number,
  calls: Partial<DaemonDependencies['calls']>,
  events: string[],
  onGone: () => void = () => undefined,
): DaemonDependencies {
  return {
    calls: Object.assign(calls, { stop: () => undefined, failPendingCalls: () => undefined }),
    registration: { drain: async () => undefined },
    readiness: { stop: () => undefined, giveUp: () => undefined },
    callListener: { stopAccepting: () => undefined },
    members: { updateSelf: onGone },
    resources: { dispose: () => events.push('resources are released') },
    tasks: [],
    clock: new SystemClock(),
    logger: { log: () => undefined },
    settings: { current: { daemon: { drain: drainMs, leave: 1 } } },
  } as unknown as DaemonDependencies;
}

test('a stop does not abort a call that arrives while the state `gone` is sent', async () => {
  const events: string[] = [];
  let open = 0;
  let idle: () => void = () => undefined;
  const calls = {
    get openCalls() {
      return open;
    },
    whenIdle: async () => {
      if (open === 0) return;
      await new Promise<void>((resolve) => {
        idle = resolve;
      });
    },
  };
  const onGone = () => {
    // A request arrives on an idle kept-alive connection.
    open = 1;
    setTimeout(() => {
      events.push('the call is answered');
      open = 0;
      idle();
    }, 300);
  };
  await new Daemon(createDependencies(60_000, calls, events, onGone)).stop();
  assert.equal(events, ['the call is answered', 'resources are released']);
});

test('a stop waits for a call that ends after 85 % of the drain time', async () => {
  const events: string[] = [];
  let idle: () => void = () => undefined;
  const whenIdle = new Promise<void>((resolve) => {
    idle = resolve;
  });
  setTimeout(() => {
    events.push('the call is answered');
    idle();
  }, 2_550);
  await new Daemon(
    createDependencies(3_000, { openCalls: 1, whenIdle: () => whenIdle }, events),
  ).stop();
  assert.equal(events, ['the call is answered', 'resources are released']);
});

test.run();
