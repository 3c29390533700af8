import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import Call, { type CallServices, type CallTerms } from './Call';
import type CallChannels from './CallChannels';
import type { ChannelReply, OutgoingCall } from './CallChannel';
import type { ChannelCallNumber } from './channelFrames';
import CancelSource from './CancelSource';
import ExchangeError from './ExchangeError';
import PeerTransport from './PeerTransport';
import RetryBudget from './RetryBudget';
import StreamedAnswer from './StreamedAnswer';
import type { AttemptContext, AttemptState, Balancer, CallRequest, Upstream } from './Types';

/** What becomes of one attempt; on silent connections the fence tells the state after it. */
type Fate = 'answered' | 'refused' | 'never sent' | 'silent, never came' | 'silent, answer lost';

const SILENCE_MS = 1;
const UPSTREAMS = ['near', 'far'].map(
  (daemon) => ({ daemon, address: daemon, service: 'stock' }) as unknown as Upstream,
);
const FENCED: Partial<Record<Fate, AttemptState>> = {
  'silent, never came': 'forbidden',
  'silent, answer lost': 'done',
};

function answered(): StreamedAnswer {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  return new StreamedAnswer(200, {}, source);
}

function refused(): ChannelReply {
  const refusal = { outcome: 'not-run', reason: 'no room', reachedUpstream: false } as const;
  const number = 1 as ChannelCallNumber;
  return { kind: 'refusal', number, load: undefined, roomMs: undefined, ...refusal };
}

/** Channels on which the attempts of one call meet their fates in turn. */
class FatedChannels {
  public readonly met: string[] = [];

  private readonly fates = new Map<number, Fate>();

  public constructor(private readonly coming: Fate[]) {}

  public get(address: string) {
    return { lastHeardAt: 0, send: (call: OutgoingCall) => this.send(address, call) };
  }

  public async fence(_upstream: Upstream, { id }: AttemptContext) {
    return FENCED[this.fates.get(id.number)!] ?? ('unanswered' as const);
  }

  private send(address: string, { context }: OutgoingCall) {
    const fate = this.coming.shift() ?? 'silent, never came';
    this.fates.set(context.id.number, fate);
    this.met.push(address);
    let abort = () => {};
    const reply = new Promise<ChannelReply>((resolve, reject) => {
      abort = () => reject(new ExchangeError('aborted', true, true));
      if (fate === 'answered') resolve(answered());
      if (fate === 'refused') resolve(refused());
      if (fate === 'never sent') reject(new ExchangeError('no connection', false));
    });
    return { reply, isSent: () => fate !== 'never sent', abort };
  }
}

/** Chooses untried upstreams in order. */
const BALANCER: Balancer = {
  choose: ({ exclude }) => UPSTREAMS.find(({ daemon }) => !exclude.has(daemon)),
  begin: () => undefined,
  end: () => undefined,
  latencyMs: () => undefined,
  known: () => undefined,
};

/** @returns Where the attempts of a call went, and what it came to. */
async function play(method: string, fates: Fate[], slack = 10): Promise<string> {
  const clock = new ManualClock();
  const channels = new FatedChannels(fates);
  const liveness = {
    isUnresponsive: () => false,
    heard: () => undefined,
    refused: () => undefined,
    unconnected: () => undefined,
    watch: () => ({ dispose: () => undefined }),
  };
  const opened = { get: (address: string) => channels.get(address), leave: () => undefined };
  const transport = new PeerTransport(
    opened as unknown as CallChannels,
    (upstream, context) => channels.fence(upstream, context),
    liveness,
    SILENCE_MS,
    clock,
  );
  let number = 0;
  const services = {
    balancer: BALANCER,
    transport,
    clock,
    lagMs: () => 0,
    waitedMs: () => 0,
    incarnation: () => 1,
    nextAttempt: () => {
      number += 1;
      return number;
    },
    onAttempt: () => undefined,
  } as unknown as CallServices;
  const terms = {
    route: { name: 'stock', objectiveMs: 60_000, timeoutMs: 60_000, retries: 2 },
    service: { name: 'stock', slots: 4 },
    retryBudget: 0,
  } as unknown as CallTerms;
  const allowance = { windowMs: () => 10_000, slack: () => slack, maxShare: () => 1 };
  const request = { method, path: '/', headers: [], body: null } as unknown as CallRequest;
  const times = { deadline: 60_000, objective: 60_000 };
  const budget = new RetryBudget(allowance, clock);
  const call = new Call(request, terms, services, budget, times, 0);
  const end = await call.run(new CancelSource()).then(
    ({ status }) => String(status),
    ({ name }: Error) => name,
  );
  return `${channels.met.join(', ')}: ${end}`;
}

test('a call whose connections fall silent one after the other is tried again', async () => {
  const never: Fate = 'silent, never came';
  const rows = [
    `lookup, answer lost, then never came: ${await play('GET', ['silent, answer lost', never, 'answered'])}`,
    `lookup, never came twice: ${await play('GET', [never, never, 'answered'])}`,
    `lookup, never came thrice: ${await play('GET', [never, never, never, 'answered'])}`,
    `charge, never came twice: ${await play('POST', [never, never, 'answered'])}`,
    `charge, never sent twice: ${await play('POST', ['never sent', 'never sent', 'answered'])}`,
    `charge, answer lost: ${await play('POST', ['silent, answer lost', 'answered'])}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `lookup, answer lost, then never came: near, far, near: 200
lookup, never came twice: near, far, near: 200
lookup, never came thrice: near, far, near, near: 200
charge, never came twice: near, far, near: 200
charge, never sent twice: near, far, near: 200
charge, answer lost: near: UnknownOutcomeError`,
  );
});

test('attempts that are lost or refused come to an end', async () => {
  const rows = [
    `lookup, always lost: ${await play('GET', [], 3)}`,
    `charge, always lost: ${await play('POST', [], 3)}`,
    `charge, always lost, no budget: ${await play('POST', [], 0)}`,
    `charge, refused twice: ${await play('POST', ['refused', 'refused', 'answered'])}`,
    `charge, lost, then refused: ${await play('POST', ['silent, never came', 'refused', 'answered'])}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `lookup, always lost: near, far, near, near: NotRunError
charge, always lost: near, far, near, near: NotRunError
charge, always lost, no budget: near, far: NotRunError
charge, refused twice: near, far: NotRunError
charge, lost, then refused: near, far: NotRunError`,
  );
});

test.run();
