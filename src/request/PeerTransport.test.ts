import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type CallChannels from './CallChannels';
import CALLER_LEFT from './callerLeft';
import CancelController from './CancelController';
import ExchangeError from './ExchangeError';
import PeerTransport, { type FenceResult } from './PeerTransport';
import StreamedAnswer from './StreamedAnswer';
import type { AttemptContext, CallRequest, PeerWatcher, Upstream } from './Types';

const UPSTREAM = { address: '10.0.0.2:7000', incarnation: 1 } as unknown as Upstream;
const SOURCE = { paused: false, pause: () => {}, resume: () => {}, abort: () => {} };
const REQUEST = { method: 'POST', path: '/', headers: [], body: null } as unknown as CallRequest;

/** Sends a call whose channel fails in a given way, and returns the actions taken and the error. */
async function callOnFailingChannel(
  idempotent: boolean,
  failure: ExchangeError | 'cancelled',
  { waitMs = 0, receivedAt = 0 } = {},
): Promise<string> {
  const events: string[] = [];
  const clock = new ManualClock();
  clock.advance(1_000);
  const cancel = new CancelController();
  const channels = {
    get: () => ({
      lastReceivedAt: receivedAt,
      send: () => ({
        reply: new Promise((_resolve, reject) => {
          if (failure !== 'cancelled') reject(failure);
          cancel.addEventListener('abort', () => reject(new ExchangeError('aborted', true, true)));
        }),
        isSent: () => true,
        abort: () => undefined,
      }),
    }),
    retire: () => events.push('replaces the channel'),
  } as unknown as CallChannels;
  const fence = async () => {
    events.push('fences the attempt');
    return 'forbidden' as const;
  };
  const liveness = {
    isUnresponsive: () => false,
    reportResponse: () => undefined,
    reportConnectionRefused: () => events.push('reports the daemon as refusing'),
    reportNoRoute: () => events.push('reports the daemon as unconnected'),
    watch: () => ({ dispose: () => undefined }),
  };
  const transport = new PeerTransport(channels, fence, liveness, 60_000, clock);
  const context = { idempotent, deadline: 1_000 } as AttemptContext;
  const answer = transport.send(UPSTREAM, REQUEST, context, cancel);
  clock.advance(waitMs);
  if (failure === 'cancelled') cancel.abort('its time has passed');
  const error = await answer.catch((thrown: Error) => thrown);
  events.push((error as Error).name);
  return events.join(', ');
}

