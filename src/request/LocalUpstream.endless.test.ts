import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from './AttemptRegistry';
import CancelSource from './CancelSource';
import OWN_HEADER_NAMES from './headerNames';
import LocalUpstream from './LocalUpstream';
import type { Answer, AttemptContext, CallRequest } from './Types';
import UpstreamConnections from './UpstreamConnections';

/** How long something that must come at some time is awaited. */
const PATIENCE_MS = 3_000;
/** Time of a call whose garbage must be recognised long before. */
const AMPLE_MS = 60_000;
/** Time of a call that runs out. */
const SHORT_MS = 200;
const PIECE_BYTES = 32 * 1024;
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\n';
const REFUSED = `HTTP/1.1 503 Full\r\n${OWN_HEADER_NAMES.notExecuted}: 1\r\n`;
const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** What an upstream sends in place of an answer: a beginning, then the same again and again. */
interface Fault {
  readonly head?: string;
  readonly endless: string;
  /** Pauses between two pieces, in milliseconds; without it they come as fast as they are read. */
  readonly pauseMs?: number;
  readonly allowedMs?: number;
  /** What the caller does with the body; by default it reads. */
  readonly caller?: 'waits' | 'leaves';
  /** Pieces after which it does end. */
  readonly pieces?: number;
  /** What follows them. */
  readonly last?: string;
}

function send(socket: Socket, fault: Fault): void {
  const { head = '', endless, pauseMs, pieces = Infinity, last = '' } = fault;
  let left = pieces;
  const repeats = pauseMs ? 1 : Math.ceil(PIECE_BYTES / endless.length);
  const piece = Buffer.from(endless.repeat(repeats));
  const goOn = () => {
    if (socket.destroyed) return;
    if (left === 0) {
      socket.write(last);
      return;
    }
    left -= 1;
    const room = socket.write(piece);
    if (pauseMs) setTimeout(goOn, pauseMs);
    else if (room) setImmediate(goOn);
    else socket.once('drain', goOn);
  };
  socket.write(head);
  goOn();
}

/** An upstream whose first call meets the fault; all others are answered. */
class FaultyServer {
  public calls = 0;

  /** Resolves once the connection with the fault is closed by the other side. */
  public readonly closed: Promise<string>;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((socket) => this.serve(socket));

  private noteClosed: ((closed: string) => void) | undefined;

