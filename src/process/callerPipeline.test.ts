import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import CallHandler, { type CallHandlerServices } from '../request/CallHandler';
import NotRunError from '../request/NotRunError';
import StreamedAnswer from '../request/StreamedAnswer';
import type { CallRequest, CancelSignal, Upstream } from '../request/Types';
import Listener from './Listener';

/** End of a stop, in ms, that no test comes to. */
const LONG_AFTER = Number.MAX_SAFE_INTEGER;
const MAX_BODY_BYTES = 1_000;

/** More than the network takes while the caller doesn't read. */
const LARGE_BYTES = 32 * 1024 * 1024;
/** More than callers' buffers take, and less than with the daemon's. */
const BUFFERED_BYTES = 1024 * 1024;

function get(path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: mesh\r\n${headers}\r\n`;
}

async function until(what: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 30_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`never happened: ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
}

/** Callers, a daemon's listener and its handler, and an upstream that answers when told. */
class Pipeline {
  public readonly begun: string[] = [];

  public readonly cancelled: string[] = [];

  public readonly refused: string[] = [];

  public readonly calls: CallHandler;

  public readonly callers: Socket[] = [];

  public readonly accepted: Socket[] = [];

  private readonly runs = new Map<string, (answer: StreamedAnswer) => void>();

  private address!: Address;

  public constructor(public readonly listener: Listener) {
    const route = { name: 'r', retries: 0, objectiveMs: 60_000, timeoutMs: 60_000, targets: [] };
    const target = { service: 's', weight: 1 };
    Object.assign(route, { targets: [target] });
    const snapshot = {
      match: () => route,
      head: { version: 1 },
      configuration: { services: new Map([['s', { name: 's', slots: 1 }]]), retryBudget: 1 },
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
        known: () => undefined,
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
      names: {},
      limits: { maxBodyBytes: () => MAX_BODY_BYTES, maxOpenCalls: 1_000 },
      allowance: { windowMs: () => 1, slack: () => 0, maxShare: () => 0 },
      logger: { log: () => undefined },
      report: () => undefined,
      guard: { refuses: () => false },
      acceptedAfterMs: () => 0,
      turnOf: (response: never) => listener.turnOf(response),
      isCurrent: () => true,
      lagMs: () => 0,
      waitedMs: () => 0,
      incarnation: () => 1,
      nextAttempt: () => 1,
      onAttempt: () => undefined,
      advice: { whenFull: () => 0, whenUnready: () => 0 },
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

  /** @param bytes - Sent on a new connection. */
  public async caller(bytes: string): Promise<Socket> {
    const socket = connect(Number(this.address.split(':')[1]), '127.0.0.1');
    this.callers.push(socket);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    socket.write(bytes);
    return socket;
  }

  /** Waits until requests with these paths are under way. */
  public async running(...paths: string[]): Promise<void> {
    await until(`${paths.join()} run`, () => paths.every((path) => this.runs.has(path)));
  }

  /** Begins to answer the request with a path. */
  public head(path: string, bytes: number): StreamedAnswer {
    const source = {
      paused: false,
      pause: () => undefined,
      resume: () => undefined,
      abort: () => undefined,
    };
    const answer = new StreamedAnswer(200, { 'content-length': String(bytes) }, source);
    this.runs.get(path)!(answer);
    return answer;
  }

  /** Answers the request with a path, whose body is the path without the slash. */
  public answer(path: string): void {
    const answer = this.head(path, path.length - 1);
    answer.push(Buffer.from(path.slice(1)));
    answer.complete();
  }

  public dispose(): void {
    for (const caller of this.callers) caller.destroy();
    this.listener.dispose();
  }

  private run(path: string, signal: CancelSignal): Promise<StreamedAnswer> {
    this.begun.push(path);
    return new Promise((resolve, reject) => {
      this.runs.set(path, resolve);
      signal.addEventListener('abort', () => {
        this.cancelled.push(path);
        reject(new NotRunError('cancelled'));
      });
    });
  }
}

async function withPipeline(
  play: (pipeline: Pipeline) => Promise<void>,
  listener = new Listener(),
): Promise<void> {
  const pipeline = new Pipeline(listener);
  try {
    await pipeline.start();
    await play(pipeline);
  } finally {
    pipeline.dispose();
  }
}

/** @returns Of each answer up to the connection's end the status and body, and where a close is announced. */
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
    test(`a stop ${stops} they came answers requests behind each other, ready in the order ${order.join()}`, () =>
      withPipeline(async (pipeline) => {
        if (stops === 'before') pipeline.calls.stop(LONG_AFTER);
        const caller = await pipeline.caller(get('/a') + get('/b'));
        await pipeline.running('/a', '/b');
        pipeline.calls.stop(LONG_AFTER);
        const answers = answersOf(caller);
        for (const path of order) pipeline.answer(path);
        assert.equal(await answers, ['200 OK: a', '200 OK: b, close']);
      }));
  }
}

