import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type CallChannels from './CallChannels';
import CancelSource from './CancelSource';
import ExchangeError from './ExchangeError';
import PeerTransport from './PeerTransport';
import type { AttemptContext, CallRequest, Upstream } from './Types';

const UPSTREAM = { address: '10.0.0.2:7000', incarnation: 1 } as unknown as Upstream;
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
    isLost: () => false,
    heard: () => undefined,
    refused: () => events.push('the daemon is lost'),
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
  ];
  assert.snapshot(
    rows.join('\n'),
    `given up: UnknownOutcomeError
given up, may run once: UnknownOutcomeError
given up after silence: leaves the channel, UnknownOutcomeError
given up, others are answered: UnknownOutcomeError
the channel ended: UnknownOutcomeError
the channel ended, may run once: asks what became of it, NotRunError
never sent: the daemon is lost, NotRunError`,
  );
});

test.run();
