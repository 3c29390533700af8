import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WebSocketServer } from 'ws';
import ManualClock from '../../stand-in/ManualClock';
import SystemClock from '../common/SystemClock';
import type { Address, Clock, DaemonId, LogFields } from '../common/Types';
import CallChannels, { type SilentChannelBounds } from './CallChannels';
import CancelSource from './CancelSource';
import { BODY_WINDOW_BYTES } from './ChannelBody';
import ChannelSession from './ChannelSession';
import { channelOpener } from './channelUrl';
import ExchangeError from './ExchangeError';
import OWN_HEADER_NAMES from './headerNames';
import NotRunError from './NotRunError';
import StreamedAnswer from './StreamedAnswer';
import type { Answer, CancelSignal, ChannelCalls, UpstreamLoad } from './Types';
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
  const terms = { service: 'stock', route: 'lookup', priority: 0, idempotent: false, attempts: 1 };
  const context = { id, ...terms, deadline: 1e9, objective: 1e9, callerService: undefined };
  const head = { target: 1, method: 'GET', path, headers: ['accept', '*/*'], body: null };
  return { ...head, context } as unknown as OutgoingCall;
}

/** Answers calls as their tests say. */
class FakeCalls implements ChannelCalls {
  public readonly bad: string[] = [];

  public constructor(
    private readonly answer: (frame: CallFrame, cancel: CancelSignal) => Promise<Answer>,
  ) {}

  public run(frame: CallFrame, cancel: CancelSignal): Promise<Answer> {
    return this.answer(frame, cancel);
  }

  public refusalOf(_frame: CallFrame, { message }: Error) {
    const outcome = 'not-run' as const;
    return { outcome, reason: message, load: undefined, roomMs: 40, reachedUpstream: false };
  }

  public noteBadFrame(daemon: DaemonId, error: Error): void {
    this.bad.push(`${daemon}: ${error.message}`);
  }
}

function answerOf(status: number, body: string): StreamedAnswer {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  const answer = new StreamedAnswer(status, { 'x-kind': 'test' }, source);
  answer.load = LOAD;
  answer.push(Buffer.from(body));
  answer.complete();
  return answer;
}

