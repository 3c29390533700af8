import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SocketBatch from './SocketBatch';

test('what one callback writes leaves at its end, before other callbacks of the turn', async () => {
  const events: string[] = [];
  const socket = {
    cork: () => events.push('hold'),
    uncork: () => events.push('leave'),
  } as unknown as Socket;
  const batch = new SocketBatch(socket);
  const write = (name: string) => {
    batch.begin();
    events.push(name);
  };
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      write('first');
      write('second');
    });
    // Callbacks of one turn: this one is as long as a busy turn is.
    setImmediate(() => {
      events.push('other work');
      write('third');
      resolve();
    });
  });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  assert.is(events.join(', '), 'hold, first, second, leave, other work, hold, third, leave');
});

test.run();
