import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { DaemonId, RouteName, ServiceName } from '../common/Types';
import type { Balancer, PlacementCriteria, Upstream } from '../request/Types';
import type Rollout from './Rollout';
import RolloutRouter from './RolloutRouter';

const CRITERIA: PlacementCriteria = {
  service: 'stock' as ServiceName,
  route: 'stock' as RouteName,
  slots: 8,
  objectiveMs: 100,
  exclude: new Set(),
};

/** A router over upstreams `v1`, `v2` and `v3` that have been serving since the given times. */
function createRouter(since: Record<string, number>, rollout?: Partial<Rollout>, holdMs?: number) {
  const upstreams = Object.entries(since).map(([version, servingSince]) => ({
    daemon: version,
    version,
    servingSince,
  })) as unknown as Upstream[];
  const choose = ({ exclude }: PlacementCriteria) =>
    upstreams.find(({ daemon }) => !exclude.has(daemon));
  const clock = new ManualClock();
  clock.advance(10_000);
  const known = rollout && {
    sideOf: (version: string) => (version === 'v2' ? 'target' : 'old'),
    isBarred: (version: string) => version === 'v3',
    ...rollout,
  };
  return new RolloutRouter(
    { choose } as unknown as Balancer,
    { get: () => known as unknown as Rollout, begin: () => {}, end: () => {} },
    () => upstreams,
    () => holdMs,
    clock,
    new SeededRandom(1),
  );
}

// Guards against a share that is missed, and against retries at the version that just failed.
test('the target version gets its share of first attempts and no retries', () => {
  const router = createRouter({ v3: 0, v1: 0, v2: 0 }, { share: 0.1 });
  const first = Array.from({ length: 1_000 }, () => router.choose(CRITERIA)?.version);
  assert.is(first.filter((version) => version === 'v2').length, 100);
  assert.is(first.filter((version) => version === 'v1').length, 900);
  const exclude = new Set(['v2' as DaemonId]);
  const retries = Array.from({ length: 100 }, () => router.choose({ ...CRITERIA, exclude }));
  assert.ok(retries.every((upstream) => upstream?.version === 'v1'));
});

// Guards against calls to a rolled-back version when the others are gone, and to stopped upstreams.
test('a rolled-back version gets nothing; a completed one everything', () => {
  const rolledBack = createRouter({ v2: 0 }, { share: 0, mayStandIn: false });
  assert.is(rolledBack.choose(CRITERIA), undefined);
  const completed = createRouter({ v1: 0, v2: 0 }, { share: 1 });
  assert.is(completed.choose(CRITERIA)?.version, 'v2');
});

// Guards against calls to a version whose order hasn't arrived, and against a change where nothing is set.
test('a version that has just appeared beside another is held back only if the settings ask for it', () => {
  assert.is(createRouter({ v2: 9_000, v1: 0 }).choose(CRITERIA)?.version, 'v2');
  assert.is(createRouter({ v2: 9_000, v1: 0 }, undefined, 3_000).choose(CRITERIA)?.version, 'v1');
  assert.is(createRouter({ v2: 5_000, v1: 0 }, undefined, 3_000).choose(CRITERIA)?.version, 'v2');
  assert.is(createRouter({ v2: 9_000 }, undefined, 3_000).choose(CRITERIA)?.version, 'v2');
});

// Guards against a router that leaves the balancer without a measurement, such as the bytes of a route.
test('what is measured reaches the balancer', () => {
  const bytes: number[] = [];
  const inner = {
    recordBytes: (_service: ServiceName, _route: RouteName, count: number) => bytes.push(count),
  } as unknown as Balancer;
  const rollouts = { get: () => undefined, begin: () => {}, end: () => {} };
  const clock = new ManualClock();
  const router = new RolloutRouter(
    inner,
    rollouts,
    () => [],
    () => undefined,
    clock,
    new SeededRandom(1),
  );
  router.recordBytes(CRITERIA.service, CRITERIA.route, 90_000);
  assert.equal(bytes, [90_000]);
});

test.run();
