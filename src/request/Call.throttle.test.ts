import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import AdaptiveThrottle from './AdaptiveThrottle';
import Call, { type CallPolicy, type CallServices } from './Call';
import CancelController from './CancelController';
import NotRunError, { type NotRunDetails } from './NotRunError';
import type RetryBudget from './RetryBudget';
import type { Answer, CallRequest, Upstream } from './Types';

const REQUEST = { method: 'GET', path: '/', headers: [], body: null } as unknown as CallRequest;
const POLICY = {
  route: { name: 'r', idempotent: true, retries: 1, objectiveMs: 60_000, timeoutMs: 60_000 },
  service: { name: 's', slots: 1 },
  retryBudget: 1,
} as unknown as CallPolicy;
const TIMES = { deadline: 60_000, objective: 60_000 };
const BUDGET = {
  deposit: () => undefined,
  retract: () => undefined,
  withdraw: () => false,
} as unknown as RetryBudget;
const CALLS = 200;

/**
 * Runs calls one after the other at a single upstream, a refusal or an answer each.
 *
 * @param refusal - Details of the refusals; `undefined` if all calls are answered.
 * @returns How often calls were offered to the upstream, and the last result.
 */
async function runCalls(refusal: NotRunDetails | undefined): Promise<string> {
  let offers = 0;
  const services = {
    balancer: {
      choose: ({ exclude }: { exclude: ReadonlySet<string> }) =>
        exclude.has('full') ? undefined : ({ daemon: 'full' } as Upstream),
      begin: () => undefined,
      end: () => undefined,
      latencyMs: () => undefined,
      reportedLoad: () => undefined,
    },
    transport: {
      send: () => {
        offers += 1;
        if (refusal) return Promise.reject(new NotRunError('refused', refusal));
        return Promise.resolve({ status: 200 } as Answer);
      },
    },
    clock: new ManualClock(),
    lagMs: () => 0,
    waitedMs: () => 0,
    incarnation: () => 1,
    nextAttempt: () => 1,
    onAttempt: () => undefined,
  } as unknown as CallServices;
  const throttle = new AdaptiveThrottle(services.clock, new SeededRandom(3));
  let result = '';
  for (let number = 0; number < CALLS; number += 1) {
    const call = new Call(REQUEST, POLICY, services, BUDGET, throttle, TIMES, 0);
    result = await call.run(new CancelController()).then(
      ({ status }) => String(status),
      ({ message, details }: NotRunError) => `${message}, retry after ${details.retryAfterMs} ms`,
    );
  }
  return `${offers} offers of ${CALLS} calls, the last: ${result}`;
}

test('calls are rejected unoffered while upstreams refuse most of them for lack of slots', async () => {
  const rows = [
    `no slot is free: ${await runCalls({ retryAfterMs: 120 })}`,
    `the upstream itself refuses: ${await runCalls({ retryAfterMs: 120, reachedUpstream: true })}`,
    `the daemon restarted: ${await runCalls({})}`,
    `answered: ${await runCalls(undefined)}`,
  ];
  assert.snapshot(
    rows.join('\n'),
    `no slot is free: 74 offers of 200 calls, the last: most calls of the route are refused for lack of slots, retry after 120 ms
the upstream itself refuses: 200 offers of 200 calls, the last: refused (attempts: full), retry after 120 ms
the daemon restarted: 400 offers of 200 calls, the last: refused (attempts: full), retry after undefined ms
answered: 200 offers of 200 calls, the last: 200`,
  );
});

test.run();