test('a failed call is fenced, and its channel or daemon is suspected, depending on the failure', async () => {
  const rows = [
    `aborted: ${await callOnFailingChannel(true, 'cancelled')}`,
    `aborted, not idempotent: ${await callOnFailingChannel(false, 'cancelled')}`,
    `aborted after silence: ${await callOnFailingChannel(true, 'cancelled', { waitMs: 900, receivedAt: 500 })}`,
    `aborted, channel not silent: ${await callOnFailingChannel(true, 'cancelled', { waitMs: 900, receivedAt: 1_400 })}`,
    `the channel closed: ${await callOnFailingChannel(true, new ExchangeError('ended', true))}`,
    `the channel closed, not idempotent: ${await callOnFailingChannel(false, new ExchangeError('ended', true))}`,
    `refused: ${await callOnFailingChannel(false, new ExchangeError('no', false, false, 'ECONNREFUSED'))}`,
    `no route: ${await callOnFailingChannel(false, new ExchangeError('no', false, false, 'EHOSTUNREACH'))}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `aborted: UnknownOutcomeError
aborted, not idempotent: UnknownOutcomeError
aborted after silence: replaces the channel, UnknownOutcomeError
aborted, channel not silent: UnknownOutcomeError
the channel closed: UnknownOutcomeError
the channel closed, not idempotent: fences the attempt, NotRunError
refused: reports the daemon as refusing, NotRunError
no route: reports the daemon as unconnected, NotRunError`,
  );
});

// Guards against a caller that waits without end for a body whose daemon was lost while it sent it.
test('a body from a daemon that falls silent is ended soon after the deadline of its call', async () => {
  const answers = [
    new StreamedAnswer(200, { 'content-length': '10' }, SOURCE),
    new StreamedAnswer(200, {}, SOURCE),
  ];
  const retired: string[] = [];
  for (const answer of answers) {
    const channels = {
      get: () => ({
        lastReceivedAt: 0,
        send: () => ({ reply: Promise.resolve(answer), isSent: () => true }),
      }),
      retire: () => retired.push('replaces the channel'),
    } as unknown as CallChannels;
    const liveness = {
      isUnresponsive: () => false,
      reportResponse: () => undefined,
      reportConnectionRefused: () => undefined,
      reportNoRoute: () => undefined,
      watch: () => ({ dispose: () => undefined }),
    };
    const transport = new PeerTransport(channels, async () => 'running', liveness, 60_000, {
      now: () => 1_000,
    });
    const context = { idempotent: true, deadline: 1_010 } as AttemptContext;
    await transport.send(UPSTREAM, REQUEST, context, new CancelController());
    answer.push(Buffer.from('head'));
  }
  // Nothing else keeps the process of the test alive.
  const alive = setInterval(() => undefined, 1_000);
  await Promise.all(
    answers.map((answer) =>
      answer.pipe({ write: () => true, onDrain: () => undefined }).catch(() => 0),
    ),
  );
  clearInterval(alive);
  assert.equal(
    answers.map(({ isBroken }) => isBroken),
    [true, true],
  );
  assert.is(retired.length, 2);
});

/** Sends a long call to a daemon that answers fence requests with the given replies, in order. */
async function longCall(replies: readonly FenceResult[], reachable: boolean) {
  const clock = new ManualClock();
  let answer: (reply: unknown) => void = () => undefined;
  let abort: () => void = () => undefined;
  const channels = {
    get: () => ({
      lastReceivedAt: 0,
      send: () => ({
        reply: new Promise((resolve, reject) => {
          answer = resolve;
          abort = () => reject(new ExchangeError('aborted', true, true));
        }),
        isSent: () => true,
        abort: () => abort(),
      }),
    }),
    retire: () => undefined,
  } as unknown as CallChannels;
  let index = 0;
  const fence = async () => {
    const reply = replies[index]!;
    index += 1;
    // The answer arrives after the last fence request.
    if (index === replies.length) setImmediate(() => answer(new StreamedAnswer(200, {}, SOURCE)));
    return reply;
  };
  const liveness = {
    isUnresponsive: () => !reachable,
    reportResponse: () => undefined,
    reportConnectionRefused: () => undefined,
    reportNoRoute: () => undefined,
    watch: (_address: unknown, { onUnreachable }: PeerWatcher) => {
      if (!reachable) onUnreachable('it refuses connections');
      return { dispose: () => undefined };
    },
  };
  const transport = new PeerTransport(channels, fence, liveness, 1, clock);
  const context = { idempotent: false, deadline: 60_000 } as AttemptContext;
  return transport.send(UPSTREAM, REQUEST, context, new CancelController()).then(
    ({ status }) => `answered ${status}`,
    (error: Error) => `${error.name}: ${error.message}`,
  );
}

test('a long call survives unanswered fence requests while its daemon is reachable', async () => {
  const rows = [
    `unanswered, reachable: ${await longCall(['unanswered', 'unanswered', 'running'], true)}`,
    `always unanswered, reachable: ${await longCall(Array(4).fill('unanswered'), true)}`,
    `unanswered, unreachable: ${await longCall(['unanswered', 'running'], false)}`,
    `daemon restarted: ${await longCall(['replaced', 'running'], true)}`,
    `never received: ${await longCall(['forbidden', 'running'], true)}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `unanswered, reachable: answered 200
always unanswered, reachable: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
unanswered, unreachable: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
daemon restarted: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
never received: NotRunError: the connection fell silent; the attempt was fenced off`,
  );
});

/** Whether a call was sent and is idempotent, and the reply to fence requests for it. */
interface CallState {
  readonly sent?: boolean;
  readonly idempotent?: boolean;
  readonly fence?: FenceResult;
}

/** Makes a call, triggers an event that may end it, and returns the error. */
async function failureOf(
  trigger: (parts: { cancel: CancelController; peer: PeerWatcher; end: () => void }) => void,
  { sent: isSent = true, idempotent = true, fence = 'running' }: CallState = {},
): Promise<string> {
  const cancel = new CancelController();
  let peer: PeerWatcher | undefined;
  let reject: (error: Error) => void = () => undefined;
  const abort = () => reject(new ExchangeError('aborted', isSent, true));
  const channels = {
    get: () => ({
      lastReceivedAt: 0,
      send: () => {
        const reply = new Promise((_resolve, fail) => {
          reject = fail;
        });
        cancel.addEventListener('abort', abort);
        return { reply, isSent: () => isSent, abort };
      },
    }),
    retire: () => undefined,
  } as unknown as CallChannels;
  const liveness = {
    isUnresponsive: () => false,
    reportResponse: () => undefined,
    reportConnectionRefused: () => undefined,
    reportNoRoute: () => undefined,
    watch: (_address: unknown, watcher: PeerWatcher) => {
      peer = watcher;
      return { dispose: () => undefined };
    },
  };
  const transport = new PeerTransport(channels, async () => fence, liveness, 1, new ManualClock());
  const context = { idempotent, deadline: 60_000 } as AttemptContext;
  const answer = transport.send(UPSTREAM, REQUEST, context, cancel);
  const end = () => reject(new ExchangeError('the connection was closed', isSent));
  trigger({ cancel, peer: peer!, end });
  return answer.then(String, ({ name, message }: Error) => `${name}: ${message}`);
}