test('a stop answers a request that comes while the answer before it waits its turn', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(LONG_AFTER);
    const caller = await pipeline.caller(get('/a') + get('/b'));
    await pipeline.running('/a', '/b');
    pipeline.answer('/b');
    caller.write(get('/c'));
    await pipeline.running('/c');
    const answers = answersOf(caller);
    pipeline.answer('/a');
    pipeline.answer('/c');
    assert.equal(await answers, ['200 OK: a', '200 OK: b', '200 OK: c, close']);
  }));

test('a request that comes behind an answer which closes its connection is not begun', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(LONG_AFTER);
    const caller = await pipeline.caller(get('/a'));
    await pipeline.running('/a');
    const answer = pipeline.head('/a', 2);
    answer.push(Buffer.from('a'));
    const [head] = (await once(caller, 'data')) as [Buffer];
    assert.match(head.toString(), /connection: close/i);
    caller.write(get('/b'));
    const sent = get('/a').length + get('/b').length;
    await until('it is read', () => pipeline.accepted[0]!.bytesRead === sent);
    const answers = text(caller);
    answer.push(Buffer.from('a'));
    answer.complete();
    assert.is(await answers, 'a');
    assert.equal(pipeline.begun, ['/a']);
  }));

const REFUSALS: Readonly<Record<string, { sent: string; answers: string[] }>> = {
  'what is no request': {
    sent: 'hello\r\n\r\n',
    answers: ['200 OK: a', '400 Bad Request: , close'],
  },
  'headers that are too large': {
    sent: get('/b', `X-Large: ${'a'.repeat(20_000)}\r\n`),
    answers: ['200 OK: a', '431 Request Header Fields Too Large: , close'],
  },
  'a body that is malformed': {
    sent: 'POST /b HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n',
    answers: ['200 OK: a', '400 Bad Request: , close'],
  },
};

for (const [name, { sent, answers }] of Object.entries(REFUSALS)) {
  test(`${name} behind a request is refused after that is answered`, () =>
    withPipeline(async (pipeline) => {
      const caller = await pipeline.caller(get('/a') + sent);
      await pipeline.running('/a');
      const seen = answersOf(caller);
      await until('it is refused', () => pipeline.refused.length > 0);
      caller.write('more\r\n');
      await until('more is refused', () => pipeline.refused.length > 1);
      pipeline.answer('/a');
      assert.equal(await seen, answers);
      assert.equal(pipeline.cancelled, []);
    }));
}

