import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type CallChannels from './CallChannels';
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

test.run();
