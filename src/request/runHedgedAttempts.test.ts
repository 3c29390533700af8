import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CancelController from './CancelController';
import runHedgedAttempts, { type Attempt } from './runHedgedAttempts';
import type { Answer } from './Types';

const NEVER = new AbortController().signal;

class FakeAnswer implements Answer {
  public readonly headers = {};

  public disposed = false;

  public constructor(
    public readonly name: string,
    public readonly status = 200,
  ) {}

  public pipe(): Promise<void> {
    return Promise.resolve();
  }

  public dispose(): void {
    this.disposed = true;
  }
}

/** Attempts that the test resolves or rejects. */
function createAttempts() {
  const settlers: { resolve: (answer: Answer) => void; reject: (error: Error) => void }[] = [];
  const cancelled: boolean[] = [];
  const attempt: Attempt = (cancel) => {
    const index = settlers.length;
    cancelled.push(false);
    cancel.addEventListener('abort', () => {
      cancelled[index] = true;
    });
    return new Promise((resolve, reject) => {
      settlers.push({ resolve, reject });
    });
  };
  return { attempt, settlers, cancelled };
}

async function untilTwoStarted(settlers: readonly unknown[]): Promise<void> {
  while (settlers.length < 2) await new Promise(setImmediate);
}

test('the first response wins and the other attempt is cancelled', async () => {
  const { attempt, settlers, cancelled } = createAttempts();
  const answer = runHedgedAttempts(attempt, () => attempt, 0, NEVER);
  await untilTwoStarted(settlers);
  settlers[1]!.resolve(new FakeAnswer('second'));
  assert.is(((await answer) as FakeAnswer).name, 'second');
  assert.equal(cancelled, [true, false]);
});

test('an attempt with a signal that is already aborted is cancelled', async () => {
  const cancel = new CancelController();
  cancel.abort('the caller left');
  let reason: unknown = 'not cancelled';
  const attempt: Attempt = (signal) => {
    reason = signal.aborted ? signal.reason : reason;
    return Promise.reject(new Error('cancelled'));
  };
  const error = await runHedgedAttempts(attempt, () => attempt, 0, cancel).catch(
    (thrown) => thrown,
  );
  assert.is((error as Error).message, 'cancelled');
  assert.is(reason, 'the caller left');
});

test('a response that arrives together with the winner is disposed', async () => {
  const { attempt, settlers } = createAttempts();
  const answer = runHedgedAttempts(attempt, () => attempt, 0, NEVER);
  await untilTwoStarted(settlers);
  const answers = [new FakeAnswer('first'), new FakeAnswer('second')];
  settlers[0]!.resolve(answers[0]!);
  settlers[1]!.resolve(answers[1]!);
  assert.is(((await answer) as FakeAnswer).name, 'first');
  await new Promise(setImmediate);
  assert.equal(
    answers.map(({ disposed }) => disposed),
    [false, true],
  );
});

test('fails only after all attempts have failed', async () => {
  const { attempt, settlers } = createAttempts();
  const answer = runHedgedAttempts(attempt, () => attempt, 0, NEVER);
  await untilTwoStarted(settlers);
  settlers[0]!.reject(new Error('first'));
  settlers[1]!.reject(new Error('second'));
  assert.is(await answer.catch(({ message }: Error) => message), 'second');
});

test('a silent upstream starts the second attempt before the delay, as soon as one is allowed', async () => {
  const { attempt, settlers } = createAttempts();
  const reportSilent: (() => void)[] = [];
  const silentArguments: boolean[] = [];
  const first: Attempt = (cancel, onSilent) => {
    reportSilent.push(onSilent);
    return attempt(cancel, onSilent);
  };
  const selectSecond = (allSilent: boolean) => {
    silentArguments.push(allSilent);
    return silentArguments.length < 2 ? undefined : attempt;
  };
  const answer = runHedgedAttempts(first, selectSecond, 60_000, NEVER);
  for (let report = 0; report < 3; report += 1) reportSilent[0]!();
  assert.equal(silentArguments, [true, true]);
  settlers[0]!.resolve(new FakeAnswer('the silent one'));
  assert.is(((await answer) as FakeAnswer).name, 'the silent one');
});

