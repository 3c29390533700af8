import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createThrottle from '../../stand-in/createThrottle';
import ManualClock from '../../stand-in/ManualClock';
import Call, { type CallServices, type CallPolicy } from './Call';
import CALLER_LEFT from './callerLeft';
import CancelController from './CancelController';
import NotRunError from './NotRunError';
import type RetryBudget from './RetryBudget';
import type { CallRequest, Upstream } from './Types';

const LONG_TURN_MS = 800;
const REQUEST = { method: 'GET', path: '/', headers: [], body: null } as unknown as CallRequest;
const POLICY = {
  route: { name: 'r', idempotent: true, retries: 1, objectiveMs: 60_000, timeoutMs: 60_000 },
  service: { name: 's', slots: 1 },
  retryBudget: 1,
} as unknown as CallPolicy;

/**
 * Runs a call whose caller closes its connection. Every attempt is refused.
 *
 * @param cancel - Aborted when the caller's connection closes.
 * @param onSend - Called when an attempt is sent.
 * @returns The daemons that attempts were sent to, and the error of the call.
 */
async function runCall(cancel: CancelController, onSend: () => void) {
  const sent: string[] = [];
  const services = {
    balancer: {
      choose: ({ exclude }: { exclude: ReadonlySet<string> }) =>
        ['full', 'spare']
          .map((daemon) => ({ daemon }) as Upstream)
          .find(({ daemon }) => !exclude.has(daemon)),
      begin: () => undefined,
      end: () => undefined,
      latencyMs: () => undefined,
      reportedLoad: () => undefined,
    },
    transport: {
      send: ({ daemon }: Upstream) => {
        sent.push(daemon);
        onSend();
        return Promise.reject(new NotRunError('the queue is full'));
      },
    },
    clock: new ManualClock(),
    lagMs: () => 0,
    waitedMs: () => LONG_TURN_MS,
    incarnation: () => 1,
    nextAttempt: () => 1,
    onAttempt: () => undefined,
  } as unknown as CallServices;
  const budget = {
    deposit: () => undefined,
    retract: () => undefined,
    withdraw: () => true,
  } as unknown as RetryBudget;
  const times = { deadline: 60_000, objective: 60_000 };
  const call = new Call(REQUEST, POLICY, services, budget, createThrottle(), times, 0);
  const error = await call.run(cancel).catch((thrown: Error) => thrown);
  return { sent, error };
}

test('a refused call is not retried if its caller left during the same event loop turn', async () => {
  const cancel = new CancelController();
  const { sent, error } = await runCall(cancel, () => {
    // The refusal is processed before the close of the caller's connection.
    setImmediate(() => cancel.abort(CALLER_LEFT));
  });
  assert.equal(sent, ['full']);
  assert.instance(error, NotRunError);
});

test('a call whose caller left before it started is not sent', async () => {
  const cancel = new CancelController();
  cancel.abort(CALLER_LEFT);
  const { sent, error } = await runCall(cancel, () => undefined);
  assert.equal(sent, []);
  assert.instance(error, NotRunError);
});

test.run();
