import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from './AttemptRegistry';
import CancelController from './CancelController';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import LocalUpstream from './LocalUpstream';
import type { Answer, AttemptContext, CallRequest } from './Types';
import UpstreamConnections from './UpstreamConnections';
import UpstreamRuns from './UpstreamRuns';

/** Time in milliseconds after which an expected event counts as missing. */
const TEST_TIMEOUT_MS = 3_000;
/** Deadline in milliseconds of a call whose faulty response must be detected long before it. */
const LONG_DEADLINE_MS = 60_000;
/** Deadline in milliseconds of a call that must be ended by its deadline. */
const SHORT_DEADLINE_MS = 200;
const BLOCK_BYTES = 32 * 1024;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\n';
const REFUSED = `HTTP/1.1 503 Full\r\n${DEFAULT_HEADER_NAMES.notExecuted}: 1\r\n`;
const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Faulty response of an upstream: a beginning, then the same bytes over and over. */
interface Fault {
  readonly head?: string;
  readonly endless: string;
  /** Pause between two repetitions, in milliseconds; without it, bytes are sent as fast as possible. */
  readonly pauseMs?: number;
  /** Deadline of the call in milliseconds; a long one by default. */
  readonly allowedMs?: number;
  /** Behaviour of the caller: by default it reads the body, `waits` stops reading, `leaves` cancels. */
  readonly caller?: 'waits' | 'leaves';
  /** Number of blocks of repeated bytes, if the response does end. */
  readonly maxBlocks?: number;
  /** Bytes sent after the last block of repeated bytes. */
  readonly ending?: string;
}

function send(socket: Socket, fault: Fault): void {
  const { head = '', endless, pauseMs, maxBlocks = Infinity, ending = '' } = fault;
  let blocksLeft = maxBlocks;
  const repeats = pauseMs ? 1 : Math.ceil(BLOCK_BYTES / endless.length);
  const block = Buffer.from(endless.repeat(repeats));
  const sendNext = () => {
    if (socket.destroyed) return;
    if (blocksLeft === 0) {
      socket.write(ending);
      return;
    }
    blocksLeft -= 1;
    const writable = socket.write(block);
    if (pauseMs) setTimeout(sendNext, pauseMs);
    else if (writable) setImmediate(sendNext);
    else socket.once('drain', sendNext);
  };
  socket.write(head);
  sendNext();
}

/** An upstream that sends the faulty response to the first call and answers all others. */
class FaultyServer {
  public calls = 0;

  /** Resolves when the connection with the faulty response is closed. */
  public readonly closed: Promise<string>;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((socket) => this.serve(socket));

  private resolveClosed: ((closed: string) => void) | undefined;

  public constructor(private readonly fault: Fault) {
    this.closed = new Promise((resolve) => {
      this.resolveClosed = resolve;
    });
  }

