import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setTimeout as delay } from 'node:timers/promises';
import createThrottle from '../../stand-in/createThrottle';
import BlockedDaemon from '../../stand-in/BlockedDaemon';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import probeDaemon from '../connection/probeDaemon';
import Call, { type CallServices, type CallPolicy } from './Call';
import type CallChannels from './CallChannels';
import CancelController from './CancelController';
import ExchangeError from './ExchangeError';
import PeerLiveness from './PeerLiveness';
import PeerTransport from './PeerTransport';
import type RetryBudget from './RetryBudget';
import StreamedAnswer from './StreamedAnswer';
import type { Balancer, CallRequest, ProbeResult, Upstream } from './Types';

const SILENCE_MS = 20;
const REQUEST = { method: 'GET', path: '/', headers: [], body: null } as unknown as CallRequest;
const POLICY = {
  route: { name: 'r', idempotent: true, retries: 1, objectiveMs: 60_000, timeoutMs: 60_000 },
  service: { name: 's', slots: 1 },
  retryBudget: 0,
} as unknown as CallPolicy;
const SOURCE = { paused: false, pause: () => {}, resume: () => {}, abort: () => {} };

function upstreamAt(address: string): Upstream {
  return { daemon: address, address, incarnation: 1 } as unknown as Upstream;
}

/** Conditions of a call to a daemon that is silent at first. */
interface SilentDaemonCase {
  /** Whether there is a second upstream to which the call can be sent. */
  readonly spare: boolean;
  /** Whether the retry budget allows another attempt. */
  readonly budget: boolean;
  /** Number of attempts already made for the calls that led to this call. */
  readonly nestingAttempts?: number;
  /** Probes the silent daemon; by default, each probe has the result `silent`. */
  readonly probe?: () => Promise<ProbeResult>;
}

/** Makes a call to a daemon that does not answer probes for a while, and returns the actions taken. */
async function callToSilentDaemon({
  spare,
  budget,
  nestingAttempts = 0,
  probe = async () => 'silent',
}: SilentDaemonCase) {
  const clock = new SystemClock();
  const events: string[] = [];
  const answers = new Map<string, (status: number) => void>();
  const channels = {
    get: (address: string) => ({
      lastReceivedAt: 0,
      send: (_call: unknown, signal: CancelController) => {
        let fail: (error: Error) => void;
        signal.addEventListener('abort', () => fail(new ExchangeError('aborted', true, true)));
        return {
          reply: new Promise((resolve, reject) => {
            fail = reject;
            answers.set(address, (status) => {
              const answer = new StreamedAnswer(status, {}, SOURCE);
              answer.complete();
              resolve(answer);
            });
          }),
          isSent: () => true,
          abort: () => {
            events.push(`gives up at ${address}`);
            fail(new ExchangeError('aborted', true, true));
          },
        };
      },
    }),
    retire: () => undefined,
  } as unknown as CallChannels;
  let silent = true;
  const liveness = new PeerLiveness(
    async (address: Address) => (silent && address === 'busy' ? probe() : 'answers'),
    { ping: () => undefined, lastReceivedAt: () => undefined },
    { silenceMs: SILENCE_MS },
    clock,
    { log: () => undefined },
  );
  const upstreams = [upstreamAt('busy'), ...(spare ? [upstreamAt('spare')] : [])];
  const balancer = {
    choose: ({ exclude }: { exclude: ReadonlySet<string> }) =>
      upstreams.find(({ daemon }) => !exclude.has(daemon)),
    begin: ({ daemon }: Upstream) => events.push(`sends to ${daemon}`),
    end: () => undefined,
    latencyMs: () => undefined,
    reportedLoad: () => undefined,
  } as unknown as Balancer;
  const services = {
    balancer,
    transport: new PeerTransport(channels, async () => 'unanswered', liveness, 60_000, clock),
    clock,
    lagMs: () => 0,
    waitedMs: () => 0,
    incarnation: () => 1,
    nextAttempt: () => 1,
    onAttempt: () => undefined,
  } as unknown as CallServices;
  const retryBudget = {
    deposit: () => undefined,
    retract: () => undefined,
    chargeRepeat: () => undefined,
    withdraw: () => budget,
  };
  const times = { deadline: clock.now() + 60_000, objective: clock.now() + 60_000 };
  const call = new Call(
    REQUEST,
    POLICY,
    services,
    retryBudget as unknown as RetryBudget,
    createThrottle(),
    times,
    nestingAttempts,
  );
  let ended = false;
  const answer = call.run(new CancelController()).then(
    ({ status }) => `is answered ${status}`,
    (error: Error) => `fails: ${error.name}`,
  );
  void answer.then(() => {
    ended = true;
  });
  while (!ended && !liveness.isUnresponsive('busy' as Address)) await delay(5);
  // Waits until the call has handled the report that the daemon is unresponsive.
  for (let turn = 0; turn < 5; turn += 1) await delay(1);
  silent = false;
  answers.get(spare && answers.has('spare') ? 'spare' : 'busy')!(200);
  events.push(await answer);
  liveness.dispose();
  return events.join(', ');
}

test('a call to a daemon that is too busy to answer probes is not aborted', async () => {
  const rows = [
    `no other upstream: ${await callToSilentDaemon({ spare: false, budget: true })}`,
    `no budget: ${await callToSilentDaemon({ spare: true, budget: false })}`,
    `with budget: ${await callToSilentDaemon({ spare: true, budget: true })}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `no other upstream: sends to busy, is answered 200
no budget: sends to busy, is answered 200
with budget: sends to busy, sends to spare, is answered 200`,
  );
});

test('a call to a daemon whose accept queue is full is not aborted', async () => {
  const blocked = await BlockedDaemon.start();
  const probe = () => probeDaemon(blocked.address);
  const rows = [
    `no other upstream: ${await callToSilentDaemon({ spare: false, budget: true, probe })}`,
    `no budget: ${await callToSilentDaemon({ spare: true, budget: false, probe })}`,
    `nested: ${await callToSilentDaemon({ spare: true, budget: true, nestingAttempts: 2, probe })}`,
    `with budget: ${await callToSilentDaemon({ spare: true, budget: true, probe })}`,
  ];
  await blocked.dispose();
  assert.snapshot(
    rows.join('\n'),
    `no other upstream: sends to busy, is answered 200
no budget: sends to busy, is answered 200
nested: sends to busy, is answered 200
with budget: sends to busy, sends to spare, is answered 200`,
  );
});

test('a call to a daemon whose process has ended is aborted at once and retried elsewhere', async () => {
  const blocked = await BlockedDaemon.start();
  await blocked.dispose();
  const probe = () => probeDaemon(blocked.address);
  const rows = [
    `no budget: ${await callToSilentDaemon({ spare: true, budget: false, probe })}`,
    `with budget: ${await callToSilentDaemon({ spare: true, budget: true, probe })}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `no budget: sends to busy, gives up at busy, fails: UnknownOutcomeError
with budget: sends to busy, gives up at busy, sends to spare, is answered 200`,
  );
});

test.run();