test('a refused second attempt is followed by another one while the upstream is silent', async () => {
  const { attempt, settlers } = createAttempts();
  let reportSilent: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    reportSilent = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = runHedgedAttempts(first, () => attempt, 60_000, NEVER);
  reportSilent();
  reportSilent();
  settlers[1]!.reject(new Error('the queue is full'));
  await new Promise(setImmediate);
  reportSilent();
  assert.is(settlers.length, 3);
  settlers[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
});

test('no second attempt is made after the caller has left', async () => {
  const { attempt, settlers } = createAttempts();
  const left = new AbortController();
  let reportSilent: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    reportSilent = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = runHedgedAttempts(first, () => attempt, 60_000, left.signal);
  left.abort();
  reportSilent();
  assert.is(settlers.length, 1);
  settlers[0]!.reject(new Error('given up'));
  assert.is(await answer.catch(({ message }: Error) => message), 'given up');
});

test('a third attempt is made when the daemons of both other attempts are silent', async () => {
  const { attempt, settlers } = createAttempts();
  const reportSilent: (() => void)[] = [];
  const recordedAttempt: Attempt = (cancel, onSilent) => {
    reportSilent.push(onSilent);
    return attempt(cancel, onSilent);
  };
  const answer = runHedgedAttempts(
    recordedAttempt,
    () => recordedAttempt,
    60_000,
    new CancelController(),
  );
  reportSilent[0]!();
  assert.is(settlers.length, 2);
  reportSilent[0]!();
  assert.is(settlers.length, 2, 'the second attempt may still get a response');
  reportSilent[1]!();
  assert.is(settlers.length, 3);
  settlers[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
});

test('no third attempt is made when only the first attempt is silent', async () => {
  const { attempt, settlers } = createAttempts();
  let reportSilent: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    reportSilent = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = runHedgedAttempts(first, () => attempt, 0, new CancelController());
  await untilTwoStarted(settlers);
  reportSilent();
  assert.is(settlers.length, 2);
  settlers[0]!.resolve(new FakeAnswer('first'));
  assert.is(((await answer) as FakeAnswer).name, 'first');
});

test('a failed response does not cancel the other attempt, whose success wins', async () => {
  const { attempt, settlers, cancelled } = createAttempts();
  const seconds: Attempt[] = [attempt];
  const answer = runHedgedAttempts(attempt, () => seconds.pop(), 0, new CancelController());
  await untilTwoStarted(settlers);
  const failure = new FakeAnswer('failure', 500);
  settlers[1]!.resolve(failure);
  await new Promise(setImmediate);
  assert.equal(cancelled, [false, false]);
  settlers[0]!.resolve(new FakeAnswer('first'));
  assert.is(((await answer) as FakeAnswer).name, 'first');
  assert.ok(failure.disposed);
});

test('a failed response starts a further attempt while the other one is open', async () => {
  const { attempt, settlers, cancelled } = createAttempts();
  const answer = runHedgedAttempts(attempt, () => attempt, 0, new CancelController());
  await untilTwoStarted(settlers);
  settlers[1]!.resolve(new FakeAnswer('failure', 500));
  await new Promise(setImmediate);
  assert.is(settlers.length, 3);
  settlers[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
  assert.equal(cancelled, [true, false, false]);
});

test('a failed response is returned if the other attempt also fails', async () => {
  const rows: string[] = [];
  for (const end of ['failure', 'error'] as const) {
    const { attempt, settlers } = createAttempts();
    const seconds: Attempt[] = [attempt];
    const answer = runHedgedAttempts(attempt, () => seconds.pop(), 0, new CancelController());
    await untilTwoStarted(settlers);
    settlers[1]!.resolve(new FakeAnswer('the second one', 503));
    await new Promise(setImmediate);
    if (end === 'error') settlers[0]!.reject(new Error('the daemon ended'));
    else settlers[0]!.resolve(new FakeAnswer('the first one', 500));
    const { name, status, disposed } = (await answer) as FakeAnswer;
    rows.push(`${end}: ${name}, ${status}, ${disposed ? 'disposed' : 'open'}`);
  }
  assert.snapshot(
    rows.join('\n'),
    `failure: the first one, 500, open
error: the second one, 503, open`,
  );
});

test('a failed response is returned at once if all open attempts are at silent daemons', async () => {
  const rows: string[] = [];
  for (const order of ['silent first', 'failed first'] as const) {
    const { attempt, settlers, cancelled } = createAttempts();
    let reportSilent: () => void = () => undefined;
    const first: Attempt = (cancel, onSilent) => {
      reportSilent = onSilent;
      return attempt(cancel, onSilent);
    };
    const seconds: Attempt[] = [attempt];
    const answer = runHedgedAttempts(first, () => seconds.pop(), 0, new CancelController());
    await untilTwoStarted(settlers);
    if (order === 'silent first') reportSilent();
    settlers[1]!.resolve(new FakeAnswer('failure', 500));
    await new Promise(setImmediate);
    if (order === 'failed first') reportSilent();
    rows.push(`${order}: ${((await answer) as FakeAnswer).name}, ${cancelled.join()}`);
  }
  assert.equal(rows, ['silent first: failure, true,false', 'failed first: failure, true,false']);
});

test.run();