  public constructor(private readonly fault: Fault) {
    this.closed = new Promise((resolve) => {
      this.noteClosed = resolve;
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
        socket.on('close', () => this.noteClosed?.('closed'));
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

function contextOf(number: number, allowedMs: number): AttemptContext {
  const deadline = new SystemClock().now() + allowedMs;
  const id = { daemon: 'near', incarnation: 1, number };
  const terms = { service: 'stock', route: 'lookup', priority: 0, idempotent: true, attempts: 1 };
  const times = { deadline, objective: deadline, callerService: undefined };
  return { id, ...terms, ...times } as unknown as AttemptContext;
}

/** Takes a body as a caller does that reads a little at a time. */
async function bodyOf(answer: Answer, caller: Fault['caller']): Promise<string> {
  let bytes = 0;
  let unread = 0;
  const write = (chunk: Buffer) => {
    bytes += chunk.length;
    unread += chunk.length;
    return unread < PIECE_BYTES;
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

function within<T>(what: Promise<T>, otherwise: T): Promise<T> {
  return Promise.race([what, delay(PATIENCE_MS, otherwise)]);
}

async function call(
  upstream: LocalUpstream,
  number: number,
  allowedMs: number,
  caller?: Fault['caller'],
): Promise<string> {
  const cancel = new CancelSource();
  const timer = setTimeout(() => cancel.abort('the deadline passed'), allowedMs);
  try {
    const answer = await upstream.run(REQUEST, contextOf(number, allowedMs), cancel);
    clearTimeout(timer);
    return `${answer.status} ${await bodyOf(answer, caller)}`;
  } catch (error) {
    return (error as Error).name;
  } finally {
    clearTimeout(timer);
  }
}

/** What the caller of a faulty answer gets, and what is left behind. */
async function meet(fault: Fault): Promise<string> {
  const server = new FaultyServer(fault);
  const address = await server.listen();
  const clock = new SystemClock();
  let unreachable = '';
  const bounds = { connections: 4, connectMs: PATIENCE_MS, keepAliveMs: AMPLE_MS };
  const upstream = new LocalUpstream({ slots: 1, queue: 1, warmUpMs: 0 }, address, {
    connect: () => new UpstreamConnections(address, bounds),
    registry: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    names: OWN_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs: () => 0,
    clock,
    logger: { log: () => undefined },
    onUnreachable: () => {
      unreachable = ', thought unreachable';
    },
  });
  try {
    const first = await within(
      call(upstream, 1, fault.allowedMs ?? AMPLE_MS, fault.caller),
      'held',
    );
    const closed = await within(server.closed, 'left open');
    const slots = upstream.counts.running === 0 ? 'slot free' : 'slot held';
    const next = await within(call(upstream, 2, AMPLE_MS), 'held');
    return `${first}, ${closed}, ${slots}, next ${next}${unreachable}`;
  } finally {
    upstream.dispose();
    server.close();
  }
}

async function meetAll(faults: Readonly<Record<string, Fault>>): Promise<string> {
  const rows = Object.entries(faults).map(async ([name, fault]) => `${name}: ${await meet(fault)}`);
  return (await Promise.all(rows)).join('\n');
}

const slow = { pauseMs: 5, allowedMs: SHORT_MS };

test('a head without end is recognised by its size, or ends with the time of its call', async () => {
  const rows = await meetAll({
    'no HTTP': { endless: 'garbage ' },
    'blank lines': { endless: '\r\n' },
    'a reason': { head: 'HTTP/1.1 200 ', endless: 'O' },
    'one header': { head: 'HTTP/1.1 200 OK\r\nx: ', endless: 'x' },
    'a header of blanks': { head: 'HTTP/1.1 200 OK\r\nx: ', endless: ' ' },
    headers: { head: 'HTTP/1.1 200 OK\r\n', endless: 'x: y\r\n' },
    'interim answers': { endless: 'HTTP/1.1 102 Processing\r\n\r\n' },
    'slow headers': { head: 'HTTP/1.1 200 OK\r\n', endless: 'x: y\r\n', ...slow },
    'slow blank lines': { endless: '\r\n', ...slow },
    'slow interim answers': { endless: 'HTTP/1.1 102 Processing\r\n\r\n', ...slow },
  });
  const ended = 'UnknownOutcomeError, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `no HTTP: ${ended}
blank lines: ${ended}
a reason: ${ended}
one header: ${ended}
a header of blanks: ${ended}
headers: ${ended}
interim answers: ${ended}
slow headers: ${ended}
slow blank lines: ${ended}
slow interim answers: ${ended}`,
  );
});

test('bytes without end behind a whole answer close its connection', async () => {
  const rows = await meetAll({
    garbage: { head: WHOLE, endless: 'garbage ' },
    'blank lines': { head: WHOLE, endless: '\r\n' },
    answers: { head: WHOLE, endless: WHOLE },
  });
  const ended = '200 whole 2, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `garbage: ${ended}
blank lines: ${ended}
answers: ${ended}`,
  );
});

test('a refusal whose body has no end is a refusal, and its connection is closed', async () => {
  const rows = await meetAll({
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

test('a body without end is broken off soon after the time of its call', async () => {
  const rows = await meetAll({
    'no length': { head: UNFRAMED, endless: 'x', allowedMs: SHORT_MS },
    chunks: { head: CHUNKED, endless: '1\r\nx\r\n', allowedMs: SHORT_MS },
    'slow, no length': { head: UNFRAMED, endless: 'x', ...slow },
    'slow chunks': { head: CHUNKED, endless: '1\r\nx\r\n', ...slow },
    'slow trailers': { head: `${CHUNKED}0\r\n`, endless: 'x: y\r\n', ...slow },
    'a caller that reads nothing': {
      head: UNFRAMED,
      endless: 'x',
      allowedMs: SHORT_MS,
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

test('a body of a declared length comes whole also after the time of its call', async () => {
  const part = 'x'.repeat(PIECE_BYTES);
  const bytes = 60 * part.length;
  const head = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${bytes}\r\n\r\n`;
  const rows = await meetAll({ late: { head, endless: part, pieces: 60, ...slow } });
  assert.snapshot(rows, 'late: 200 whole 1966080, closed, slot free, next 200 whole 2');
});

test('a chunk or a trailer without end breaks its answer off', async () => {
  const rows = await meetAll({
    'a chunk extension': { head: `${CHUNKED}1;`, endless: 'x' },
    trailers: { head: `${CHUNKED}0\r\n`, endless: 'x: y\r\n' },
    'a trailer of blanks': { head: `${CHUNKED}0\r\nx:`, endless: ' ' },
  });
  const ended = '200 broken, closed, slot free, next 200 whole 2';
  assert.snapshot(
    rows,
    `a chunk extension: ${ended}
trailers: ${ended}
a trailer of blanks: ${ended}`,
  );
});

test('a large body comes whole, also in small parts to a slow reader', async () => {
  const close = 'connection: close\r\n\r\n';
  const bytes = 100 * PIECE_BYTES;
  const rows = await meetAll({
    'a length': {
      head: `HTTP/1.1 200 OK\r\ncontent-length: ${bytes}\r\n${close}`,
      endless: 'x',
      pieces: 100,
    },
    'small chunks': {
      head: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${close}`,
      endless: '1\r\nx\r\n',
      pieces: 20,
      last: '0\r\n\r\n',
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