test('the error of a call that ends without an answer states the cause', async () => {
  const noEvent = () => undefined;
  const rows = [
    await failureOf(({ cancel }) => cancel.abort(CALLER_LEFT)),
    await failureOf(({ cancel }) => cancel.abort(new Error('it stops'))),
    await failureOf(({ peer }) => peer.onUnreachable('it refuses connections')),
    await failureOf(({ peer }) => peer.onUnreachable('it refuses connections'), { sent: false }),
    await failureOf(({ peer }) => peer.onSilent(), { sent: false }),
    await failureOf(({ end }) => end()),
    await failureOf(({ end }) => end(), { sent: false }),
    await failureOf(({ end }) => end(), { idempotent: false }),
    await failureOf(noEvent, { fence: 'done' }),
    await failureOf(noEvent, { fence: 'forbidden' }),
    await failureOf(noEvent, { fence: 'replaced' }),
    await failureOf(noEvent, { fence: 'unanswered' }),
  ];
  assert.snapshot(
    rows.join('\n'),
    `UnknownOutcomeError: the call was given up: the caller left
UnknownOutcomeError: the call was given up: it stops
UnknownOutcomeError: the daemon is unreachable: it refuses connections
NotRunError: never sent: the daemon is unreachable: it refuses connections
NotRunError: never sent: the daemon stopped answering
UnknownOutcomeError: the connection was closed
NotRunError: never sent: the connection was closed
UnknownOutcomeError: the connection was closed; the attempt is running
UnknownOutcomeError: the connection fell silent; the attempt is done
NotRunError: the connection fell silent; the attempt was fenced off
UnknownOutcomeError: the connection fell silent; the attempt is unresolved
UnknownOutcomeError: the connection fell silent; the attempt is unresolved`,
  );
});

/** Sends a call, reports its channel silent twice, closes the channel, and returns the actions taken. */
async function onSilentChannel(idempotent: boolean, fence: FenceResult): Promise<string> {
  const events: string[] = [];
  let notifySilent: () => void = () => undefined;
  let reject: (error: Error) => void = () => undefined;
  const channels = {
    get: () => ({
      lastReceivedAt: 0,
      send: (_call: unknown, _signal: unknown, onSilent: () => void) => {
        notifySilent = onSilent;
        const reply = new Promise((_resolve, fail) => {
          reject = fail;
        });
        const abort = () => reject(new ExchangeError('aborted', true, true));
        return { reply, isSent: () => true, abort };
      },
    }),
    retire: () => undefined,
  } as unknown as CallChannels;
  const fenceAttempt = async () => {
    events.push('fences');
    return fence;
  };
  const liveness = {
    isUnresponsive: () => false,
    reportResponse: () => undefined,
    reportConnectionRefused: () => undefined,
    reportNoRoute: () => undefined,
    watch: () => ({ dispose: () => undefined }),
  };
  const transport = new PeerTransport(channels, fenceAttempt, liveness, 60_000, new ManualClock());
  const context = { idempotent, deadline: 60_000 } as AttemptContext;
  const cancel = new CancelController();
  const send = transport.send(UPSTREAM, REQUEST, context, cancel, () =>
    events.push('second attempt'),
  );
  const end = send.catch(({ name }: Error) => events.push(name));
  notifySilent();
  notifySilent();
  for (let turn = 0; turn < 4; turn += 1) await new Promise(setImmediate);
  events.push('channel closes');
  reject(new ExchangeError('the channel was closed', true));
  await end;
  return events.join(', ');
}

test('calls on a silent channel continue, unless fencing proves that they were never received', async () => {
  const rows = [
    `idempotent: ${await onSilentChannel(true, 'running')}`,
    `not idempotent, runs: ${await onSilentChannel(false, 'running')}`,
    `not idempotent, never received: ${await onSilentChannel(false, 'forbidden')}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `idempotent: second attempt, second attempt, channel closes, UnknownOutcomeError
not idempotent, runs: fences, channel closes, fences, UnknownOutcomeError
not idempotent, never received: fences, NotRunError, channel closes`,
  );
});

test.run();
