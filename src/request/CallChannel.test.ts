import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WebSocketServer } from 'ws';
import ManualClock from '../../stand-in/ManualClock';
import SystemClock from '../common/SystemClock';
import type { Address, Clock, DaemonId, LogFields } from '../common/Types';
import CallChannels, { type SilentChannelChecks } from './CallChannels';
import CancelController from './CancelController';
import { BODY_WINDOW_BYTES } from './ReceiveWindow';
import ChannelSession from './ChannelSession';
import { channelOpener } from './channelUrl';
import ExchangeError from './ExchangeError';
import DEFAULT_HEADER_NAMES from './defaultHeaderNames';
import NotRunError from './NotRunError';
import StreamedAnswer from './StreamedAnswer';
import type { Answer, CancelSignal, ChannelCallHandler, UpstreamLoad } from './Types';
import type { CallFrame } from './channelFrames';
import type { OutgoingCall } from './CallChannel';

const OWN = 'near' as DaemonId;
const CONNECT_MS = 5_000;
const CHUNK = Buffer.alloc(16 * 1024, 'x');
const LOAD: UpstreamLoad = {
  running: 1,
  waiting: 0,
  slots: 4,
  waitMs: 0,
  durationMs: 20,
  failureShare: 0,
  lagMs: 0,
};

function call(path: string): OutgoingCall {
  const id = { daemon: OWN, incarnation: 1, number: 1 };
  const routing = {
    service: 'stock',
    route: 'lookup',
    priority: 0,
    idempotent: false,
    attempts: 1,
  };
  const context = { id, ...routing, deadline: 1e9, objective: 1e9, callerService: undefined };
  const head = { target: 1, method: 'GET', path, headers: ['accept', '*/*'], body: null };
  return { ...head, context } as unknown as OutgoingCall;
}

/** Answers calls with a function that the test provides, and records frame errors. */
class StubChannelCalls implements ChannelCallHandler {
  public readonly frameErrors: string[] = [];

  public constructor(
    private readonly answer: (frame: CallFrame, cancel: CancelSignal) => Promise<Answer>,
  ) {}

  public run(frame: CallFrame, cancel: CancelSignal): Promise<Answer> {
    return this.answer(frame, cancel);
  }

  public refusalOf(_frame: CallFrame, { message }: Error) {
    const outcome = 'not-run' as const;
    return {
      outcome,
      reason: message,
      load: undefined,
      capacityAfterMs: 40,
      reachedUpstream: false,
    };
  }

  public reportInvalidFrame(daemon: DaemonId, error: Error): void {
    this.frameErrors.push(`${daemon}: ${error.message}`);
  }
}

function completeAnswer(status: number, body: string): StreamedAnswer {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(status, { 'x-kind': 'test' }, source);
  answer.load = LOAD;
  answer.push(Buffer.from(body));
  answer.complete();
  return answer;
}

/**
 * Runs the function `use` with channels to a server that passes their calls to the handler.
 *
 * @returns The messages that the channels logged.
 */