  public async listen(): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}` as Address;
  }

  public close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      this.calls += 1;
      if (this.calls > 1) socket.write(WHOLE);
      else {
        socket.on('close', () => this.resolveClosed?.('closed'));
        send(socket, this.fault);
      }
    });
  }
}

const REQUEST: CallRequest = {
  method: 'GET',
  path: '/',
  requestId: undefined,
  headers: ['host', 'x'],
  body: null,
};

function createContext(number: number, allowedMs: number): AttemptContext {
  const deadline = new SystemClock().now() + allowedMs;
  const id = { daemon: 'near', incarnation: 1, number };
  const common = { service: 'stock', route: 'lookup', priority: 0, idempotent: true, attempts: 1 };
  const times = { deadline, objective: deadline, callerService: undefined };
  return { id, ...common, ...times } as unknown as AttemptContext;
}

/** Reads a body with backpressure, as a caller that reads it in small parts. */
async function readBody(answer: Answer, caller: Fault['caller']): Promise<string> {
  let bytes = 0;
  let unread = 0;
  const write = (chunk: Buffer) => {
    bytes += chunk.length;
    unread += chunk.length;
    return unread < BLOCK_BYTES;
  };
  const onDrain = (resume: () => void) => {
    if (caller === 'waits') return;
    setImmediate(() => {
      unread = 0;
      resume();
    });
  };
  if (caller === 'leaves') setImmediate(() => answer.dispose());
  return answer.pipe({ write, onDrain }).then(
    () => `whole ${bytes}`,
    () => 'broken',
  );
}

function within<T>(promise: Promise<T>, fallback: T): Promise<T> {
  return Promise.race([promise, delay(TEST_TIMEOUT_MS, fallback)]);
}

async function call(
  upstream: LocalUpstream,
  number: number,
  allowedMs: number,
  caller?: Fault['caller'],
): Promise<string> {
  const cancel = new CancelController();
  const timer = setTimeout(() => cancel.abort('the deadline passed'), allowedMs);
  try {
    const answer = await upstream.run(REQUEST, createContext(number, allowedMs), cancel);
    clearTimeout(timer);
    return `${answer.status} ${await readBody(answer, caller)}`;
  } catch (error) {
    return (error as Error).name;
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Sends a call that gets a faulty response, then a second one.
 *
 * @returns Result of the call, state of its connection and slot, and result of the second call.
 */
async function runFault(fault: Fault): Promise<string> {
  const server = new FaultyServer(fault);
  const address = await server.listen();
  const clock = new SystemClock();
  let unreachable = '';
  const options = {
    connections: 4,
    connectMs: TEST_TIMEOUT_MS,
    keepAliveMs: LONG_DEADLINE_MS,
    idHeader: DEFAULT_HEADER_NAMES.requestId,
  };
  const upstream = new LocalUpstream({ slots: 1, queue: 1, warmUpMs: 0 }, address, {
    connect: () => new UpstreamConnections(address, options),
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    runs: new UpstreamRuns(clock),
    names: DEFAULT_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs: () => 0,
    clock,
    logger: { log: () => undefined },
    onUnreachable: () => {
      unreachable = ', reported unreachable';
    },
  });
  try {
    const first = await within(
      call(upstream, 1, fault.allowedMs ?? LONG_DEADLINE_MS, fault.caller),
      'held',
    );
    const closed = await within(server.closed, 'left open');
    const slots = upstream.counts.running === 0 ? 'slot free' : 'slot held';
    const next = await within(call(upstream, 2, LONG_DEADLINE_MS), 'held');
    return `${first}, ${closed}, ${slots}, next ${next}${unreachable}`;
  } finally {
    upstream.dispose();
    server.close();
  }
}

async function runFaults(faults: Readonly<Record<string, Fault>>): Promise<string> {
  const rows = Object.entries(faults).map(
    async ([name, fault]) => `${name}: ${await runFault(fault)}`,
  );
  return (await Promise.all(rows)).join('\n');
}

const slow = { pauseMs: 5, allowedMs: SHORT_DEADLINE_MS };

test('an endless response head is detected by its size, or ends at the deadline of its call', async () => {
  const rows = await runFaults({
    'not HTTP': { endless: 'garbage ' },
    'blank lines': { endless: '\r\n' },
    'a reason phrase': { head: 'HTTP/1.1 200 ', endless: 'O' },
    'one header': { head: 'HTTP/1.1 200 OK\r\nx: ', endless: 'x' },
    'a header of spaces': { head: 'HTTP/1.1 200 OK\r\nx: ', endless: ' ' },
    headers: { head: 'HTTP/1.1 200 OK\r\n', endless: 'x: y\r\n' },
    'interim responses': { endless: 'HTTP/1.1 102 Processing\r\n\r\n' },
    'slow headers': { head: 'HTTP/1.1 200 OK\r\n', endless: 'x: y\r\n', ...slow },
    'slow blank lines': { endless: '\r\n', ...slow },
    'slow interim responses': { endless: 'HTTP/1.1 102 Processing\r\n\r\n', ...slow },
  });
  const ended = 'UnknownOutcomeError, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `not HTTP: ${ended}
