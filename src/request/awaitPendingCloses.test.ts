import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import awaitPendingCloses from './awaitPendingCloses';

const BLOCKED_MS = 60;

/** Blocks the event loop, so that data received meanwhile stays unread. */
function blockEventLoop(): void {
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until);
}

/**
 * Returns whether a request handler has seen the caller close its connection when the promise of
 * `settle` resolves.
 */
async function noticesClose(settle: () => Promise<void>): Promise<boolean> {
  let report: (seen: boolean) => void = () => undefined;
  const seen = new Promise<boolean>((resolve) => {
    report = resolve;
  });
  const server = createServer((_request, response: ServerResponse) => {
    let left = false;
    response.once('close', () => {
      left = true;
    });
    void settle().then(() => report(left));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await Promise.all([once(caller, 'connect'), accepted]);
  caller.end('GET / HTTP/1.1\r\nHost: mesh\r\n\r\n');
  blockEventLoop();
  const result = await seen;
  caller.destroy();
  server.close();
  return result;
}

test('a delayed daemon notices that a caller has left before it starts the call', async () => {
  assert.is(await noticesClose(() => awaitPendingCloses(BLOCKED_MS)), true);
  assert.is(
    await noticesClose(() => Promise.resolve()),
    false,
    'without waiting, the close is not noticed',
  );
});

test.run();
