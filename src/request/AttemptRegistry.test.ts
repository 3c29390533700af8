import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { AttemptNumber, DaemonId, Incarnation } from '../common/Types';
import ManualClock from '../../stand-in/ManualClock';
import AttemptRegistry from './AttemptRegistry';
import type { AttemptId, AttemptState } from './Types';

const SEED = 20_261_204;
const HISTORIES = 10_000;
const OPTIONS = { rememberMs: 100, maxPerCaller: 3, maxCallers: 8 };

type Step =
  | { kind: 'arrive' | 'start' | 'end'; number: number }
  | { kind: 'fence'; number: number; giveUp: boolean }
  | { kind: 'wait'; ms: number };

const number = fc.integer({ min: 1, max: 12 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('arrive' as const, 'start' as const, 'end' as const), number }),
  fc.record({ kind: fc.constant('fence' as const), number, giveUp: fc.boolean() }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 80 }) }),
);

function idOf(attempt: number): AttemptId {
  return {
    daemon: 'caller' as DaemonId,
    incarnation: 1 as Incarnation,
    number: attempt as AttemptNumber,
  };
}

/** Remembers every attempt for ever: the naive version. */
class WholeRecord {
  public readonly states = new Map<number, AttemptState>();

  public readonly runs = new Map<number, number>();

  public readonly toldNotRun = new Set<number>();
}

/** Runs one history and lists broken promises. */
function faults(steps: readonly Step[], registry: AttemptRegistry, clock: ManualClock): string[] {
  const naive = new WholeRecord();
  const found: string[] = [];
  for (const current of steps) {
    if (current.kind === 'wait') {
      clock.advance(current.ms);
      continue;
    }
    const { number: attempt } = current;
    const id = idOf(attempt);
    const state = naive.states.get(attempt);
    if (current.kind === 'arrive') {
      const admitted = registry.begin(id);
      if (admitted && state !== undefined) {
        found.push(`attempt ${attempt} admitted in state ${state}`);
      }
      if (admitted) naive.states.set(attempt, 'queued');
    } else if (current.kind === 'start' && state === 'queued') {
      if (registry.start(id)) {
        naive.states.set(attempt, 'running');
        naive.runs.set(attempt, (naive.runs.get(attempt) ?? 0) + 1);
      } else {
        found.push(`queued attempt ${attempt} was lost`);
      }
    } else if (current.kind === 'end' && state === 'running') {
      registry.end(id, true);
      naive.states.set(attempt, 'done');
    } else if (current.kind === 'fence') {
      const answer = registry.fence(id, current.giveUp);
      if (answer === 'forbidden') {
        naive.toldNotRun.add(attempt);
        naive.states.set(attempt, 'forbidden');
      } else if (answer !== 'forgotten' && answer !== state) {
        found.push(`attempt ${attempt} is ${state}, told ${answer}`);
      }
    }
  }
  for (const [attempt, runs] of naive.runs) {
    if (runs > 1) found.push(`attempt ${attempt} ran ${runs} times`);
    if (naive.toldNotRun.has(attempt)) found.push(`attempt ${attempt} ran and was told not run`);
  }
  return found;
}

function failingHistories(create: (clock: ManualClock) => AttemptRegistry): number {
  let failing = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
      const clock = new ManualClock();
      if (faults(steps, create(clock), clock).length > 0) failing += 1;
    }),
    { seed: SEED, numRuns: HISTORIES },
  );
  return failing;
}

/** Forgets without raising its floor. */
class ForgetfulRegistry extends AttemptRegistry {
  public override fence(id: AttemptId, giveUp: boolean): AttemptState {
    const state = super.fence(id, giveUp);
    return state === 'forgotten' ? 'forbidden' : state;
  }
}

test('an attempt runs at most once and is told not run only where it never runs', () => {
  assert.is(
    failingHistories((clock) => new AttemptRegistry(OPTIONS, clock)),
    0,
  );
});

test('a registry that calls forgotten attempts not run is found out', () => {
  assert.ok(failingHistories((clock) => new ForgetfulRegistry(OPTIONS, clock)) > 0);
});

test('memory stays within its bounds', () => {
  const clock = new ManualClock();
  const registry = new AttemptRegistry(OPTIONS, clock);
  for (let attempt = 1; attempt <= 1_000; attempt += 1) {
    registry.begin(idOf(attempt));
    registry.start(idOf(attempt));
    registry.end(idOf(attempt), true);
  }
  assert.ok(registry.size <= OPTIONS.maxPerCaller + 1);
});

test.run();