for (const [name, sent] of Object.entries({
  head: 'GET /b HTTP/1.1\r\nHost: me',
  body: 'POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: 9\r\n\r\nabc',
})) {
  test(`a ${name} that does not come in time is refused after the request before is answered`, () =>
    withPipeline(
      async (pipeline) => {
        const caller = await pipeline.caller(get('/a') + sent);
        await pipeline.running('/a');
        const seen = answersOf(caller);
        await until('it is refused', () => pipeline.refused.length > 0);
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
      const seen = answersOf(await pipeline.caller(request));
      assert.equal(await seen, ['413 Payload Too Large: , close']);
    }));
  test(`a large ${name} body behind a request is refused after that is answered`, () =>
    withPipeline(async (pipeline) => {
      const caller = await pipeline.caller(get('/a') + request);
      await pipeline.running('/a');
      const seen = answersOf(caller);
      await until('it is refused', () => pipeline.calls.unsentAnswers > 0 || caller.closed);
      if (!caller.closed) pipeline.answer('/a');
      assert.equal(await seen, ['200 OK: a', '413 Payload Too Large: , close']);
      assert.equal(pipeline.cancelled, []);
    }));
}

test('a refused body that came whole while its refusal waited neither ends the daemon nor what follows', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.caller(
      `${get('/a')}POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: ${LARGE_BODY.length}\r\n\r\n`,
    );
    await pipeline.running('/a');
    await until('it is refused', () => pipeline.calls.unsentAnswers > 0);
    caller.write(LARGE_BODY + get('/c', 'Connection: close\r\n'));
    await pipeline.running('/c');
    const seen = answersOf(caller);
    pipeline.answer('/a');
    pipeline.answer('/c');
    assert.equal(await seen, ['200 OK: a', '413 Payload Too Large: ', '200 OK: c, close']);
  }));

test('a request behind one that asks for the close does not replace its answer', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.caller(get('/a', 'Connection: close\r\n') + get('/b'));
    await pipeline.running('/a');
    const seen = answersOf(caller);
    pipeline.answer('/a');
    assert.equal(await seen, ['200 OK: a, close']);
    assert.equal(pipeline.begun, ['/a']);
  }));

test('an answer that breaks off in the middle ends its connection, behind the answers before it', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.caller(get('/a') + get('/b') + get('/c'));
    await pipeline.running('/a', '/b', '/c');
    let came = '';
    caller.on('data', (chunk: Buffer) => {
      came += chunk.toString();
    });
    pipeline.answer('/a');
    const broken = pipeline.head('/b', 9);
    broken.push(Buffer.from('bbb'));
    await until('its part came', () => came.endsWith('bbb'));
    broken.fail('the upstream broke off');
    await once(caller, 'close');
    assert.match(came, /\r\n\r\naHTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nbbb$/);
    await until('the one behind it is cancelled', () => pipeline.cancelled.includes('/c'));
  }));

test('an answer that breaks off before its turn leaves those behind it theirs', () =>
  withPipeline(async (pipeline) => {
    const last = get('/c', 'Connection: close\r\n');
    const caller = await pipeline.caller(get('/a') + get('/b') + last);
    await pipeline.running('/a', '/b', '/c');
    const seen = answersOf(caller);
    const broken = pipeline.head('/b', 9);
    broken.push(Buffer.from('b'));
    await until('it waits', () => pipeline.calls.unsentAnswers === 1);
    broken.fail('the upstream broke off');
    pipeline.answer('/c');
    pipeline.answer('/a');
    assert.equal(await seen, ['200 OK: a', '502 Bad Gateway: ', '200 OK: c, close']);
  }));