blank lines: ${ended}
a reason phrase: ${ended}
one header: ${ended}
a header of spaces: ${ended}
headers: ${ended}
interim responses: ${ended}
slow headers: ${ended}
slow blank lines: ${ended}
slow interim responses: ${ended}`,
  );
});

test('endless bytes after a complete response close its connection', async () => {
  const rows = await runFaults({
    garbage: { head: WHOLE, endless: 'garbage ' },
    'blank lines': { head: WHOLE, endless: '\r\n' },
    responses: { head: WHOLE, endless: WHOLE },
  });
  const ended = '200 whole 2, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `garbage: ${ended}
blank lines: ${ended}
responses: ${ended}`,
  );
});

test('a refusal with an endless body counts as a refusal, and its connection is closed', async () => {
  const rows = await runFaults({
    'no length': { head: `${REFUSED}\r\n`, endless: 'x' },
    chunks: { head: `${REFUSED}transfer-encoding: chunked\r\n\r\n`, endless: '1\r\nx\r\n' },
    'a length': { head: `${REFUSED}content-length: 99999999999\r\n\r\n`, endless: 'x' },
    slow: { head: `${REFUSED}\r\n`, endless: 'x', pauseMs: 5 },
  });
  const ended = 'NotRunError, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `no length: ${ended}
chunks: ${ended}
a length: ${ended}
slow: ${ended}`,
  );
});

test('an endless body is aborted soon after the deadline of its call', async () => {
  const rows = await runFaults({
    'no length': { head: NO_LENGTH, endless: 'x', allowedMs: SHORT_DEADLINE_MS },
    chunks: { head: CHUNKED, endless: '1\r\nx\r\n', allowedMs: SHORT_DEADLINE_MS },
    'slow, no length': { head: NO_LENGTH, endless: 'x', ...slow },
    'slow chunks': { head: CHUNKED, endless: '1\r\nx\r\n', ...slow },
    'slow trailers': { head: `${CHUNKED}0\r\n`, endless: 'x: y\r\n', ...slow },
    'a caller that reads nothing': {
      head: NO_LENGTH,
      endless: 'x',
      allowedMs: SHORT_DEADLINE_MS,
      caller: 'waits',
    },
    'a caller that leaves': { head: CHUNKED, endless: '1\r\nx\r\n', caller: 'leaves' },
  });
  const ended = '200 broken, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `no length: ${ended}
chunks: ${ended}
slow, no length: ${ended}
slow chunks: ${ended}
slow trailers: ${ended}
a caller that reads nothing: ${ended}
a caller that leaves: ${ended}`,
  );
});

test('a body with a declared length is received whole even after the deadline of its call', async () => {
  const part = 'x'.repeat(BLOCK_BYTES);
  const bytes = 60 * part.length;
  const head = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${bytes}\r\n\r\n`;
  const rows = await runFaults({ late: { head, endless: part, maxBlocks: 60, ...slow } });
  assert.snapshot(rows, 'late: 200 whole 1966080, closed, slot free, next 200 whole 2');
});

test('an endless chunk extension or trailer truncates the response', async () => {
  const rows = await runFaults({
    'a chunk extension': { head: `${CHUNKED}1;`, endless: 'x' },
    trailers: { head: `${CHUNKED}0\r\n`, endless: 'x: y\r\n' },
    'a trailer of spaces': { head: `${CHUNKED}0\r\nx:`, endless: ' ' },
  });
  const ended = '200 broken, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `a chunk extension: ${ended}
trailers: ${ended}
a trailer of spaces: ${ended}`,
  );
});

test('a large body is received whole, even in small chunks by a slow reader', async () => {
  const close = 'connection: close\r\n\r\n';
  const bytes = 100 * BLOCK_BYTES;
  const rows = await runFaults({
    'a length': {
      head: `HTTP/1.1 200 OK\r\ncontent-length: ${bytes}\r\n${close}`,
      endless: 'x',
      maxBlocks: 100,
    },
    'small chunks': {
      head: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${close}`,
      endless: '1\r\nx\r\n',
      maxBlocks: 20,
      ending: '0\r\n\r\n',
    },
  });
  const ended = 'closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `a length: 200 whole 3276800, ${ended}
small chunks: 200 whole 109240, ${ended}`,
  );
});

test.run();
