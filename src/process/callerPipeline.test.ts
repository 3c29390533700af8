/**
 * Requests that a caller pipelines on one connection: the order of their responses, refusals, and the
 * behaviour of a stop.
 *
 * @packageDocumentation
 */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import CallHandler, { type CallHandlerServices } from '../request/CallHandler';
import NotRunError from '../request/NotRunError';
import StreamedAnswer from '../request/StreamedAnswer';
import type { CallRequest, CancelSignal, Upstream } from '../request/Types';
import Listener from './Listener';

/** Deadline of the daemon's stop, in milliseconds, that no test reaches. */
const UNREACHED_DEADLINE_MS = Number.MAX_SAFE_INTEGER;
const MAX_BODY_BYTES = 1_000;

/**
 * Size of a response that is larger than all socket buffers between the daemon and a caller that
 * doesn't read.
 */
const LARGE_BYTES = 32 * 1024 * 1024;
/**
 * Size of a response that is larger than the socket buffer of a caller, and smaller than the socket
 * buffers of caller and daemon together.
 */
const BUFFERED_BYTES = 1024 * 1024;

function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: mesh\r\n${headers}\r\n`;
}

/** Polls until the condition holds; `what` names it in the error after a timeout. */
async function waitUntil(what: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 30_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out waiting until ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
}

/**
 * Callers, the listener and call handler of a daemon, and an upstream whose responses the test
 * sends.
 */
class Pipeline {
  /** Paths of the requests that reached the upstream, in order. */
  public readonly started: string[] = [];

  /** Paths of the requests that the daemon cancelled at the upstream. */
  public readonly cancelled: string[] = [];

  /** Error codes with which the HTTP parser rejected bytes from callers, in order. */
  public readonly refused: string[] = [];

  public readonly calls: CallHandler;

  public readonly callers: Socket[] = [];

  /** Whether a newer version of the configuration is known than the one in force. */
  public awaitsNewerVersion = false;

  public readonly accepted: Socket[] = [];

  /** Functions that respond to the requests at the upstream, by the path of the request. */
  private readonly responders = new Map<string, (answer: StreamedAnswer) => void>();

  private address!: Address;

  public constructor(public readonly listener: Listener) {
    const route = { name: 'r', retries: 0, objectiveMs: 60_000, timeoutMs: 60_000, targets: [] };
    const target = { service: 's', weight: 1 };
    Object.assign(route, { targets: [target] });
    const snapshot = {
      match: (_method: string, _host: string, path: string) =>
        path.startsWith('/unknown') ? undefined : route,
      head: { version: 1 },
      configuration: {
        services: new Map([['s', { name: 's', slots: 1 }]]),
        organisations: new Map(),
        retryBudget: 1,
      },
      shortestObjectiveMs: 60_000,
    };
    const upstream = { service: 's', daemon: 'd' } as unknown as Upstream;
    this.calls = new CallHandler({
      versions: { snapshot },
      directory: { upstreams: () => [upstream] },
      balancer: {
        choose: () => upstream,
        begin: () => undefined,
        end: () => undefined,
        latencyMs: () => undefined,
        reportedLoad: () => undefined,
      },
      transport: {
        send: (
          _upstream: Upstream,
          request: CallRequest,
          _context: unknown,
          signal: CancelSignal,
        ) => this.run(request.path, signal),
      },
      clock: new SystemClock(),
      random: new SeededRandom(1),
      names: {},
      limits: {
        maxBodyBytes: () => MAX_BODY_BYTES,
        maxOpenCalls: 1_000,
        bodyMemoryBytes: MAX_BODY_BYTES,
      },
      localRuns: { isIdle: true, idleShare: 1, repeatShare: 0 },
      retryAllowance: {
        windowMs: () => 1,
        slack: () => 0,
        isShared: () => false,
        maxShare: () => 0,
      },
      logger: { log: () => undefined },
      onCallEnd: () => undefined,
      overloadGuard: { shouldRefuse: () => false },
      acceptedAfterMs: () => 0,
      positionOf: (response: never) => listener.positionOf(response),
      isCurrent: () => true,
      awaitsNewerVersion: () => this.awaitsNewerVersion,
      lagMs: () => 0,
      waitedMs: () => 0,
      incarnation: () => 1,
      nextAttempt: () => 1,
      onAttempt: () => undefined,
      retryAdvice: { delayWhenFullMs: () => 0, delayWhenNotReadyMs: () => 0 },
    } as unknown as CallHandlerServices);
    listener.handle((message, response) => void this.calls.handle(message, response));
    listener.server.on('connection', (socket: Socket) => this.accepted.push(socket));
    listener.server.on('clientError', ({ code }: NodeJS.ErrnoException) =>
      this.refused.push(code!),
    );
  }

  public async start(): Promise<void> {
    this.address = await this.listener.listen('127.0.0.1:0' as Address);
  }

  /**
   * Opens a connection.
   *
   * @param bytes - Written to the connection at once.
   * @returns The caller's end of the connection.
   */
  public async connectCaller(bytes: string): Promise<Socket> {
    const socket = connect(Number(this.address.split(':')[1]), '127.0.0.1');
    this.callers.push(socket);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    socket.write(bytes);
    return socket;
  }

  /** Waits until requests with these paths have reached the upstream. */
  public async waitUntilRunning(...paths: string[]): Promise<void> {
    await waitUntil(`${paths.join()} run at the upstream`, () =>
      paths.every((path) => this.responders.has(path)),
    );
  }

  /** Sends the response head for the request with this path; the test sends the body. */
  public startAnswer(path: string, bytes: number): StreamedAnswer {
    const source = {
      paused: false,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => undefined,
    };
    const answer = new StreamedAnswer(200, { 'content-length': String(bytes) }, source);
    this.responders.get(path)!(answer);
    return answer;
  }

  /** Sends a complete response for the request with this path; its body is the path without the slash. */
  public answer(path: string): void {
    const answer = this.startAnswer(path, path.length - 1);
    answer.push(Buffer.from(path.slice(1)));
    answer.complete();
  }

  public dispose(): void {
    for (const caller of this.callers) caller.destroy();
    this.listener.dispose();
  }

  private run(path: string, signal: CancelSignal): Promise<StreamedAnswer> {
    this.started.push(path);
    return new Promise((resolve, reject) => {
      this.responders.set(path, resolve);
      signal.addEventListener('abort', () => {
        this.cancelled.push(path);
        reject(new NotRunError('cancelled'));
      });
    });
  }
}

/** Runs a test with a pipeline, and closes its connections afterwards. */
async function withPipeline(
  run: (pipeline: Pipeline) => Promise<void>,
  listener = new Listener(),
): Promise<void> {
  const pipeline = new Pipeline(listener);
  try {
    await pipeline.start();
    await run(pipeline);
  } finally {
    pipeline.dispose();
  }
}

/**
 * Reads a connection to its end.
 *
 * @returns For each response its status, its body if the status is 200, and whether it has
 * `connection: close`.
 */
async function answersOf(socket: Socket): Promise<string[]> {
  const all = await Promise.race([text(socket), once(socket, 'error').then(() => 'reset')]);
  return all.split(/(?=HTTP\/1\.1 )/).map((answer) => {
    const [head = '', body = ''] = answer.split('\r\n\r\n');
    const status = head.split('\r\n', 1)[0]!.replace('HTTP/1.1 ', '');
    const close = /^connection: close\r?$/im.test(head) ? ', close' : '';
    return `${status}: ${status.startsWith('200') ? body : ''}${close}`;
  });
}

for (const stops of ['before', 'after']) {
  for (const order of [
    ['/a', '/b'],
    ['/b', '/a'],
  ]) {
    test(`a stop ${stops} pipelined requests arrive: answered in request order, completed as ${order.join()}`, () =>
      withPipeline(async (pipeline) => {
        if (stops === 'before') pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
        const caller = await pipeline.connectCaller(get('/a') + get('/b'));
        await pipeline.waitUntilRunning('/a', '/b');
        pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
        const answers = answersOf(caller);
        for (const path of order) pipeline.answer(path);
        assert.equal(await answers, ['200 OK: a', '200 OK: b, close']);
      }));
  }
}

test('a stop answers a request that arrives while the response before it is held back', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    const caller = await pipeline.connectCaller(get('/a') + get('/b'));
    await pipeline.waitUntilRunning('/a', '/b');
    pipeline.answer('/b');
    caller.write(get('/c'));
    await pipeline.waitUntilRunning('/c');
    const answers = answersOf(caller);
    pipeline.answer('/a');
    pipeline.answer('/c');
    assert.equal(await answers, ['200 OK: a', '200 OK: b', '200 OK: c, close']);
  }));

test('a request that arrives after a response head with connection: close is not started', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    const caller = await pipeline.connectCaller(get('/a'));
    await pipeline.waitUntilRunning('/a');
    const answer = pipeline.startAnswer('/a', 2);
    answer.push(Buffer.from('a'));
    const [head] = (await once(caller, 'data')) as [Buffer];
    assert.match(head.toString(), /connection: close/i);
    caller.write(get('/b'));
    const sent = get('/a').length + get('/b').length;
    await waitUntil('the second request is read', () => pipeline.accepted[0]!.bytesRead === sent);
    const answers = text(caller);
    answer.push(Buffer.from('a'));
    answer.complete();
    assert.is(await answers, 'a');
    assert.equal(pipeline.started, ['/a']);
  }));

const REFUSALS: Readonly<Record<string, { sent: string; answers: string[] }>> = {
  'malformed bytes': {
    sent: 'hello\r\n\r\n',
    answers: ['200 OK: a', '400 Bad Request: , close'],
  },
  'an oversized header': {
    sent: get('/b', `X-Large: ${'a'.repeat(20_000)}\r\n`),
    answers: ['200 OK: a', '431 Request Header Fields Too Large: , close'],
  },
  'a malformed body': {
    sent: 'POST /b HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n',
    answers: ['200 OK: a', '400 Bad Request: , close'],
  },
};

for (const [name, { sent, answers }] of Object.entries(REFUSALS)) {
  test(`${name} after a request: refused once the request is answered`, () =>
    withPipeline(async (pipeline) => {
      const caller = await pipeline.connectCaller(get('/a') + sent);
      await pipeline.waitUntilRunning('/a');
      const seen = answersOf(caller);
      await waitUntil('it is refused', () => pipeline.refused.length > 0);
      caller.write('more\r\n');
      await waitUntil('the following bytes are refused', () => pipeline.refused.length > 1);
      pipeline.answer('/a');
      assert.equal(await seen, answers);
      assert.equal(pipeline.cancelled, []);
    }));
}

test('CONNECT after a request is refused once the request is answered', () =>
  withPipeline(async (pipeline) => {
    const tunnel = 'CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n';
    const caller = await pipeline.connectCaller(get('/a') + get('/b') + tunnel + get('/c'));
    const seen = answersOf(caller);
    await pipeline.waitUntilRunning('/a', '/b');
    pipeline.answer('/b');
    pipeline.answer('/a');
    assert.equal(await seen, ['200 OK: a', '200 OK: b', '405 Method Not Allowed: , close']);
    assert.equal(pipeline.started, ['/a', '/b']);
    assert.equal(pipeline.cancelled, []);
  }));

test('CONNECT as the first request is refused', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.connectCaller('CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n');
    assert.equal(await answersOf(caller), ['405 Method Not Allowed: , close']);
  }));

for (const [name, sent] of Object.entries({
  head: 'GET /b HTTP/1.1\r\nHost: me',
  body: 'POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: 9\r\n\r\nabc',
})) {
  test(`a ${name} that exceeds its timeout is refused once the request before it is answered`, () =>
    withPipeline(
      async (pipeline) => {
        const caller = await pipeline.connectCaller(get('/a') + sent);
        await pipeline.waitUntilRunning('/a');
        const seen = answersOf(caller);
        await waitUntil('it is refused', () => pipeline.refused.length > 0);
        pipeline.answer('/a');
        assert.equal(await seen, ['200 OK: a', '408 Request Timeout: , close']);
        assert.equal(pipeline.cancelled, []);
      },
      new Listener({ headersTimeout: 20, requestTimeout: 20, connectionsCheckingInterval: 10 }),
    ));
}

const LARGE_BODY = 'a'.repeat(2 * MAX_BODY_BYTES);

for (const [name, rest] of Object.entries({
  announced: `Content-Length: ${LARGE_BODY.length}\r\n\r\n${LARGE_BODY.slice(1)}`,
  chunked: `Transfer-Encoding: chunked\r\n\r\n${LARGE_BODY.length.toString(16)}\r\n${LARGE_BODY}`,
})) {
  const request = `POST /b HTTP/1.1\r\nHost: mesh\r\n${rest}`;
  test(`a large ${name} body is refused`, () =>
    withPipeline(async (pipeline) => {
      const seen = answersOf(await pipeline.connectCaller(request));
      assert.equal(await seen, ['413 Payload Too Large: , close']);
    }));
  test(`a large ${name} body after a request is refused once the request is answered`, () =>
    withPipeline(async (pipeline) => {
      const caller = await pipeline.connectCaller(get('/a') + request);
      await pipeline.waitUntilRunning('/a');
      const seen = answersOf(caller);
      await waitUntil('it is refused', () => pipeline.calls.unsentAnswers > 0 || caller.closed);
      if (!caller.closed) pipeline.answer('/a');
      assert.equal(await seen, ['200 OK: a', '413 Payload Too Large: , close']);
      assert.equal(pipeline.cancelled, []);
    }));
}

test('a body that arrives whole before its refusal is sent affects neither daemon nor next response', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.connectCaller(
      `${get('/a')}POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: ${LARGE_BODY.length}\r\n\r\n`,
    );
    await pipeline.waitUntilRunning('/a');
    await waitUntil('it is refused', () => pipeline.calls.unsentAnswers > 0);
    caller.write(LARGE_BODY + get('/c', 'Connection: close\r\n'));
    await pipeline.waitUntilRunning('/c');
    const seen = answersOf(caller);
    pipeline.answer('/a');
    pipeline.answer('/c');
    assert.equal(await seen, ['200 OK: a', '413 Payload Too Large: ', '200 OK: c, close']);
  }));

test('a request pipelined after one with connection: close does not replace its response', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.connectCaller(get('/a', 'Connection: close\r\n') + get('/b'));
    await pipeline.waitUntilRunning('/a');
    const seen = answersOf(caller);
    pipeline.answer('/a');
    assert.equal(await seen, ['200 OK: a, close']);
    assert.equal(pipeline.started, ['/a']);
  }));

test('a response that fails after its head is sent closes the connection after the earlier responses', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.connectCaller(get('/a') + get('/b') + get('/c'));
    await pipeline.waitUntilRunning('/a', '/b', '/c');
    let received = '';
    caller.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    pipeline.answer('/a');
    const failing = pipeline.startAnswer('/b', 9);
    failing.push(Buffer.from('bbb'));
    await waitUntil('the first part of the body arrives', () => received.endsWith('bbb'));
    failing.fail('the upstream broke off');
    await once(caller, 'close');
    assert.match(received, /\r\n\r\naHTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nbbb$/);
    await waitUntil('the request after it is cancelled', () => pipeline.cancelled.includes('/c'));
  }));

test('a response that fails before its head is sent becomes a 502, and later responses follow', () =>
  withPipeline(async (pipeline) => {
    const last = get('/c', 'Connection: close\r\n');
    const caller = await pipeline.connectCaller(get('/a') + get('/b') + last);
    await pipeline.waitUntilRunning('/a', '/b', '/c');
    const seen = answersOf(caller);
    const failing = pipeline.startAnswer('/b', 9);
    failing.push(Buffer.from('b'));
    await waitUntil('it is held back', () => pipeline.calls.unsentAnswers === 1);
    failing.fail('the upstream broke off');
    pipeline.answer('/c');
    pipeline.answer('/a');
    assert.equal(await seen, ['200 OK: a', '502 Bad Gateway: ', '200 OK: c, close']);
  }));

test('the idle timeout does not apply to a connection with a running request', () =>
  withPipeline(async (pipeline) => {
    pipeline.listener.setTimeouts(60_000, 1);
    const caller = await pipeline.connectCaller(get('/a') + get('/b', 'Connection: close\r\n'));
    await pipeline.waitUntilRunning('/a', '/b');
    const seen = answersOf(caller);
    pipeline.answer('/a');
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    pipeline.answer('/b');
    assert.equal(await seen, ['200 OK: a', '200 OK: b, close']);
  }));

for (const end of ['end', 'destroy'] as const) {
  for (const rest of ['', 'POST /c HTTP/1.1\r\nHost: mesh\r\nContent-Length: 9\r\n\r\nabc']) {
    test(`a caller's ${end} ${rest && 'within a request '}cancels all pipelined requests`, () =>
      withPipeline(async (pipeline) => {
        const caller = await pipeline.connectCaller(get('/a') + get('/b') + rest);
        await pipeline.waitUntilRunning('/a', '/b');
        pipeline.answer('/b');
        caller[end]();
        await waitUntil('the first request is cancelled', () => pipeline.cancelled.includes('/a'));
        await waitUntil('no call is open', () => pipeline.calls.openCalls === 0);
        await waitUntil('no response is unsent', () => pipeline.calls.unsentAnswers === 0);
      }));
  }
}

