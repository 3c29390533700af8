import { Worker } from 'node:worker_threads';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Address } from '../common/Types';
import Listener from './Listener';

const CALLERS = 200;
const BACKLOG = 32;
/** Most connections that may be established while none is accepted: the queue, and some slack. */
const MAX_WAITING = BACKLOG + 8;
const BLOCKED_MS = 600;

/** Opens connections from another thread, and counts those that are established. */
const CALLER_CODE = `
  const { connect } = require('node:net');
  const { workerData } = require('node:worker_threads');
  const counter = new Int32Array(workerData.counter);
  for (let caller = 0; caller < ${CALLERS}; caller += 1) {
    const socket = connect(workerData.port, '127.0.0.1', () => Atomics.add(counter, 0, 1));
    socket.on('error', () => undefined);
  }
`;

test('while the event loop accepts nothing, only the backlog of connections waits', async () => {
  const listener = new Listener({ backlog: BACKLOG });
  const address = await listener.listen('127.0.0.1:0' as Address);
  const counter = new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT);
  const counts = new Int32Array(counter);
  const port = Number(address.split(':')[1]);
  const worker = new Worker(CALLER_CODE, { eval: true, workerData: { port, counter } });
  await new Promise((resolve) => {
    worker.once('online', resolve);
  });
  // The event loop of this thread accepts nothing meanwhile.
  Atomics.wait(counts, 1, 0, BLOCKED_MS);
  const established = counts[0]!;
  await worker.terminate();
  listener.dispose();
  assert.ok(established > 0, 'no connection was established');
  assert.ok(established <= MAX_WAITING, `${established} connections wait to be accepted`);
});

test.run();
