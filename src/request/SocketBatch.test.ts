import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SocketBatch from './SocketBatch';

test('the writes of one callback are flushed before the next callback of the turn runs', async () => {
  const events: string[] = [];
  const socket = {
    cork: () => events.push('cork'),
    uncork: () => events.push('uncork'),
  } as unknown as Socket;
  const batch = new SocketBatch(socket);
  const write = (name: string) => {
    batch.cork();
    events.push(name);
  };
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      write('first');
      write('second');
    });
    // This second callback runs in the same event loop turn as the first one.
    setImmediate(() => {
      events.push('other work');
      write('third');
      resolve();
    });
  });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  assert.is(events.join(', '), 'cork, first, second, uncork, other work, cork, third, uncork');
});

test.run();