/** Runs a daemon's side of channels while something calls it. */
async function called(
  handler: FakeCalls,
  use: (channels: CallChannels, address: Address, sockets: Socket[]) => Promise<void>,
  clock: Clock = new SystemClock(),
  bounds?: SilentChannelBounds,
): Promise<string[]> {
  const server = createServer();
  const sockets: Socket[] = [];
  const upgrades = new WebSocketServer({ server });
  upgrades.on('connection', (socket, request) => {
    sockets.push(request.socket);
    const opener = channelOpener(request.url!)!;
    const session = [socket, request.socket, opener, handler, OWN_HEADER_NAMES, clock] as const;
    void new ChannelSession(...session, () => 0);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
  const lines: string[] = [];
  const logger = { log: (message: string, _fields?: LogFields) => lines.push(message) };
  const channels = new CallChannels(OWN, CONNECT_MS, clock, logger, bounds);
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

test('many calls at once on one connection each get their own answer or refusal', async () => {
  const handler = new FakeCalls(async ({ path, headers }) => {
    const number = Number(path.slice(1));
    await new Promise((resolve) => {
      setTimeout(resolve, (number * 7) % 11);
    });
    if (number % 5 === 0) throw new NotRunError(`no room for ${number}`);
    return answerOf(200, `${path} ${headers.join()}`);
  });
  await called(handler, async (channels, address, sockets) => {
    const ends = await Promise.all(
      Array.from({ length: 40 }, async (_, number) => {
        const { reply } = channels.get(address).send(call(`/${number}`), new CancelSource());
        const end = await reply;
        if (!(end instanceof StreamedAnswer)) return `${end.outcome}: ${end.reason}`;
        assert.equal(end.load, LOAD);
        return `${end.status} ${await bodyOf(end)}`;
      }),
    );
    const expected = Array.from({ length: 40 }, (_, number) =>
      number % 5 === 0 ? `not-run: no room for ${number}` : `200 /${number} accept,*/*`,
    );
    assert.equal(ends, expected);
    assert.is(sockets.length, 1);
    assert.is(channels.get(address).openCalls, 0);
  });
});

test('a call that is given up is cancelled at the other daemon, and the connection stays', async () => {
  const cancelled: string[] = [];
  const handler = new FakeCalls(({ path }, cancel) => {
    if (path === '/kept') return Promise.resolve(answerOf(200, 'kept'));
    return new Promise((_resolve, reject) => {
      cancel.addEventListener('abort', () => {
        cancelled.push(path);
        reject(new Error('cancelled'));
      });
    });
  });
  await called(handler, async (channels, address, sockets) => {
    const leave = new CancelSource();
    const { reply } = channels.get(address).send(call('/left'), leave);
    const kept = await channels.get(address).send(call('/kept'), new CancelSource()).reply;
    assert.is(await bodyOf(kept as Answer), 'kept');
    leave.abort('left');
    const error = await reply.catch((failure: unknown) => failure);
    assert.instance(error, ExchangeError);
    assert.ok((error as ExchangeError).sent && (error as ExchangeError).aborted);
    const again = await channels.get(address).send(call('/kept'), new CancelSource()).reply;
    assert.is(await bodyOf(again as Answer), 'kept');
    assert.equal(cancelled, ['/left']);
    assert.is(sockets.length, 1);
  });
});

test('a body whose reader is slow is held back at its source, and other calls go on', async () => {
  const chunks = 200;
  let sent = 0;
  let paused: (() => void) | undefined;
  const handler = new FakeCalls(async ({ path }) => {
    if (path === '/small') return answerOf(200, 'small');
    const source = {
      paused: false,
      pause() {
        this.paused = true;
      },
      resume() {
        this.paused = false;
        paused?.();
      },
      abort() {},
    };
    const answer = new StreamedAnswer(200, {}, source);
    answer.load = LOAD;
    const goOn = () =>
      new Promise<void>((resolve) => {
        paused = resolve;
      });
    const feed = async () => {
      for (; sent < chunks; sent += 1) {
        answer.push(CHUNK);
        if (source.paused) await goOn();
      }
      answer.complete();
    };
    setImmediate(() => void feed());
    return answer;
  });
  await called(handler, async (channels, address) => {
    const { reply } = channels.get(address).send(call('/large'), new CancelSource());
    const answer = (await reply) as StreamedAnswer;
    let bytes = 0;
    let blocked = true;
    const waiting: (() => void)[] = [];
    const whole = answer.pipe({
      write: (chunk) => {
        bytes += chunk.length;
        return !blocked;
      },
      onDrain: (resume) => waiting.push(resume),
    });
    for (let turn = 0; turn < 20; turn += 1) {
      const small = await channels.get(address).send(call('/small'), new CancelSource()).reply;
      assert.is(await bodyOf(small as Answer), 'small');
    }
    const bound = BODY_WINDOW_BYTES / CHUNK.length + 1;
    assert.ok(sent <= bound, `${sent} chunks were sent to a reader that took none`);
    blocked = false;
    for (const resume of waiting) resume();
    await whole;
    assert.is(bytes, chunks * CHUNK.length);
  });
});

test('a body that breaks off, and calls on a connection that ends, fail on this side too', async () => {
  const handler = new FakeCalls(({ path }) => {
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
  await called(handler, async (channels, address, sockets) => {
    const { reply } = channels.get(address).send(call('/breaks'), new CancelSource());
    const broken = await bodyOf((await reply) as Answer).catch((error: Error) => error.message);
    assert.match(broken, 'broke off');
    const hanging = channels.get(address).send(call('/hangs'), new CancelSource());
    const other = await channels.get(address).send(call('/x'), new CancelSource()).reply;
    assert.instance(other, StreamedAnswer);
    sockets[0]!.destroy();
    const error = await hanging.reply.catch((failure: unknown) => failure);
    assert.ok(error instanceof ExchangeError && error.sent && !error.aborted);
  });
});

test('a daemon that takes no connection was never sent anything', async () => {
  const handler = new FakeCalls(() => Promise.reject(new Error('unused')));
  await called(handler, async (channels, address) => {
    const nobody = address.replace(/:\d+$/, ':9') as Address;
    const { reply, isSent } = channels.get(nobody).send(call('/x'), new CancelSource());
    const error = await reply.catch((failure: unknown) => failure);
    assert.ok(error instanceof ExchangeError && !error.sent);
    assert.is(error.code, 'ECONNREFUSED');
    assert.not.ok(isSent());
  });
});

test('a connection is closed only if it stays silent long after a ping', async () => {
  const clock = new ManualClock();
  const told: string[] = [];
  const handler = new FakeCalls(() => new Promise(() => {}));
  const lines = await called(
    handler,
    async (channels, address, sockets) => {
      const { reply, isSent } = channels
        .get(address)
        .send(call('/x'), new CancelSource(), () => told.push('silent'));
      while (!isSent() || sockets.length === 0) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      // From now on nothing that comes in is read, as if the connection were silent.
      sockets[0]!.pause();
      clock.advance(10);
      channels.ping(address);
      clock.advance(900);
      channels.leaveSilent(address);
      assert.is(channels.get(address).openCalls, 1, 'too early to tell');
      clock.advance(200);
      channels.leaveSilent(address);
      const error = await reply.catch((failure: unknown) => failure);
      assert.ok(error instanceof ExchangeError && error.sent);
    },
    clock,
    { lookMs: 1, looks: 3 },
  );
  assert.equal(told, ['silent', 'silent', 'silent']);
  assert.equal(lines, ['Leaves a silent channel.', 'Closes a silent channel.']);
});

test('a call on a connection that is only held up is answered on it, and others go elsewhere', async () => {
  const clock = new ManualClock();
  const cancelled: string[] = [];
  const answers = new Map<string, () => void>();
  const handler = new FakeCalls(
    ({ path }, cancel) =>
      new Promise((resolve) => {
        cancel.addEventListener('abort', () => cancelled.push(path));
        answers.set(path, () => resolve(answerOf(200, path)));
      }),
  );
  await called(
    handler,
    async (channels, address, sockets) => {
      const before = channels.get(address);
      const first = before
        .send(call('/first'), new CancelSource())
        .reply.catch((error: Error) => error);
      while (!answers.has('/first')) await new Promise(setImmediate);
      sockets[0]!.pause();
      clock.advance(10);
      channels.ping(address);
      clock.advance(1_100);
      channels.leaveSilent(address);
      assert.is.not(channels.get(address), before);
      const second = channels.get(address).send(call('/second'), new CancelSource());
      while (!answers.has('/second')) await new Promise(setImmediate);
      answers.get('/second')!();
      assert.is(await bodyOf((await second.reply) as Answer), '/second');
      // What was lost on the way has been sent again.
      sockets[0]!.resume();
      answers.get('/first')!();
      const end = await first;
      assert.instance(end, StreamedAnswer);
      assert.is(await bodyOf(end as Answer), '/first');
    },
    clock,
  );
  assert.equal(cancelled, []);
});

test('a call whose connection is not opened in time was never sent, also if it opens later', async () => {
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
  const { reply, isSent } = channels.get(address).send(call('/x'), new CancelSource());
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
