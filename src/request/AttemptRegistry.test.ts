import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { AttemptNumber, DaemonId, Incarnation } from '../common/Types';
import ManualClock from '../../stand-in/ManualClock';
import AttemptRegistry from './AttemptRegistry';
import type { AttemptId, AttemptState } from './Types';

const SEED = 20_261_204;
const HISTORIES = 10_000;
const OPTIONS = { retentionMs: 100, maxAttemptsPerDaemon: 3, maxDaemons: 8 };

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

/** Reference model of the registry: remembers every attempt, without limits of time or number. */
class ReferenceModel {
  public readonly states = new Map<number, AttemptState>();

  public readonly runs = new Map<number, number>();

  public readonly forbidden = new Set<number>();
}

/**
 * Runs one sequence of steps against the registry and the reference model and lists violated
 * guarantees.
 */
function findViolations(
  steps: readonly Step[],
  registry: AttemptRegistry,
  clock: ManualClock,
): string[] {
  const model = new ReferenceModel();
  const violations: string[] = [];
  for (const next of steps) {
    if (next.kind === 'wait') {
      clock.advance(next.ms);
      continue;
    }
    const { number: attempt } = next;
    const id = idOf(attempt);
    const state = model.states.get(attempt);
    if (next.kind === 'arrive') {
      const admitted = registry.admit(id);
      if (admitted && state !== undefined) {
        violations.push(`attempt ${attempt} admitted in state ${state}`);
      }
      if (admitted) model.states.set(attempt, 'queued');
    } else if (next.kind === 'start' && state === 'queued') {
      if (registry.start(id)) {
        model.states.set(attempt, 'running');
        model.runs.set(attempt, (model.runs.get(attempt) ?? 0) + 1);
      } else {
        violations.push(`queued attempt ${attempt} did not start`);
      }
    } else if (next.kind === 'end' && state === 'running') {
      registry.end(id, true);
      model.states.set(attempt, 'done');
    } else if (next.kind === 'fence') {
      const reported = registry.fence(id, next.giveUp);
      if (reported === 'forbidden') {
        model.forbidden.add(attempt);
        model.states.set(attempt, 'forbidden');
      } else if (reported !== 'forgotten' && reported !== state) {
        violations.push(`attempt ${attempt} is ${state}, reported as ${reported}`);
      }
    }
  }
  for (const [attempt, runs] of model.runs) {
    if (runs > 1) violations.push(`attempt ${attempt} ran ${runs} times`);
    if (model.forbidden.has(attempt)) violations.push(`attempt ${attempt} ran although forbidden`);
  }
  return violations;
}

function failingHistories(create: (clock: ManualClock) => AttemptRegistry): number {
  let failing = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
      const clock = new ManualClock();
      if (findViolations(steps, create(clock), clock).length > 0) failing += 1;
    }),
    { seed: SEED, numRuns: HISTORIES },
  );
  return failing;
}

/** Faulty registry that reports forgotten attempts as forbidden, although they may have run. */
class ForgetfulRegistry extends AttemptRegistry {
  public override fence(id: AttemptId, giveUp: boolean): AttemptState {
    const state = super.fence(id, giveUp);
    return state === 'forgotten' ? 'forbidden' : state;
  }
}

test('an attempt runs at most once and is reported as forbidden only if it never runs', () => {
  assert.is(
    failingHistories((clock) => new AttemptRegistry(OPTIONS, clock)),
    0,
  );
});

test('a registry that reports forgotten attempts as forbidden fails the property', () => {
  assert.ok(failingHistories((clock) => new ForgetfulRegistry(OPTIONS, clock)) > 0);
});

test('the number of remembered attempts stays within the limit', () => {
  const clock = new ManualClock();
  const registry = new AttemptRegistry(OPTIONS, clock);
  for (let attempt = 1; attempt <= 1_000; attempt += 1) {
    registry.admit(idOf(attempt));
    registry.start(idOf(attempt));
    registry.end(idOf(attempt), true);
  }
  assert.ok(registry.size <= OPTIONS.maxAttemptsPerDaemon + 1);
});

test.run();