async function withChannels(
  handler: StubChannelCalls,
  use: (channels: CallChannels, address: Address, sockets: Socket[]) => Promise<void>,
  clock: Clock = new SystemClock(),
  silentChecks?: SilentChannelChecks,
): Promise<string[]> {
  const server = createServer();
  const sockets: Socket[] = [];
  const upgrades = new WebSocketServer({ server });
  upgrades.on('connection', (socket, request) => {
    sockets.push(request.socket);
    const opener = channelOpener(request.url!)!;
    const session = [socket, request.socket, opener, handler, DEFAULT_HEADER_NAMES, clock] as const;
    void new ChannelSession(...session, () => 0);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const lines: string[] = [];
  const logger = { log: (message: string, _fields?: LogFields) => lines.push(message) };
  const channels = new CallChannels(OWN, CONNECT_MS, clock, logger, silentChecks);
  try {
    await use(channels, address, sockets);
  } finally {
    channels.dispose();
    for (const socket of upgrades.clients) socket.terminate();
    server.close();
  }
  return lines;
}

async function bodyOf(answer: Answer): Promise<string> {
  const chunks: Buffer[] = [];
  const write = (chunk: Buffer) => {
    chunks.push(chunk);
    return true;
  };
  await answer.pipe({ write, onDrain: () => undefined });
  return Buffer.concat(chunks).toString();
}

test('concurrent calls on one connection each get their own answer or refusal', async () => {
  const handler = new StubChannelCalls(async ({ path, headers }) => {
    const number = Number(path.slice(1));
    await new Promise((resolve) => {
      setTimeout(resolve, (number * 7) % 11);
    });
    if (number % 5 === 0) throw new NotRunError(`no room for ${number}`);
    return completeAnswer(200, `${path} ${headers.join()}`);
  });
  await withChannels(handler, async (channels, address, sockets) => {
    const results = await Promise.all(
      Array.from({ length: 40 }, async (_, number) => {
        const { reply } = channels.get(address).send(call(`/${number}`), new CancelController());
        const result = await reply;
        if (!(result instanceof StreamedAnswer)) return `${result.outcome}: ${result.reason}`;
        assert.equal(result.load, LOAD);
        return `${result.status} ${await bodyOf(result)}`;
      }),
    );
    const expected = Array.from({ length: 40 }, (_, number) =>
      number % 5 === 0 ? `not-run: no room for ${number}` : `200 /${number} accept,*/*`,
    );
    assert.equal(results, expected);
    assert.is(sockets.length, 1);
    assert.is(channels.get(address).openCalls, 0);
  });
});

test('an aborted call is cancelled at the other daemon, and the connection stays open', async () => {
  const cancelled: string[] = [];
  const handler = new StubChannelCalls(({ path }, cancel) => {
    if (path === '/other') return Promise.resolve(completeAnswer(200, 'other'));
    return new Promise((_resolve, reject) => {
      cancel.addEventListener('abort', () => {
        cancelled.push(path);
        reject(new Error('cancelled'));
      });
    });
  });
  await withChannels(handler, async (channels, address, sockets) => {
    const cancel = new CancelController();
    const { reply } = channels.get(address).send(call('/aborted'), cancel);
    const other = await channels.get(address).send(call('/other'), new CancelController()).reply;
    assert.is(await bodyOf(other as Answer), 'other');
    cancel.abort('aborted');
    const error = await reply.catch((failure: unknown) => failure);
    assert.instance(error, ExchangeError);
    assert.ok((error as ExchangeError).sent && (error as ExchangeError).aborted);
    const third = await channels.get(address).send(call('/other'), new CancelController()).reply;
    assert.is(await bodyOf(third as Answer), 'other');
    assert.equal(cancelled, ['/aborted']);
    assert.is(sockets.length, 1);
  });
});

// Guards against frames between the fragments of another one, and a cancel that overtakes its call.
test('calls and cancels that are sent during a call of many fragments follow it', async () => {
  const events: string[] = [];
  const body = Buffer.from(Array.from({ length: 3_000_000 }, (_, index) => index % 251));
  const handler = new StubChannelCalls((frame, cancel) => {
    const isWhole = frame.body === null || frame.body.equals(body);
    events.push(`${frame.path}: ${frame.body?.length ?? 'no'} bytes, ${isWhole}`);
    if (frame.path !== '/cancelled') return Promise.resolve(completeAnswer(200, frame.path));
    return new Promise((_resolve, reject) => {
      cancel.addEventListener('abort', () => {
        events.push('cancelled');
        reject(new Error('cancelled'));
      });
    });
  });
  await withChannels(handler, async (channels, address, sockets) => {
    const send = (path: string, largeBody: Buffer | null, cancel = new CancelController()) =>
      channels.get(address).send({ ...call(path), body: largeBody }, cancel).reply;
    const answerOf = async (reply: ReturnType<typeof send>) => bodyOf((await reply) as Answer);
    assert.is(await answerOf(send('/first', null)), '/first');
    const cancel = new CancelController();
    const cancelled = send('/cancelled', body, cancel);
    const unsent = new CancelController();
    const replies = [send('/second', null), send('/third', body), send('/fourth', null)];
    const neverSent = send('/unsent', null, unsent);
    cancel.abort('aborted');
    unsent.abort('aborted');
    const errors = await Promise.all(
      [cancelled, neverSent].map((reply) => reply.catch((error: ExchangeError) => error.sent)),
    );
    assert.equal(errors, [true, false]);
    assert.equal(await Promise.all(replies.map(answerOf)), ['/second', '/third', '/fourth']);
    assert.is(sockets.length, 1);
  });
  assert.snapshot(
    events.join('\n'),
    `/first: no bytes, true
/cancelled: 3000000 bytes, true
/second: no bytes, true
/third: 3000000 bytes, true
/fourth: no bytes, true
cancelled`,
  );
});

test('a slow reader pauses the source of its body without delaying other calls', async () => {
  const chunks = 200;
  let sent = 0;
  let resumeFeed: (() => void) | undefined;
  const handler = new StubChannelCalls(async ({ path }) => {
    if (path === '/small') return completeAnswer(200, 'small');
    const source = {
      paused: false,
      pause() {
        this.paused = true;
      },
      resume() {
        this.paused = false;
        resumeFeed?.();
      },
      abort() {},
    };
    const answer = new StreamedAnswer(200, {}, source);
    answer.load = LOAD;
    const whenResumed = () =>
      new Promise<void>((resolve) => {
        resumeFeed = resolve;
      });
    const feed = async () => {
      for (; sent < chunks; sent += 1) {
        answer.push(CHUNK);
        if (source.paused) await whenResumed();
      }
      answer.complete();
    };
    setImmediate(() => void feed());
    return answer;
  });
  await withChannels(handler, async (channels, address) => {
    const { reply } = channels.get(address).send(call('/large'), new CancelController());
    const answer = (await reply) as StreamedAnswer;
    let bytes = 0;
    let blocked = true;
    const drainListeners: (() => void)[] = [];
    const piped = answer.pipe({
      write: (chunk) => {
        bytes += chunk.length;
        return !blocked;
      },
      onDrain: (resume) => drainListeners.push(resume),
    });
    for (let turn = 0; turn < 20; turn += 1) {
      const small = await channels.get(address).send(call('/small'), new CancelController()).reply;
      assert.is(await bodyOf(small as Answer), 'small');
    }
    const maxChunks = BODY_WINDOW_BYTES / CHUNK.length + 1;
    assert.ok(sent <= maxChunks, `${sent} chunks were sent to a paused reader`);
    blocked = false;
    for (const resume of drainListeners) resume();
    await piped;
    assert.is(bytes, chunks * CHUNK.length);
  });
});

test('a truncated body and a closed connection make the calls fail at the sender', async () => {
  const handler = new StubChannelCalls(({ path }) => {
    if (path === '/hangs') return new Promise(() => {});
    const source = { paused: false, pause() {}, resume() {}, abort() {} };
    const answer = new StreamedAnswer(200, {}, source);
    answer.load = LOAD;
    setImmediate(() => {
      answer.push(CHUNK);
      answer.fail('the upstream reset the connection');
    });
    return Promise.resolve(answer);
  });
  await withChannels(handler, async (channels, address, sockets) => {
    const { reply } = channels.get(address).send(call('/breaks'), new CancelController());
    const broken = await bodyOf((await reply) as Answer).catch((error: Error) => error.message);
    assert.match(broken, 'broke off');
    const hanging = channels.get(address).send(call('/hangs'), new CancelController());
    const other = await channels.get(address).send(call('/x'), new CancelController()).reply;
    assert.instance(other, StreamedAnswer);
    sockets[0]!.destroy();
    const error = await hanging.reply.catch((failure: unknown) => failure);
    assert.ok(error instanceof ExchangeError && error.sent && !error.aborted);
  });
});

test('a call to a daemon that refuses connections fails as not sent', async () => {
  const handler = new StubChannelCalls(() => Promise.reject(new Error('unused')));
  await withChannels(handler, async (channels, address) => {
    const closedAddress = address.replace(/:\d+$/, ':9') as Address;
    const { reply, isSent } = channels.get(closedAddress).send(call('/x'), new CancelController());
    const error = await reply.catch((failure: unknown) => failure);
    assert.ok(error instanceof ExchangeError && !error.sent);
    assert.is(error.code, 'ECONNREFUSED');
    assert.not.ok(isSent());
  });
});

test('a channel is closed only if it stays silent for long after a ping', async () => {
  const clock = new ManualClock();
  const notifications: string[] = [];
  const handler = new StubChannelCalls(() => new Promise(() => {}));
  const lines = await withChannels(
    handler,
    async (channels, address, sockets) => {
      const { reply, isSent } = channels
        .get(address)
        .send(call('/x'), new CancelController(), () => notifications.push('silent'));
      while (!isSent() || sockets.length === 0) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      // The server reads nothing from now on, so it sends no pong and the connection is silent.
      sockets[0]!.pause();
      clock.advance(10);
      channels.ping(address);
      clock.advance(900);
      channels.retireIfSilent(address);
      assert.is(channels.get(address).openCalls, 1, 'the channel is replaced too early');
      clock.advance(200);
      channels.retireIfSilent(address);
      const error = await reply.catch((failure: unknown) => failure);
      assert.ok(error instanceof ExchangeError && error.sent);
    },
    clock,
    { intervalMs: 1, maxChecks: 3 },
  );
  assert.equal(notifications, ['silent', 'silent', 'silent']);
  assert.equal(lines, ['Leaves a silent channel.', 'Closes a silent channel.']);
});

test('a call on a delayed connection is answered there, while new calls use another one', async () => {
  const clock = new ManualClock();
  const cancelled: string[] = [];
  const answers = new Map<string, () => void>();
  const handler = new StubChannelCalls(
    ({ path }, cancel) =>
      new Promise((resolve) => {
        cancel.addEventListener('abort', () => cancelled.push(path));
        answers.set(path, () => resolve(completeAnswer(200, path)));
      }),
  );
  await withChannels(
    handler,
    async (channels, address, sockets) => {
      const delayed = channels.get(address);
      const first = delayed
        .send(call('/first'), new CancelController())
        .reply.catch((error: Error) => error);
      while (!answers.has('/first')) await new Promise(setImmediate);
      sockets[0]!.pause();
      clock.advance(10);
      channels.ping(address);
      clock.advance(1_100);
      channels.retireIfSilent(address);
      assert.is.not(channels.get(address), delayed);
      const second = channels.get(address).send(call('/second'), new CancelController());
      while (!answers.has('/second')) await new Promise(setImmediate);
      answers.get('/second')!();
      assert.is(await bodyOf((await second.reply) as Answer), '/second');
      // The connection recovers, as after a retransmission.
      sockets[0]!.resume();
      answers.get('/first')!();
      const result = await first;
      assert.instance(result, StreamedAnswer);
      assert.is(await bodyOf(result as Answer), '/first');
    },
    clock,
  );
  assert.equal(cancelled, []);
});

test('a call whose connection times out is never sent, even if the connection opens later', async () => {
  const server = createServer();
  const upgrades = new WebSocketServer({ noServer: true });
  const received: string[] = [];
  upgrades.on('connection', (socket) => socket.on('message', () => received.push('a frame')));
  let open: () => void = () => undefined;
  server.on('upgrade', (request, socket, head) => {
    open = () =>
      upgrades.handleUpgrade(request, socket, head, (opened) =>
        upgrades.emit('connection', opened),
      );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const channels = new CallChannels(OWN, 50, new SystemClock(), { log: () => undefined });
  const { reply, isSent } = channels.get(address).send(call('/x'), new CancelController());
  const error = await reply.catch((failure: unknown) => failure);
  assert.ok(error instanceof ExchangeError && !error.sent && !error.aborted);
  open();
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
  assert.equal(received, []);
  assert.not.ok(isSent());
  channels.dispose();
  server.closeAllConnections();
  server.close();
});

test.run();
