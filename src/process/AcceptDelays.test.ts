import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SystemClock from '../common/SystemClock';
import awaitPendingCloses from '../request/awaitPendingCloses';
import AcceptDelays from './AcceptDelays';

const CONNECTIONS = 12;
/**
 * Time for which each event loop turn is blocked; too short to make the timers of the lag
 * measurement late.
 */
const TURN_MS = 20;
/** Lower bound of the accept delay of the connection that is accepted last. */
const MIN_LAST_DELAY_MS = 50;

/** Blocks the event loop for `TURN_MS` in each turn, until the returned function is called. */
function blockEachTurn(): () => void {
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

/** @returns Accept delays, in milliseconds, of connections opened at the same time, in accept order. */
async function acceptDelaysMs(): Promise<number[]> {
  const delays = new AcceptDelays(new SystemClock(), CONNECTIONS);
  const accepted: Socket[] = [];
  const server = createServer((socket) => {
    delays.recordAccept(socket);
    accepted.push(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const stop = blockEachTurn();
  const callers = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
  while (accepted.length < CONNECTIONS) await new Promise(setImmediate);
  stop();
  const delaysMs = accepted.map((socket) => delays.takeMaxDelayMs(socket));
  assert.is(
    delays.takeMaxDelayMs(accepted[CONNECTIONS - 1]!),
    0,
    'the second request on a connection has no delay',
  );
  for (let turn = 0; turn < 4; turn += 1) await new Promise(setImmediate);
  const late = connect(port, '127.0.0.1');
  while (accepted.length <= CONNECTIONS) await new Promise(setImmediate);
  assert.is(
    delays.takeMaxDelayMs(accepted[CONNECTIONS]!),
    0,
    'a connection to an empty queue has no delay',
  );
  for (const socket of [...callers, ...accepted, late]) socket.destroy();
  server.close();
  return delaysMs;
}

test('connections that wait in the accept queue have an accept delay', async () => {
  const delaysMs = await acceptDelaysMs();
  assert.ok(delaysMs[CONNECTIONS - 1]! > MIN_LAST_DELAY_MS, String(delaysMs));
});

test('in a queue that never empties, the delay is bounded by the accepts of as many as fit into it', () => {
  const backlog = 4;
  const clock = new ManualClock();
  const delays = new AcceptDelays(clock, backlog);
  const delaysMs = Array.from({ length: 12 }, () => {
    const socket = {} as Socket;
    delays.recordAccept(socket);
    clock.advance(10);
    return delays.takeMaxDelayMs(socket);
  });
  assert.equal(delaysMs, [0, 10, 20, 30, 40, 50, 60, 60, 60, 60, 60, 60]);
});

/**
 * Counts the calls whose callers closed their connections before these were accepted.
 *
 * @param settle - Waits for pending closes before a request is handled, given its accept delay.
 * @returns How many of the closes are noticed before the request is handled.
 */
async function closesNoticed(settle: (acceptDelayMs: number) => Promise<void>): Promise<number> {
  const delays = new AcceptDelays(new SystemClock(), CONNECTIONS);
  let handled = 0;
  let noticed = 0;
  const server = createHttpServer((request) => {
    let closed = false;
    request.socket.once('close', () => {
      closed = true;
    });
    void settle(delays.takeMaxDelayMs(request.socket)).then(() => {
      handled += 1;
      if (closed) noticed += 1;
    });
  });
  server.on('connection', (socket: Socket) => delays.recordAccept(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const callers = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
  for (const caller of callers) caller.end('GET / HTTP/1.1\r\nHost: mesh\r\n\r\n');
  const stop = blockEachTurn();
  while (handled < CONNECTIONS) await new Promise(setImmediate);
  stop();
  for (const caller of callers) caller.destroy();
  server.close();
  return noticed;
}

test('a caller that closes a connection in the accept queue is noticed before its request is handled', async () => {
  const noticedWithoutDelay = await closesNoticed(() => awaitPendingCloses(0));
  const noticed = await closesNoticed((acceptDelayMs) => awaitPendingCloses(acceptDelayMs));
  // The first connections are accepted with too short a delay for their closes to be noticed.
  assert.ok(noticed >= CONNECTIONS - 4, `${noticed} of ${CONNECTIONS}`);
  assert.is(noticedWithoutDelay, 0, 'no close is noticed without the accept delay');
});

test.run();
