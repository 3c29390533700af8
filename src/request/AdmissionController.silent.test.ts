import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { RouteName } from '../common/Types';
import AdmissionController from './AdmissionController';

const LIMITS = { slots: 2, queue: 8, warmUpMs: 0 };
const USUAL_MS = 100;
const NEVER = new AbortController().signal;

/** Results of calls that wait or arrive while both slots hold calls for `heldMs`. */
async function resultsAfter(heldMs: number, hasOthers: boolean, attempts = 1): Promise<string[]> {
  const clock = new ManualClock();
  const admission = new AdmissionController(LIMITS, clock, 0, () => hasOthers);
  const request = {
    route: 'lookup' as RouteName,
    priority: 0,
    deadline: 60_000,
    objective: 60_000,
    attempts,
  };
  const results: string[] = [];
  const acquire = (name: string) =>
    admission.acquire(request, NEVER).then(
      () => results.push(`${name} runs`),
      (error: Error) => results.push(`${name}: ${error.message}`),
    );
  for (let call = 0; call < 20; call += 1) {
    const release = await admission.acquire(request, NEVER);
    clock.advance(USUAL_MS);
    release();
  }
  await Promise.all([admission.acquire(request, NEVER), admission.acquire(request, NEVER)]);
  void acquire('waiting');
  clock.advance(heldMs);
  void acquire('arriving');
  // The queue is checked by a timer every 50 ms.
  await new Promise((resolve) => {
    setTimeout(resolve, 120);
  });
  return results.sort();
}

test('calls are not left to wait at an upstream that has fallen silent', async () => {
  const silent = [
    'arriving: the upstream has fallen silent',
    'waiting: the upstream has fallen silent',
  ];
  assert.equal(await resultsAfter(350, true), silent);
});

test('calls wait at an upstream that is 2.5 times slower, and at the only one', async () => {
  assert.equal(await resultsAfter(250, true), []);
  assert.equal(await resultsAfter(350, false), []);
});

test('a call that was refused elsewhere waits, as a second refusal would end it', async () => {
  assert.equal(await resultsAfter(350, true, 2), []);
});

test.run();
