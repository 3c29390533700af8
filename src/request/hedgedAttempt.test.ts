import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CancelSource from './CancelSource';
import hedgedAttempt, { type Attempt } from './hedgedAttempt';
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

/** Two attempts that are answered, or fail, when the test says so. */
function pair() {
  const ends: { resolve: (answer: Answer) => void; reject: (error: Error) => void }[] = [];
  const cancelled: boolean[] = [];
  const attempt: Attempt = (cancel) => {
    const index = ends.length;
    cancelled.push(false);
    cancel.addEventListener('abort', () => {
      cancelled[index] = true;
    });
    return new Promise((resolve, reject) => {
      ends.push({ resolve, reject });
    });
  };
  return { attempt, ends, cancelled };
}

async function bothOpen(ends: readonly unknown[]): Promise<void> {
  while (ends.length < 2) await new Promise(setImmediate);
}

test('the first answer wins and the other attempt is cancelled', async () => {
  const { attempt, ends, cancelled } = pair();
  const answer = hedgedAttempt(attempt, () => attempt, 0, NEVER);
  await bothOpen(ends);
  ends[1]!.resolve(new FakeAnswer('second'));
  assert.is(((await answer) as FakeAnswer).name, 'second');
  assert.equal(cancelled, [true, false]);
});

test('an attempt under a signal that was aborted before is cancelled too', async () => {
  const cancel = new CancelSource();
  cancel.abort('the caller left');
  let reason: unknown = 'not cancelled';
  const attempt: Attempt = (signal) => {
    reason = signal.aborted ? signal.reason : reason;
    return Promise.reject(new Error('cancelled'));
  };
  const error = await hedgedAttempt(attempt, () => attempt, 0, cancel).catch((thrown) => thrown);
  assert.is((error as Error).message, 'cancelled');
  assert.is(reason, 'the caller left');
});

test('an answer that comes together with the winner is given up', async () => {
  const { attempt, ends } = pair();
  const answer = hedgedAttempt(attempt, () => attempt, 0, NEVER);
  await bothOpen(ends);
  const answers = [new FakeAnswer('first'), new FakeAnswer('second')];
  ends[0]!.resolve(answers[0]!);
  ends[1]!.resolve(answers[1]!);
  assert.is(((await answer) as FakeAnswer).name, 'first');
  await new Promise(setImmediate);
  assert.equal(
    answers.map(({ disposed }) => disposed),
    [false, true],
  );
});

test('fails only when every attempt has failed', async () => {
  const { attempt, ends } = pair();
  const answer = hedgedAttempt(attempt, () => attempt, 0, NEVER);
  await bothOpen(ends);
  ends[0]!.reject(new Error('first'));
  ends[1]!.reject(new Error('second'));
  assert.is(await answer.catch(({ message }: Error) => message), 'second');
});

test('a silent upstream brings the second attempt forward, as soon as one may be made', async () => {
  const { attempt, ends } = pair();
  const signs: (() => void)[] = [];
  const asked: boolean[] = [];
  const first: Attempt = (cancel, onSilent) => {
    signs.push(onSilent);
    return attempt(cancel, onSilent);
  };
  const second = (silent: boolean) => {
    asked.push(silent);
    return asked.length < 2 ? undefined : attempt;
  };
  const answer = hedgedAttempt(first, second, 60_000, NEVER);
  for (let sign = 0; sign < 3; sign += 1) signs[0]!();
  assert.equal(asked, [true, true]);
  ends[0]!.resolve(new FakeAnswer('the silent one'));
  assert.is(((await answer) as FakeAnswer).name, 'the silent one');
});

