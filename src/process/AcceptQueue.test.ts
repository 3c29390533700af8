import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import settleCloses from '../request/settleCloses';
import AcceptQueue from './AcceptQueue';

const CONNECTIONS = 12;
/** Shorter than what makes a timer late. */
const TURN_MS = 20;
const LATE_MS = 50;

/** Works for a while in each turn of the event loop. */
function busyTurns(): () => void {
  let stopped = false;
  const turn = () => {
    const until = performance.now() + TURN_MS;
    while (performance.now() < until);
    if (!stopped) setImmediate(turn);
  };
  turn();
  return () => {
    stopped = true;
  };
}

/** @returns What the connections that callers open at once are told to have waited, in order. */
async function waits(): Promise<number[]> {
  const queue = new AcceptQueue(new SystemClock());
  const accepted: Socket[] = [];
  const server = createServer((socket) => {
    queue.note(socket);
    accepted.push(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const stop = busyTurns();
  const callers = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
  while (accepted.length < CONNECTIONS) await new Promise(setImmediate);
  stop();
  const seen = accepted.map((socket) => queue.waitedMs(socket));
  assert.is(queue.waitedMs(accepted[CONNECTIONS - 1]!), 0, 'its next request did not wait');
  for (let turn = 0; turn < 4; turn += 1) await new Promise(setImmediate);
  const late = connect(port, '127.0.0.1');
  while (accepted.length <= CONNECTIONS) await new Promise(setImmediate);
  assert.is(queue.waitedMs(accepted[CONNECTIONS]!), 0, 'the queue was empty again');
  for (const socket of [...callers, ...accepted, late]) socket.destroy();
  server.close();
  return seen;
}

test('connections that waited behind others to be accepted are known to be late', async () => {
  const seen = await waits();
  assert.ok(seen[CONNECTIONS - 1]! > LATE_MS, String(seen));
});

/** @returns Of calls whose callers left before they were accepted, how many are seen to have left. */
async function leaversSeen(settle: (waitedMs: number) => Promise<void>): Promise<number> {
  const queue = new AcceptQueue(new SystemClock());
  let handled = 0;
  let seen = 0;
  const server = createHttpServer((request) => {
    let left = false;
    request.socket.once('close', () => {
      left = true;
    });
    void settle(queue.waitedMs(request.socket)).then(() => {
      handled += 1;
      if (left) seen += 1;
    });
  });
  server.on('connection', (socket: Socket) => queue.note(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const callers = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
  for (const caller of callers) caller.end('GET / HTTP/1.1\r\nHost: mesh\r\n\r\n');
  const stop = busyTurns();
  while (handled < CONNECTIONS) await new Promise(setImmediate);
  stop();
  for (const caller of callers) caller.destroy();
  server.close();
  return seen;
}

test('a caller that left while its connection waited to be accepted is seen to have left', async () => {
  const naive = await leaversSeen(() => settleCloses(0));
  const seen = await leaversSeen((waitedMs) => settleCloses(waitedMs));
  // The first few wait too little to tell.
  assert.ok(seen >= CONNECTIONS - 4, `${seen} of ${CONNECTIONS}`);
  assert.is(naive, 0, 'by the lag of timers alone none is seen');
});

test.run();
