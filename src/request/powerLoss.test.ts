import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setTimeout as delay } from 'node:timers/promises';
import createThrottle from '../../stand-in/createThrottle';
import ManualClock from '../../stand-in/ManualClock';
import SystemClock from '../common/SystemClock';
import type { Address } from '../common/Types';
import Call, { type CallServices, type CallPolicy } from './Call';
import type CallChannels from './CallChannels';
import CancelController from './CancelController';
import ExchangeError from './ExchangeError';
import PeerLiveness from './PeerLiveness';
import PeerTransport from './PeerTransport';
import type RetryBudget from './RetryBudget';
import StreamedAnswer from './StreamedAnswer';
import type { Balancer, CallRequest, ProbeResult, Upstream } from './Types';

const UNPOWERED = 'unpowered' as Address;
const LOOKUPS = 20;
const CHARGES = 3;
const RETRY_BUDGET = 6;
const POLICY = {
  route: { name: 'r', retries: 1, objectiveMs: 60_000, timeoutMs: 60_000 },
  service: { name: 's', slots: 1 },
  retryBudget: 0,
} as unknown as CallPolicy;
const TIMES = { deadline: 60_000, objective: 60_000 };
const SOURCE = { paused: false, pause: () => {}, resume: () => {}, abort: () => {} };

function completeAnswer(): StreamedAnswer {
  const answer = new StreamedAnswer(200, {}, SOURCE);
  answer.complete();
  return answer;
}

/** Two daemons: one loses power while calls are in flight there, the other responds at once. */
function createMesh(probe: () => Promise<ProbeResult>) {
  const clock = new ManualClock();
  const channels = {
    get: (address: Address) => ({
      lastReceivedAt: 0,
      send: (_call: unknown, signal: CancelController) => {
        let fail: (error: Error) => void = () => undefined;
        const reply = new Promise((resolve, reject) => {
          fail = reject;
          if (address !== UNPOWERED) resolve(completeAnswer());
        });
        const abort = () => fail(new ExchangeError('aborted', true, true));
        signal.addEventListener('abort', abort);
        return { reply, isSent: () => true, abort };
      },
    }),
    retire: () => undefined,
  } as unknown as CallChannels;
  const liveness = new PeerLiveness(
    probe,
    { ping: () => undefined, lastReceivedAt: () => undefined },
    { silenceMs: 20, recoveryProbeMs: 1 },
    new SystemClock(),
    { log: () => undefined },
  );
  const upstreams = [UNPOWERED, 'powered' as Address].map(
    (address) => ({ daemon: address, address, incarnation: 1 }) as unknown as Upstream,
  );
  const balancer = {
    choose: ({ exclude }: { exclude: ReadonlySet<string> }) =>
      upstreams.find(
        ({ daemon, address }) => !exclude.has(daemon) && !liveness.isUnresponsive(address),
      ),
    begin: () => undefined,
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
  let spent = 0;
  const withdraw = () => {
    spent += 1;
    return spent <= RETRY_BUDGET;
  };
  const budget = {
    deposit: () => undefined,
    retract: () => undefined,
    withdraw,
  } as unknown as RetryBudget;
  const outcomes: string[] = [];
  const cancel = new CancelController();
  const call = (method: string) => {
    const request = { method, path: '/', headers: [], body: null } as unknown as CallRequest;
    void new Call(request, POLICY, services, budget, createThrottle(), TIMES, 0).run(cancel).then(
      ({ status }) => outcomes.push(`${method} ${status}`),
      ({ message }: Error) => outcomes.push(`${method}: ${message}`),
    );
  };
  return { call, outcomes, liveness, cancel };
}

test('calls at a VM that loses power do not fail before its daemon counts as unreachable', async () => {
  let probes = 0;
  let outcomesAtTenthProbe: string[] = [];
  const { call, outcomes, liveness, cancel } = createMesh(async () => {
    probes += 1;
    await delay(1);
    if (probes === 10) outcomesAtTenthProbe = [...outcomes];
    return 'unconnected';
  });
  for (let number = 0; number < LOOKUPS; number += 1) call('GET');
  for (let number = 0; number < CHARGES; number += 1) call('POST');
  while (!liveness.isUnresponsive(UNPOWERED)) await delay(1);
  call('POST');
  while (outcomes.length < LOOKUPS + 1) await delay(1);
  const finalOutcomes = [...outcomes];
  liveness.reportResponse(UNPOWERED);
  liveness.dispose();
  cancel.abort('the test ends');
  const served = [...Array<string>(RETRY_BUDGET).fill('GET 200'), 'POST 200'];
  const reason = 'the daemon is unreachable: no connection to it came about for 12 probes';
  const lost = Array<string>(LOOKUPS - RETRY_BUDGET).fill(`GET: ${reason} (attempts: unpowered)`);
  assert.equal(outcomesAtTenthProbe.sort(), served);
  assert.equal(finalOutcomes.sort(), [...served, ...lost].sort());
  assert.ok(probes >= 12);
});

test.run();
