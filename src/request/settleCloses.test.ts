import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import settleCloses from './settleCloses';

const BLOCKED_MS = 60;

/** Keeps the event loop busy, so that what comes in meanwhile waits to be read. */
function block(): void {
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until);
}

/** Whether a handler that begins its work sees that the caller has left before that. */
async function seesLeaver(settle: () => Promise<void>): Promise<boolean> {
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
  block();
  const result = await seen;
  caller.destroy();
  server.close();
  return result;
}

test('a late daemon sees that a caller has left before it begins its work', async () => {
  assert.is(await seesLeaver(() => settleCloses(BLOCKED_MS)), true);
  assert.is(await seesLeaver(() => Promise.resolve()), false, 'without it the work begins');
});

test.run();