/** @returns A caller that has stopped reading while its response is being sent. */
async function pausedCaller(pipeline: Pipeline): Promise<Socket> {
  const caller = await pipeline.connectCaller(get('/a'));
  await pipeline.waitUntilRunning('/a');
  caller.pause();
  const answer = pipeline.startAnswer('/a', LARGE_BYTES);
  answer.push(Buffer.alloc(LARGE_BYTES));
  answer.complete();
  await waitUntil('the response is being sent', () => pipeline.calls.unsentAnswers > 0);
  return caller;
}

/** @returns Number of bytes received until the connection ends. */
async function receivedBytes(caller: Socket): Promise<number> {
  let bytes = 0;
  caller.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  caller.resume();
  await Promise.race([once(caller, 'end'), once(caller, 'close')]);
  return bytes;
}

test('a stop waits until the caller has read its response', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    const caller = await pausedCaller(pipeline);
    let idle = false;
    const whenIdle = pipeline.calls.whenIdle().then(() => {
      idle = true;
    });
    await new Promise(setImmediate);
    assert.not(idle);
    assert.ok((await receivedBytes(caller)) > LARGE_BYTES);
    await whenIdle;
  }));

test('a stop does not truncate a response that the caller is still reading', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    const caller = await pausedCaller(pipeline);
    pipeline.listener.stopAccepting();
    const bytes = await receivedBytes(caller);
    assert.ok(bytes > LARGE_BYTES, `${bytes} bytes received`);
  }));

