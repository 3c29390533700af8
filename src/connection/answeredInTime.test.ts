import { Worker } from 'node:worker_threads';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import nextTurns from '../common/nextTurns';
import type { Address, DaemonId } from '../common/Types';
import answeredInTime from './answeredInTime';
import PeerAsker from './PeerAsker';
import SocketMeter from './SocketMeter';

const TIMEOUT_MS = 400;
const HELD_UP_MS = 2_000;
/** Turns of the event loop until an answer is read. */
const TURNS = 16;
/** Tells its identity over HTTP, on a thread of its own. */
const PEER = `
  const { createServer } = require('node:http');
  const { parentPort } = require('node:worker_threads');
  const body = JSON.stringify({ result: { data: 'peer' } });
  const server = createServer((request, response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(body);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Does nothing, and lets the event loop do nothing, for a time. */
function holdUp(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

test('an answer that is read some turns after a hold-up of this daemon is not missed', async () => {
  const asked = answeredInTime([], TIMEOUT_MS, async (signal) => {
    await nextTurns(TURNS);
    return signal.aborted ? 'missed' : 'answer';
  });
  holdUp(HELD_UP_MS);
  assert.is(await asked, 'answer');
});

test('a hold-up of this daemon does not make a member unreachable', async () => {
  const worker = new Worker(PEER, { eval: true });
  try {
    const [port] = (await once(worker, 'message')) as [number];
    const asker = new PeerAsker(new SocketMeter());
    const reached = asker.reach('peer' as DaemonId, `127.0.0.1:${port}` as Address);
    holdUp(HELD_UP_MS);
    assert.is(await reached, true);
  } finally {
    await worker.terminate();
  }
});

test('a peer that never answers is given up, and one whose connection ended at once', async () => {
  const never = (signal: AbortSignal) =>
    new Promise<never>((_resolve, reject) => {
      const give = () => reject(new Error('given up'));
      if (signal.aborted) give();
      signal.addEventListener('abort', give);
    });
  const wait = (timeoutMs: number, ended: AbortSignal) =>
    answeredInTime([ended], timeoutMs, never).catch((error: Error) => error.message);
  const ended = AbortSignal.abort();
  assert.is(await wait(TIMEOUT_MS, new AbortController().signal), 'given up');
  assert.is(await wait(2 ** 30, ended), 'given up');
});

test.run();