test('a connection with a request that runs is not idle, however long', () =>
  withPipeline(async (pipeline) => {
    pipeline.listener.setTimeouts(60_000, 1);
    const caller = await pipeline.caller(get('/a') + get('/b', 'Connection: close\r\n'));
    await pipeline.running('/a', '/b');
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
    test(`a caller's ${end} ${rest && 'in a request '}cancels all that is behind each other`, () =>
      withPipeline(async (pipeline) => {
        const caller = await pipeline.caller(get('/a') + get('/b') + rest);
        await pipeline.running('/a', '/b');
        pipeline.answer('/b');
        caller[end]();
        await until('the first is cancelled', () => pipeline.cancelled.includes('/a'));
        await until('nothing is open', () => pipeline.calls.openCalls === 0);
        await until('nothing is unsent', () => pipeline.calls.unsentAnswers === 0);
      }));
  }
}

/** @returns A caller that doesn't read its answer, which is being sent. */
async function slowCaller(pipeline: Pipeline): Promise<Socket> {
  const caller = await pipeline.caller(get('/a'));
  await pipeline.running('/a');
  caller.pause();
  const answer = pipeline.head('/a', LARGE_BYTES);
  answer.push(Buffer.alloc(LARGE_BYTES));
  answer.complete();
  await until('it is being sent', () => pipeline.calls.unsentAnswers > 0);
  return caller;
}

/** @returns How many bytes come up to the connection's end. */
async function bytesTo(caller: Socket): Promise<number> {
  let bytes = 0;
  caller.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  caller.resume();
  await Promise.race([once(caller, 'end'), once(caller, 'close')]);
  return bytes;
}

test('a stop waits for an answer that its caller is still reading', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(LONG_AFTER);
    const caller = await slowCaller(pipeline);
    let idle = false;
    const whenIdle = pipeline.calls.whenIdle().then(() => {
      idle = true;
    });
    await new Promise(setImmediate);
    assert.not(idle);
    assert.ok((await bytesTo(caller)) > LARGE_BYTES);
    await whenIdle;
  }));

test('a stop does not cut off an answer that its caller is still reading', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(LONG_AFTER);
    const caller = await slowCaller(pipeline);
    pipeline.listener.stopAccepting();
    const bytes = await bytesTo(caller);
    assert.ok(bytes > LARGE_BYTES, `${bytes} bytes came`);
  }));

test('a request that crosses the close of an answer does not cut that off', () =>
  withPipeline(async (pipeline) => {
    pipeline.calls.stop(LONG_AFTER);
    const caller = await pipeline.caller(get('/a'));
    await pipeline.running('/a');
    caller.pause();
    const answer = pipeline.head('/a', BUFFERED_BYTES);
    answer.push(Buffer.alloc(BUFFERED_BYTES));
    answer.complete();
    await pipeline.calls.whenIdle();
    caller.write(get('/b'));
    const sent = get('/a').length + get('/b').length;
    await until(
      'it is there',
      () => pipeline.accepted[0]!.bytesRead === sent || pipeline.accepted[0]!.destroyed,
    );
    const bytes = await bytesTo(caller);
    assert.ok(bytes > BUFFERED_BYTES, `${bytes} bytes came`);
    assert.equal(pipeline.begun, ['/a']);
  }));

test('a large body that goes on coming does not cut off its refusal', () =>
  withPipeline(async (pipeline) => {
    const caller = await pipeline.caller(
      `POST /b HTTP/1.1\r\nHost: mesh\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`,
    );
    const seen = answersOf(caller);
    caller.write(Buffer.alloc(BUFFERED_BYTES));
    assert.equal(await seen, ['413 Payload Too Large: , close']);
  }));

test('a stop ends connections whose answers have left, and no others', () =>
  withPipeline(async (pipeline) => {
    const idle = await pipeline.caller(get('/a'));
    await pipeline.running('/a');
    pipeline.answer('/a');
    await once(idle, 'data');
    const busy = await pipeline.caller(get('/b') + get('/c'));
    await pipeline.running('/b', '/c');
    pipeline.answer('/c');
    const begun = await pipeline.caller('GET /d HTTP/1.1\r\n');
    await until('its head began', () => (pipeline.accepted[2]?.bytesRead ?? 0) > 0);
    pipeline.calls.stop(LONG_AFTER);
    pipeline.listener.stopAccepting();
    await once(idle, 'close');
    begun.write('Host: mesh\r\n\r\n');
    await pipeline.running('/d');
    pipeline.answer('/d');
    assert.equal(await answersOf(begun), ['200 OK: d, close']);
    pipeline.answer('/b');
    assert.equal(await answersOf(busy), ['200 OK: b', '200 OK: c, close']);
  }));

test.run();