test('a request that arrives behind a closing response does not truncate that response', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    const caller = await pipeline.connectCaller(get('/a'));
    await pipeline.waitUntilRunning('/a');
    caller.pause();
    const answer = pipeline.startAnswer('/a', BUFFERED_BYTES);
    answer.push(Buffer.alloc(BUFFERED_BYTES));
    answer.complete();
    await pipeline.calls.whenIdle();
    caller.write(get('/b'));
    const sent = get('/a').length + get('/b').length;
    await waitUntil(
      'the second request arrives or the connection closes',
      () => pipeline.accepted[0]!.bytesRead === sent || pipeline.accepted[0]!.destroyed,
    );
    const bytes = await receivedBytes(caller);
    assert.ok(bytes > BUFFERED_BYTES, `${bytes} bytes received`);
    assert.equal(pipeline.started, ['/a']);
  }));

test('a large body that keeps arriving does not truncate its refusal', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.connectCaller(
      `POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`,
    );
    const seen = answersOf(caller);
    caller.write(Buffer.alloc(BUFFERED_BYTES));
    assert.equal(await seen, ['413 Payload Too Large: , close']);
  }));

// Guards against a final 404 for a route of a version that this daemon is still validating.
test('a request that matches no route is refused for now while a newer version is awaited', () =>
  withPipeline(async (pipeline) => {
    const answer = async () => {
      const caller = await pipeline.connectCaller(get('/unknown', 'Connection: close\r\n'));
      return (await text(caller)).split('\r\n').filter((line) => /^HTTP|^retry-after/i.test(line));
    };
    const before = await answer();
    pipeline.awaitsNewerVersion = true;
    const meanwhile = await answer();
    pipeline.awaitsNewerVersion = false;
    assert.equal(
      [before, meanwhile, await answer()],
      [
        ['HTTP/1.1 404 Not Found'],
        ['HTTP/1.1 503 Service Unavailable', 'retry-after: 0.000'],
        ['HTTP/1.1 404 Not Found'],
      ],
    );
  }));

test('a stop closes only idle connections', () =>
  withPipeline(async (pipeline) => {
    const idle = await pipeline.connectCaller(get('/a'));
    await pipeline.waitUntilRunning('/a');
    pipeline.answer('/a');
    await once(idle, 'data');
    const busy = await pipeline.connectCaller(get('/b') + get('/c'));
    await pipeline.waitUntilRunning('/b', '/c');
    pipeline.answer('/c');
    const partial = await pipeline.connectCaller('GET /d HTTP/1.1\r\n');
    await waitUntil(
      'the first part of the head arrives',
      () => (pipeline.accepted[2]?.bytesRead ?? 0) > 0,
    );
    pipeline.calls.stop(UNREACHED_DEADLINE_MS, UNREACHED_DEADLINE_MS);
    pipeline.listener.stopAccepting();
    await once(idle, 'close');
    partial.write('Host: mesh\r\n\r\n');
    await pipeline.waitUntilRunning('/d');
    pipeline.answer('/d');
    assert.equal(await answersOf(partial), ['200 OK: d, close']);
    pipeline.answer('/b');
    assert.equal(await answersOf(busy), ['200 OK: b', '200 OK: c, close']);
  }));

test.run();
