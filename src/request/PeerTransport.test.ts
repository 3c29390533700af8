import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type CallChannels from './CallChannels';
import CALLER_LEFT from './callerLeft';
import CancelSource from './CancelSource';
import ExchangeError from './ExchangeError';
import PeerTransport, { type FenceReply } from './PeerTransport';
import StreamedAnswer from './StreamedAnswer';
import type { AttemptContext, CallRequest, PeerWatcher, Upstream } from './Types';

const UPSTREAM = { address: '10.0.0.2:7000', incarnation: 1 } as unknown as Upstream;
const SOURCE = { paused: false, pause: () => {}, resume: () => {}, abort: () => {} };
const REQUEST = { method: 'POST', path: '/', headers: [], body: null } as unknown as CallRequest;

/** Sends a call whose channel fails as told, and notes what is done about it. */
async function sent(
  idempotent: boolean,
  failure: ExchangeError | 'cancelled',
  { waitMs = 0, heardAt = 0 } = {},
): Promise<string> {
  const events: string[] = [];
  const clock = new ManualClock();
  clock.advance(1_000);
  const cancel = new CancelSource();
  const channels = {
    get: () => ({
      lastHeardAt: heardAt,
      send: () => ({
        reply: new Promise((_resolve, reject) => {
          if (failure !== 'cancelled') reject(failure);
          cancel.addEventListener('abort', () => reject(new ExchangeError('aborted', true, true)));
        }),
        isSent: () => true,
        abort: () => undefined,
      }),
    }),
    leave: () => events.push('leaves the channel'),
  } as unknown as CallChannels;
  const fence = async () => {
    events.push('asks what became of it');
    return 'forbidden' as const;
  };
  const liveness = {
    isUnresponsive: () => false,
    heard: () => undefined,
    refused: () => events.push('the daemon is lost'),
    unconnected: () => events.push('no way to the daemon'),
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

test('what is done about a call whose channel fails', async () => {
  const rows = [
    `given up: ${await sent(true, 'cancelled')}`,
    `given up, may run once: ${await sent(false, 'cancelled')}`,
    `given up after silence: ${await sent(true, 'cancelled', { waitMs: 900, heardAt: 500 })}`,
    `given up, others are answered: ${await sent(true, 'cancelled', { waitMs: 900, heardAt: 1_400 })}`,
    `the channel ended: ${await sent(true, new ExchangeError('ended', true))}`,
    `the channel ended, may run once: ${await sent(false, new ExchangeError('ended', true))}`,
    `never sent: ${await sent(false, new ExchangeError('no', false, false, 'ECONNREFUSED'))}`,
    `no way: ${await sent(false, new ExchangeError('no', false, false, 'EHOSTUNREACH'))}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `given up: UnknownOutcomeError
given up, may run once: UnknownOutcomeError
given up after silence: leaves the channel, UnknownOutcomeError
given up, others are answered: UnknownOutcomeError
the channel ended: UnknownOutcomeError
the channel ended, may run once: asks what became of it, NotRunError
never sent: the daemon is lost, NotRunError
no way: no way to the daemon, NotRunError`,
  );
});

/** Sends a call that takes long to a daemon that answers questions after it as told. */
async function longCall(replies: readonly FenceReply[], reachable: boolean) {
  const clock = new ManualClock();
  let answer: (reply: unknown) => void = () => undefined;
  let abort: () => void = () => undefined;
  const channels = {
    get: () => ({
      lastHeardAt: 0,
      send: () => ({
        reply: new Promise((resolve, reject) => {
          answer = resolve;
          abort = () => reject(new ExchangeError('aborted', true, true));
        }),
        isSent: () => true,
        abort: () => abort(),
      }),
    }),
    leave: () => undefined,
  } as unknown as CallChannels;
  let asked = 0;
  const fence = async () => {
    const reply = replies[asked]!;
    asked += 1;
    // The answer comes after the last question.
    if (asked === replies.length) setImmediate(() => answer(new StreamedAnswer(200, {}, SOURCE)));
    return reply;
  };
  const liveness = {
    isUnresponsive: () => !reachable,
    heard: () => undefined,
    refused: () => undefined,
    unconnected: () => undefined,
    watch: (_address: unknown, { onUnreachable }: PeerWatcher) => {
      if (!reachable) onUnreachable('it refuses connections');
      return { dispose: () => undefined };
    },
  };
  const transport = new PeerTransport(channels, fence, liveness, 1, clock);
  const context = { idempotent: false, deadline: 60_000 } as AttemptContext;
  return transport.send(UPSTREAM, REQUEST, context, new CancelSource()).then(
    ({ status }) => `answered ${status}`,
    (error: Error) => `${error.name}: ${error.message}`,
  );
}

test('a long call is not given up because its daemon is too busy to say what became of it', async () => {
  const rows = [
    `cannot be asked, reachable: ${await longCall(['unanswered', 'unanswered', 'running'], true)}`,
    `can never be asked, reachable: ${await longCall(Array(4).fill('unanswered'), true)}`,
    `cannot be asked, unreachable: ${await longCall(['unanswered', 'running'], false)}`,
    `started anew: ${await longCall(['replaced', 'running'], true)}`,
    `never came: ${await longCall(['forbidden', 'running'], true)}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `cannot be asked, reachable: answered 200
can never be asked, reachable: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
cannot be asked, unreachable: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
started anew: UnknownOutcomeError: the connection fell silent; the attempt is unresolved
never came: NotRunError: the connection fell silent; the attempt was fenced off`,
  );
});

/** Whether a call was sent, may run again, and what questions after it bring. */
interface CallState {
  readonly sent?: boolean;
  readonly idempotent?: boolean;
  readonly fence?: FenceReply;
}

/** Sends a call that is sent, or not yet, and lets something happen to it. */
async function failureOf(
  happening: (parts: { cancel: CancelSource; peer: PeerWatcher; end: () => void }) => void,
  { sent: isSent = true, idempotent = true, fence = 'running' }: CallState = {},
): Promise<string> {
  const cancel = new CancelSource();
  let peer: PeerWatcher | undefined;
  let reject: (error: Error) => void = () => undefined;
  const abort = () => reject(new ExchangeError('aborted', isSent, true));
  const channels = {
    get: () => ({
      lastHeardAt: 0,
      send: () => {
        const reply = new Promise((_resolve, fail) => {
          reject = fail;
        });
        cancel.addEventListener('abort', abort);
        return { reply, isSent: () => isSent, abort };
      },
    }),
    leave: () => undefined,
  } as unknown as CallChannels;
  const liveness = {
    isUnresponsive: () => false,
    heard: () => undefined,
    refused: () => undefined,
    unconnected: () => undefined,
    watch: (_address: unknown, watcher: PeerWatcher) => {
      peer = watcher;
      return { dispose: () => undefined };
    },
  };
  const transport = new PeerTransport(channels, async () => fence, liveness, 1, new ManualClock());
  const context = { idempotent, deadline: 60_000 } as AttemptContext;
  const answer = transport.send(UPSTREAM, REQUEST, context, cancel);
  const end = () => reject(new ExchangeError('the connection was closed', isSent));
  happening({ cancel, peer: peer!, end });
  return answer.then(String, ({ name, message }: Error) => `${name}: ${message}`);
}

test('what ends a call before its answer shows in its reason; only who waits for it gives it up', async () => {
  const nothing = () => undefined;
  const rows = [
    await failureOf(({ cancel }) => cancel.abort(CALLER_LEFT)),
    await failureOf(({ cancel }) => cancel.abort(new Error('it stops'))),
    await failureOf(({ peer }) => peer.onUnreachable('it refuses connections')),
    await failureOf(({ peer }) => peer.onUnreachable('it refuses connections'), { sent: false }),
    await failureOf(({ peer }) => peer.onSilent(), { sent: false }),
    await failureOf(({ end }) => end()),
    await failureOf(({ end }) => end(), { sent: false }),
    await failureOf(({ end }) => end(), { idempotent: false }),
    await failureOf(nothing, { fence: 'done' }),
    await failureOf(nothing, { fence: 'forbidden' }),
    await failureOf(nothing, { fence: 'replaced' }),
    await failureOf(nothing, { fence: 'unanswered' }),
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

/** Sends a call whose channel is left as silent, twice, and notes what is done about it. */
async function onSilentChannel(idempotent: boolean, fence: FenceReply): Promise<string> {
  const events: string[] = [];
  let tell: () => void = () => undefined;
  let reject: (error: Error) => void = () => undefined;
  const channels = {
    get: () => ({
      lastHeardAt: 0,
      send: (_call: unknown, _signal: unknown, onSilent: () => void) => {
        tell = onSilent;
        const reply = new Promise((_resolve, fail) => {
          reject = fail;
        });
        const abort = () => reject(new ExchangeError('aborted', true, true));
        return { reply, isSent: () => true, abort };
      },
    }),
    leave: () => undefined,
  } as unknown as CallChannels;
  const question = async () => {
    events.push('asks');
    return fence;
  };
  const liveness = {
    isUnresponsive: () => false,
    heard: () => undefined,
    refused: () => undefined,
    unconnected: () => undefined,
    watch: () => ({ dispose: () => undefined }),
  };
  const transport = new PeerTransport(channels, question, liveness, 60_000, new ManualClock());
  const context = { idempotent, deadline: 60_000 } as AttemptContext;
  const cancel = new CancelSource();
  const send = transport.send(UPSTREAM, REQUEST, context, cancel, () => events.push('second'));
  const end = send.catch(({ name }: Error) => events.push(name));
  tell();
  tell();
  for (let turn = 0; turn < 4; turn += 1) await new Promise(setImmediate);
  events.push('then');
  reject(new ExchangeError('the channel was closed', true));
  await end;
  return events.join(', ');
}

test('calls on a channel that is left as silent go on, unless it is proved that they never came', async () => {
  const rows = [
    `may run again: ${await onSilentChannel(true, 'running')}`,
    `may run once, runs: ${await onSilentChannel(false, 'running')}`,
    `may run once, never came: ${await onSilentChannel(false, 'forbidden')}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `may run again: second, second, then, UnknownOutcomeError
may run once, runs: asks, then, asks, UnknownOutcomeError
may run once, never came: asks, NotRunError, then`,
  );
});

test.run();
