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
import CancelController from './CancelController';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import LocalUpstream, { type LocalUpstreamServices } from './LocalUpstream';
import type { Answer, AttemptContext, CallRequest } from './Types';
import type UpstreamConnection from './UpstreamConnection';
import UpstreamConnections from './UpstreamConnections';
import UpstreamRuns from './UpstreamRuns';

const LIMITS = { slots: 1, queue: 8, warmUpMs: 0 };
/** Time in milliseconds that data may have waited to be read, as after a long event loop turn. */
const READ_DELAY_MS = 800;
/** Number of calls after which the average duration of a route is known. */
const WARM_UP_CALLS = 30;

function createRequest(path: string): CallRequest {
  return { method: 'GET', path, requestId: undefined, headers: [], body: null };
}

function createContext(number: number): AttemptContext {
  const id = { daemon: 'peer', incarnation: 1, number };
  const times = { deadline: 60_000, objective: 60_000 };
  return { id, service: 's', route: 'r', priority: 0, ...times } as unknown as AttemptContext;
}

/** Creates an upstream with one slot; the test decides when its first call is answered. */
function createUpstream(waitedMs: () => number) {
  const sent: string[] = [];
  const handlers: Dispatcher.DispatchHandler[] = [];
  const clock = new ManualClock();
  const connection = {
    client: {
      dispatch: ({ path }: { path: string }, handler: Dispatcher.DispatchHandler) => {
        sent.push(path);
        handlers.push(handler);
      },
    },
    resetMeter: () => undefined,
    endedGracefully: () => true,
  } as unknown as UpstreamConnection;
  const connections = {
    acquire: (_id: unknown, start: (acquired: UpstreamConnection) => void) => start(connection),
    release: () => undefined,
  };
  const services = {
    connect: () => connections,
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    runs: new UpstreamRuns(clock),
    names: DEFAULT_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs,
    clock,
    logger: { log: () => undefined },
    onUnreachable: () => undefined,
  } as unknown as LocalUpstreamServices;
  const upstream = new LocalUpstream(LIMITS, '127.0.0.1:1' as Address, services);
  const respondToFirst = () => {
    const controller = { paused: false, resume: () => undefined };
    const dispatchController = controller as unknown as Dispatcher.DispatchController;
    handlers[0]!.onRequestStart?.(dispatchController, {});
    handlers[0]!.onResponseStart?.(dispatchController, 200, { 'content-length': '0' });
    handlers[0]!.onResponseEnd?.(dispatchController, {});
  };
  return { upstream, sent, respondToFirst };
}

test('a queued call is not started if its caller left in the same event loop turn that frees a slot', async () => {
  const { upstream, sent, respondToFirst } = createUpstream(() => READ_DELAY_MS);
  const first = upstream.run(createRequest('/first'), createContext(1), new CancelController());
  while (sent.length === 0) await new Promise(setImmediate);
  const cancel = new CancelController();
  const second = upstream.run(createRequest('/second'), createContext(2), cancel).then(
    () => 'answered',
    (error: Error) => error.name,
  );
  // The response that frees the slot is read before the close of the second caller's connection.
  respondToFirst();
  setImmediate(() => cancel.abort(CALLER_LEFT));
  await first;
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
  assert.equal(sent, ['/first']);
  assert.is(await second, 'NotRunError');
});

test('a running call completes when another call causes the connections to be replaced', async () => {
  const responders = new Map<string, () => void>();
  const server = createServer((request, response) => {
    responders.set(request.url!, () => response.end('whole'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const clock = new ManualClock();
  const lines: string[] = [];
  const services = {
    connect: () =>
      new UpstreamConnections(address, {
        connections: 4,
        connectMs: 5_000,
        keepAliveMs: 4_000,
        idHeader: DEFAULT_HEADER_NAMES.requestId,
      }),
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    runs: new UpstreamRuns(clock),
    names: DEFAULT_HEADER_NAMES,
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
  for (let number = 1; number <= WARM_UP_CALLS; number += 1) {
    const quick = upstream.run(
      createRequest('/quick'),
      createContext(number),
      new CancelController(),
    );
    while (!responders.has('/quick')) await new Promise(setImmediate);
    clock.advance(10);
    responders.get('/quick')!();
    responders.clear();
    await bodyOf(await quick);
  }
  const cancel = new CancelController();
  const cancelled = upstream
    .run(createRequest('/cancelled'), createContext(100), cancel)
    .catch(() => 'cancelled');
  const running = upstream.run(
    createRequest('/running'),
    createContext(101),
    new CancelController(),
  );
  while (responders.size < 2) await new Promise(setImmediate);
  clock.advance(20_000);
  cancel.abort(CALLER_LEFT);
  assert.is(await cancelled, 'cancelled');
  assert.equal(lines, [
    'Renewed the connections to the upstream.',
    'Runs of a route at the upstream.',
  ]);
  responders.get('/running')!();
  assert.is(await bodyOf(await running), 'whole');
  upstream.dispose();
  server.close();
});

test('an attempt that was cancelled before it arrived is not queued', async () => {
  const { upstream, sent } = createUpstream(() => 0);
  void upstream.run(createRequest('/first'), createContext(1), new CancelController());
  while (sent.length === 0) await new Promise(setImmediate);
  const cancel = new CancelController();
  cancel.abort(CALLER_LEFT);
  let error: Error | undefined;
  upstream.run(createRequest('/second'), createContext(2), cancel).catch((thrown: Error) => {
    error = thrown;
  });
  for (let turn = 0; turn < 10; turn += 1) await new Promise(setImmediate);
  assert.is(upstream.counts.waiting, 0);
  assert.is(error?.name, 'NotRunError');
});

test.run();
