import { Worker } from 'node:worker_threads';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import sleep from '../common/sleep';
import waitEventLoopTurns from '../common/waitEventLoopTurns';
import type { Address, DaemonId } from '../common/Types';
import withStallAwareTimeout from './withStallAwareTimeout';
import PeerClient from './PeerClient';
import SocketMeter from './SocketMeter';

const TIMEOUT_MS = 400;
const STALL_MS = 2_000;
/** Number of event loop turns until the response is read. */
const TURNS = 16;
/** A peer that responds to the identity procedure, run on a separate thread. */
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

/** Blocks the event loop. */
function blockEventLoop(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

test('a response read some event loop turns after a stall of this process does not time out', async () => {
  const asked = withStallAwareTimeout([], TIMEOUT_MS, async (signal) => {
    await waitEventLoopTurns(TURNS);
    return signal.aborted ? 'missed' : 'answer';
  });
  blockEventLoop(STALL_MS);
  assert.is(await asked, 'answer');
});

test('a stall of this process does not make a reachable member unreachable', async () => {
  const worker = new Worker(PEER, { eval: true });
  try {
    const [port] = (await once(worker, 'message')) as [number];
    const peerClient = new PeerClient(new SocketMeter());
    const reached = peerClient.isReachable('peer' as DaemonId, `127.0.0.1:${port}` as Address);
    blockEventLoop(STALL_MS);
    assert.is(await reached, true);
  } finally {
    await worker.terminate();
  }
});

test('a request ends after the timeout, or at once if its connection has already ended', async () => {
  const never = (signal: AbortSignal) =>
    new Promise<never>((_resolve, reject) => {
      const fail = () => reject(new Error('given up'));
      if (signal.aborted) fail();
      signal.addEventListener('abort', fail);
    });
  const wait = (timeoutMs: number, ended: AbortSignal) =>
    withStallAwareTimeout([ended], timeoutMs, never).catch((error: Error) => error.message);
  const ended = AbortSignal.abort();
  assert.is(await wait(TIMEOUT_MS, new AbortController().signal), 'given up');
  assert.is(await wait(2 ** 30, ended), 'given up');
});

test('a request whose response goes on arriving does not time out; one that stalls does', async () => {
  const parts = async (count: number, signal: AbortSignal, onProgress: () => void) => {
    for (let part = 0; part < count; part += 1) {
      await sleep(TIMEOUT_MS / 4, signal);
      onProgress();
    }
    return signal.aborted ? 'cut' : 'whole';
  };
  assert.is(
    await withStallAwareTimeout([], TIMEOUT_MS, (signal, onProgress) =>
      parts(10, signal, onProgress),
    ),
    'whole',
  );
  const stalled = await withStallAwareTimeout([], TIMEOUT_MS, async (signal, onProgress) => {
    await parts(2, signal, onProgress);
    await once(signal, 'abort');
    return 'aborted';
  });
  assert.is(stalled, 'aborted');
});

test.run();