test('a second attempt that was refused is followed by another while the upstream is silent', async () => {
  const { attempt, ends } = pair();
  let sign: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    sign = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = hedgedAttempt(first, () => attempt, 60_000, NEVER);
  sign();
  sign();
  ends[1]!.reject(new Error('the queue is full'));
  await new Promise(setImmediate);
  sign();
  assert.is(ends.length, 3);
  ends[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
});

test('no second attempt is made for a caller who has left', async () => {
  const { attempt, ends } = pair();
  const left = new AbortController();
  let sign: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    sign = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = hedgedAttempt(first, () => attempt, 60_000, left.signal);
  left.abort();
  sign();
  assert.is(ends.length, 1);
  ends[0]!.reject(new Error('given up'));
  assert.is(await answer.catch(({ message }: Error) => message), 'given up');
});

test('a third attempt is made where the daemons of both others are silent', async () => {
  const { attempt, ends } = pair();
  const signs: (() => void)[] = [];
  const noted: Attempt = (cancel, onSilent) => {
    signs.push(onSilent);
    return attempt(cancel, onSilent);
  };
  const answer = hedgedAttempt(noted, () => noted, 60_000, new CancelSource());
  signs[0]!();
  assert.is(ends.length, 2);
  signs[0]!();
  assert.is(ends.length, 2, 'the second one may be answered yet');
  signs[1]!();
  assert.is(ends.length, 3);
  ends[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
});

test('the delay of a straggler makes no third attempt', async () => {
  const { attempt, ends } = pair();
  let sign: () => void = () => undefined;
  const first: Attempt = (cancel, onSilent) => {
    sign = onSilent;
    return attempt(cancel, onSilent);
  };
  const answer = hedgedAttempt(first, () => attempt, 0, new CancelSource());
  await bothOpen(ends);
  sign();
  assert.is(ends.length, 2);
  ends[0]!.resolve(new FakeAnswer('first'));
  assert.is(((await answer) as FakeAnswer).name, 'first');
});

test('an answer that is a failure does not cancel the attempt that may be answered better', async () => {
  const { attempt, ends, cancelled } = pair();
  const seconds: Attempt[] = [attempt];
  const answer = hedgedAttempt(attempt, () => seconds.pop(), 0, new CancelSource());
  await bothOpen(ends);
  const failure = new FakeAnswer('failure', 500);
  ends[1]!.resolve(failure);
  await new Promise(setImmediate);
  assert.equal(cancelled, [false, false]);
  ends[0]!.resolve(new FakeAnswer('first'));
  assert.is(((await answer) as FakeAnswer).name, 'first');
  assert.ok(failure.disposed);
});

test('an answer that is a failure is followed by another attempt beside the open one', async () => {
  const { attempt, ends, cancelled } = pair();
  const answer = hedgedAttempt(attempt, () => attempt, 0, new CancelSource());
  await bothOpen(ends);
  ends[1]!.resolve(new FakeAnswer('failure', 500));
  await new Promise(setImmediate);
  assert.is(ends.length, 3);
  ends[2]!.resolve(new FakeAnswer('third'));
  assert.is(((await answer) as FakeAnswer).name, 'third');
  assert.equal(cancelled, [true, false, false]);
});

test('an answer that is a failure is passed on if the other attempt comes to nothing better', async () => {
  const rows: string[] = [];
  for (const end of ['failure', 'error'] as const) {
    const { attempt, ends } = pair();
    const seconds: Attempt[] = [attempt];
    const answer = hedgedAttempt(attempt, () => seconds.pop(), 0, new CancelSource());
    await bothOpen(ends);
    ends[1]!.resolve(new FakeAnswer('the second one', 503));
    await new Promise(setImmediate);
    if (end === 'error') ends[0]!.reject(new Error('the daemon ended'));
    else ends[0]!.resolve(new FakeAnswer('the first one', 500));
    const { name, status, disposed } = (await answer) as FakeAnswer;
    rows.push(`${end}: ${name}, ${status}, ${disposed ? 'given up' : 'open'}`);
  }
  assert.snapshot(
    rows.join('\n'),
    `failure: the first one, 500, open
error: the second one, 503, open`,
  );
});

test('an answer that is a failure is not held back for attempts at silent daemons', async () => {
  const rows: string[] = [];
  for (const order of ['silent first', 'failed first'] as const) {
    const { attempt, ends, cancelled } = pair();
    let sign: () => void = () => undefined;
    const first: Attempt = (cancel, onSilent) => {
      sign = onSilent;
      return attempt(cancel, onSilent);
    };
    const seconds: Attempt[] = [attempt];
    const answer = hedgedAttempt(first, () => seconds.pop(), 0, new CancelSource());
    await bothOpen(ends);
    if (order === 'silent first') sign();
    ends[1]!.resolve(new FakeAnswer('failure', 500));
    await new Promise(setImmediate);
    if (order === 'failed first') sign();
    rows.push(`${order}: ${((await answer) as FakeAnswer).name}, ${cancelled.join()}`);
  }
  assert.equal(rows, ['silent first: failure, true,false', 'failed first: failure, true,false']);
});

test.run();
