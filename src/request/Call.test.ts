import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createThrottle from '../../stand-in/createThrottle';
import ManualClock from '../../stand-in/ManualClock';
import Call, { type CallServices, type CallPolicy } from './Call';
import type CallChannels from './CallChannels';
import type { ChannelReply, OutgoingCall } from './CallChannel';
import type { ChannelCallNumber } from './channelFrames';
import CancelController from './CancelController';
import ExchangeError from './ExchangeError';
import PeerTransport from './PeerTransport';
import RetryBudget from './RetryBudget';
import StreamedAnswer from './StreamedAnswer';
import type { AttemptContext, AttemptState, Balancer, CallRequest, Upstream } from './Types';

/** Scripted outcome of one attempt; on a silent connection, fencing the attempt reveals its state. */
type AttemptOutcome =
  'answered' | 'refused' | 'never sent' | 'silent, not received' | 'silent, response lost';

const SILENCE_MS = 1;
const UPSTREAMS = ['near', 'far'].map(
  (daemon) => ({ daemon, address: daemon, service: 'stock' }) as unknown as Upstream,
);
const FENCE_STATES: Partial<Record<AttemptOutcome, AttemptState>> = {
  'silent, not received': 'forbidden',
  'silent, response lost': 'done',
};

function answered(): StreamedAnswer {
  const source = { paused: false, pause() {}, resume() {}, abort() {} };
  return new StreamedAnswer(200, {}, source);
}

function refused(): ChannelReply {
  const refusal = { outcome: 'not-run', reason: 'no room', reachedUpstream: false } as const;
  const number = 1 as ChannelCallNumber;
  return { kind: 'refusal', number, load: undefined, capacityAfterMs: undefined, ...refusal };
}

/** Fake channels on which the attempts of one call get scripted outcomes, in order. */
class ScriptedChannels {
  public readonly addresses: string[] = [];

  private readonly outcomes = new Map<number, AttemptOutcome>();

  public constructor(private readonly nextOutcomes: AttemptOutcome[]) {}

  public get(address: string) {
    return { lastReceivedAt: 0, send: (call: OutgoingCall) => this.send(address, call) };
  }

  public async fence(_upstream: Upstream, { id }: AttemptContext) {
    return FENCE_STATES[this.outcomes.get(id.number)!] ?? ('unanswered' as const);
  }

  private send(address: string, { context }: OutgoingCall) {
    const outcome = this.nextOutcomes.shift() ?? 'silent, not received';
    this.outcomes.set(context.id.number, outcome);
    this.addresses.push(address);
    let abort = () => {};
    const reply = new Promise<ChannelReply>((resolve, reject) => {
      abort = () => reject(new ExchangeError('aborted', true, true));
      if (outcome === 'answered') resolve(answered());
      if (outcome === 'refused') resolve(refused());
      if (outcome === 'never sent') reject(new ExchangeError('no connection', false));
    });
    return { reply, isSent: () => outcome !== 'never sent', abort };
  }
}

/** Balancer that chooses the first upstream that isn't excluded. */
const BALANCER: Balancer = {
  choose: ({ exclude }) => UPSTREAMS.find(({ daemon }) => !exclude.has(daemon)),
  begin: () => undefined,
  end: () => undefined,
  latencyMs: () => undefined,
  reportedLoad: () => undefined,
};

/** @returns Addresses of the attempts of a call, in order, and the result of the call. */
async function runCall(
  method: string,
  outcomes: AttemptOutcome[],
  slack = 10,
  charged = 0,
): Promise<string> {
  const clock = new ManualClock();
  const channels = new ScriptedChannels(outcomes);
  const liveness = {
    isUnresponsive: () => false,
    reportResponse: () => undefined,
    reportConnectionRefused: () => undefined,
    reportNoRoute: () => undefined,
    watch: () => ({ dispose: () => undefined }),
  };
  const callChannels = { get: (address: string) => channels.get(address), retire: () => undefined };
  const transport = new PeerTransport(
    callChannels as unknown as CallChannels,
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
  const policy = {
    route: { name: 'stock', objectiveMs: 60_000, timeoutMs: 60_000, retries: 2 },
    service: { name: 'stock', slots: 4 },
    retryBudget: 0,
  } as unknown as CallPolicy;
  const allowance = {
    windowMs: () => 10_000,
    slack: () => slack,
    isShared: () => false,
    maxShare: () => 1,
  };
  const request = { method, path: '/', headers: [], body: null } as unknown as CallRequest;
  const times = { deadline: 60_000, objective: 60_000 };
  const budget = new RetryBudget(allowance, clock);
  const call = new Call(request, policy, services, budget, createThrottle(), times, 0, charged);
  const result = await call.run(new CancelController()).then(
    ({ status }) => String(status),
    ({ name }: Error) => name,
  );
  return `${channels.addresses.join(', ')}: ${result}`;
}

test('a call is retried when its connections fall silent one after the other', async () => {
  const notReceived: AttemptOutcome = 'silent, not received';
  const rows = [
    `lookup, response lost, then not received: ${await runCall('GET', ['silent, response lost', notReceived, 'answered'])}`,
    `lookup, not received twice: ${await runCall('GET', [notReceived, notReceived, 'answered'])}`,
    `lookup, not received three times: ${await runCall('GET', [notReceived, notReceived, notReceived, 'answered'])}`,
    `charge, not received twice: ${await runCall('POST', [notReceived, notReceived, 'answered'])}`,
    `charge, never sent twice: ${await runCall('POST', ['never sent', 'never sent', 'answered'])}`,
    `charge, response lost: ${await runCall('POST', ['silent, response lost', 'answered'])}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `lookup, response lost, then not received: near, far, near: 200
lookup, not received twice: near, far, near: 200
lookup, not received three times: near, far, near, near: 200
charge, not received twice: near, far, near: 200
charge, never sent twice: near, far, near: 200
charge, response lost: near: UnknownOutcomeError`,
  );
});

test('retries of attempts that are lost or refused are limited', async () => {
  const rows = [
    `lookup, always lost: ${await runCall('GET', [], 3)}`,
    `charge, always lost: ${await runCall('POST', [], 3)}`,
    `charge, always lost, no budget: ${await runCall('POST', [], 0)}`,
    `lookup, always lost, charged beyond the budget: ${await runCall('GET', [], 3, 5)}`,
    `lookup, charged beyond the budget: ${await runCall('GET', ['answered'], 3, 5)}`,
    `charge, refused twice: ${await runCall('POST', ['refused', 'refused', 'answered'])}`,
    `charge, lost, then refused: ${await runCall('POST', ['silent, not received', 'refused', 'answered'])}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `lookup, always lost: near, far, near, near: NotRunError
charge, always lost: near, far, near, near: NotRunError
charge, always lost, no budget: near, far: NotRunError
lookup, always lost, charged beyond the budget: near, far: NotRunError
lookup, charged beyond the budget: near: 200
charge, refused twice: near, far: NotRunError
charge, lost, then refused: near, far: NotRunError`,
  );
});

test.run();
