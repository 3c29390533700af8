import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Dispatcher } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { Address } from '../common/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from './AttemptRegistry';
import CALLER_LEFT from './callerLeft';
import CancelSource from './CancelSource';
import OWN_HEADER_NAMES from './headerNames';
import LocalUpstream, { type LocalUpstreamServices } from './LocalUpstream';
import type { Answer, AttemptContext, CallRequest } from './Types';
import UpstreamConnections from './UpstreamConnections';

const LIMITS = { slots: 1, queue: 8, warmUpMs: 0 };
const LONG_TURN_MS = 800;
/** Calls after which the average duration of a route is known. */
const QUICK_CALLS = 30;

function requestFor(path: string): CallRequest {
  return { method: 'GET', path, requestId: undefined, headers: [], body: null };
}

function contextOf(number: number): AttemptContext {
  const id = { daemon: 'peer', incarnation: 1, number };
  const times = { deadline: 60_000, objective: 60_000 };
  return { id, service: 's', route: 'r', priority: 0, ...times } as unknown as AttemptContext;
}

/** An upstream with one slot that answers when the test says so. */
function upstreamWith(waitedMs: () => number) {
  const sent: string[] = [];
  const handlers: Dispatcher.DispatchHandler[] = [];
  const clock = new ManualClock();
  const pool = {
    dispatch: ({ path }: { path: string }, handler: Dispatcher.DispatchHandler) => {
      sent.push(path);
      handlers.push(handler);
    },
  };
  const services = {
    connect: () => ({ pool, endedGracefully: () => true }),
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    names: OWN_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs,
    clock,
    logger: { log: () => undefined },
    onUnreachable: () => undefined,
  } as unknown as LocalUpstreamServices;
  const upstream = new LocalUpstream(LIMITS, '127.0.0.1:1' as Address, services);
  const answerFirst = () => {
    const controller = { paused: false, resume: () => undefined };
    const used = controller as unknown as Dispatcher.DispatchController;
    handlers[0]!.onRequestStart?.(used, {});
    handlers[0]!.onResponseStart?.(used, 200, { 'content-length': '0' });
    handlers[0]!.onResponseEnd?.(used, {});
  };
  return { upstream, sent, answerFirst };
}

test('a call whose caller left in a long turn is not begun when a slot comes free in it', async () => {
  const { upstream, sent, answerFirst } = upstreamWith(() => LONG_TURN_MS);
  const first = upstream.run(requestFor('/first'), contextOf(1), new CancelSource());
  while (sent.length === 0) await new Promise(setImmediate);
  const cancel = new CancelSource();
  const second = upstream.run(requestFor('/second'), contextOf(2), cancel).then(
    () => 'answered',
    (error: Error) => error.name,
  );
  // The answer that frees the slot is read ahead of the close.
  answerFirst();
  setImmediate(() => cancel.abort(CALLER_LEFT));
  await first;
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
  assert.equal(sent, ['/first']);
  assert.is(await second, 'NotRunError');
});

test('a call that runs goes on where another one makes its connections suspect', async () => {
  const waiting = new Map<string, () => void>();
  const server = createServer((request, response) => {
    waiting.set(request.url!, () => response.end('whole'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const clock = new ManualClock();
  const lines: string[] = [];
  const services = {
    connect: () =>
      new UpstreamConnections(address, { connections: 4, connectMs: 5_000, keepAliveMs: 4_000 }),
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    names: OWN_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs: () => 0,
    clock,
    logger: { log: (line: string) => lines.push(line) },
    onUnreachable: () => undefined,
  } as unknown as LocalUpstreamServices;
  const upstream = new LocalUpstream({ slots: 4, queue: 8, warmUpMs: 0 }, address, services);
  const bodyOf = async (answer: Answer): Promise<string> => {
    const chunks: string[] = [];
    const write = (chunk: Buffer) => chunks.push(String(chunk)) > 0;
    await answer.pipe({ write, onDrain: () => undefined });
    return chunks.join('');
  };
  for (let number = 1; number <= QUICK_CALLS; number += 1) {
    const quick = upstream.run(requestFor('/quick'), contextOf(number), new CancelSource());
    while (!waiting.has('/quick')) await new Promise(setImmediate);
    clock.advance(10);
    waiting.get('/quick')!();
    waiting.clear();
    await bodyOf(await quick);
  }
  const cancel = new CancelSource();
  const left = upstream.run(requestFor('/left'), contextOf(100), cancel).catch(() => 'left');
  const kept = upstream.run(requestFor('/kept'), contextOf(101), new CancelSource());
  while (waiting.size < 2) await new Promise(setImmediate);
  clock.advance(20_000);
  cancel.abort(CALLER_LEFT);
  assert.is(await left, 'left');
  assert.equal(lines, ['Renewed the connections to the upstream.']);
  waiting.get('/kept')!();
  assert.is(await bodyOf(await kept), 'whole');
  upstream.dispose();
  server.close();
});

test('an attempt that was given up before it came takes no place in the queue', async () => {
  const { upstream, sent } = upstreamWith(() => 0);
  void upstream.run(requestFor('/first'), contextOf(1), new CancelSource());
  while (sent.length === 0) await new Promise(setImmediate);
  const cancel = new CancelSource();
  cancel.abort(CALLER_LEFT);
  let error: Error | undefined;
  upstream.run(requestFor('/second'), contextOf(2), cancel).catch((thrown: Error) => {
    error = thrown;
  });
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
  assert.is(upstream.counts.waiting, 0);
  assert.is(error?.name, 'NotRunError');
});

test.run();
