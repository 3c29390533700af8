import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PlacementReplay, { type ReplayOptions } from '../../stand-in/PlacementReplay';
import type { RouteName, ServiceName } from '../common/Types';
import SmoothWeightedRoundRobin from '../version/SmoothWeightedRoundRobin';

const ZONES = ['a', 'b', 'c'];
const UPSTREAMS = 8;
const SLOTS = 4;
const MEAN_MS = 100;
const DAEMONS = 6;
/** Calls per second and daemon that use all slots of a zone. */
const FULL_RATE = (UPSTREAMS * SLOTS * 1_000) / MEAN_MS / DAEMONS;
/** Time after which the shares have settled, in milliseconds. */
const SETTLED_MS = 5_000;

const upstreams = (zone: string, service = 'stock') =>
  Array.from({ length: UPSTREAMS }, () => ({ zone, slots: SLOTS, speed: 1, service }));

/** Replays 20 s with a given utilisation of each zone by its own callers. */
function replay(
  utilisations: readonly number[],
  options: Partial<ReplayOptions> = {},
  seconds = 20,
): PlacementReplay {
  const fleet = new PlacementReplay({
    seed: 7,
    daemonZones: ZONES.flatMap((zone) => Array.from({ length: DAEMONS }, () => zone)),
    upstreams: ZONES.flatMap((zone) => upstreams(zone)),
    meanMs: MEAN_MS,
    rateAt: (zone) => utilisations[ZONES.indexOf(zone)]! * FULL_RATE,
    ...options,
  });
  fleet.run(seconds * 1_000);
  return fleet;
}

/** Calls of a zone after the shares have settled. */
function callsOf(fleet: PlacementReplay, from: string) {
  return fleet.results.filter((call) => call.from === from && call.at > SETTLED_MS);
}

function leavingShare(fleet: PlacementReplay, from: string): number {
  const calls = callsOf(fleet, from);
  return calls.filter(({ to }) => to !== from).length / calls.length;
}

function meanWaitMs(fleet: PlacementReplay, from: string): number {
  const calls = callsOf(fleet, from);
  return calls.reduce((sum, { waitMs }) => sum + waitMs, 0) / calls.length;
}

const unserved = ({ results }: PlacementReplay) => results.filter(({ served }) => !served).length;

test('no share leaves zones whose own upstreams suffice', () => {
  const fleet = replay([0.7, 0.7, 0.7]);
  assert.equal(fleet.changes, []);
  for (const zone of ZONES) assert.ok(leavingShare(fleet, zone) < 0.06);
  assert.is(unserved(fleet), 0);
});

test('what a zone lacks leaves it, and the shares of its daemons neither differ nor oscillate', () => {
  const fleet = replay([1.3, 0.5, 0.5]);
  const history: number[] = [];
  for (let second = 0; second < 10; second += 1) {
    fleet.run(1_000);
    const shares = fleet.shares('a').map((share) => share ?? 0);
    assert.ok(Math.max(...shares) - Math.min(...shares) < 0.12, 'the daemons disagree');
    history.push(shares.reduce((sum, share) => sum + share, 0) / shares.length);
  }
  assert.ok(Math.max(...history) - Math.min(...history) < 0.06, 'the share oscillates');
  // Without leaving, 0.3 of the 1.3 could never be served.
  assert.ok(Math.min(...history) > 0.3 / 1.3);
  assert.is(unserved(fleet), 0);
  assert.ok(meanWaitMs(fleet, 'a') < 0.25 * MEAN_MS);
  for (const zone of ['b', 'c']) assert.ok(leavingShare(fleet, zone) < 0.05);
});

test('a share is withdrawn when the zone has enough again', () => {
  const fleet = replay([0, 0, 0], {
    rateAt: (zone, now) => (zone === 'a' && now > 5_000 && now < 10_000 ? 1.4 : 0.5) * FULL_RATE,
  });
  const last = fleet.results.filter(({ from, at }) => from === 'a' && at > 17_000);
  assert.ok(last.filter(({ to }) => to !== 'a').length / last.length < 0.05);
  assert.is(unserved(fleet), 0);
});

test('two zones that are short at once share the room of the third, which keeps its own calls', () => {
  const fleet = replay([1.15, 1.15, 0.4]);
  assert.is(unserved(fleet), 0);
  assert.ok(meanWaitMs(fleet, 'a') < MEAN_MS);
  assert.ok(meanWaitMs(fleet, 'b') < MEAN_MS);
  assert.ok(leavingShare(fleet, 'c') < 0.2);
});

test('where all zones are short, no share leaves', () => {
  const fleet = replay([1.2, 1.2, 1.2]);
  for (const zone of ZONES) {
    for (const share of fleet.shares(zone)) assert.ok((share ?? 0) < 0.06);
  }
});

test('a zone that is cut off keeps its calls', () => {
  const fleet = replay([1.2, 0.5, 0.5], {
    isCut: (from, to, now) => now > 10_000 && from !== to && (from === 'a' || to === 'a'),
  });
  const afterwards = fleet.results.filter(({ at }) => at > 10_000);
  assert.ok(afterwards.every(({ from, to, served }) => !served || (from === 'a') === (to === 'a')));
  assert.ok(afterwards.filter(({ from, to }) => from === 'a' && to === 'a').length > 2_000);
});

test('all calls of a zone without upstreams leave it', () => {
  const fleet = replay([0.4, 0.5, 0.5], {
    upstreams: ['b', 'c'].flatMap((zone) => upstreams(zone)),
  });
  assert.is(leavingShare(fleet, 'a'), 1);
  assert.is(unserved(fleet), 0);
});

test('a split keeps its weights where one of its services is short in the zone', () => {
  const split = new SmoothWeightedRoundRobin([
    { service: 'stock' as ServiceName, weight: 70 },
    { service: 'trial' as ServiceName, weight: 30 },
  ]);
  const fleet = replay([1.6, 0.5, 0.5], {
    upstreams: ZONES.flatMap((zone) => [...upstreams(zone), ...upstreams(zone, 'trial')]),
    pickService: () => split.next(),
  });
  const stock = fleet.results.filter(({ service }) => service === 'stock').length;
  assert.ok(Math.abs(stock / fleet.results.length - 0.7) < 0.01);
  assert.ok(fleet.shares('a', 'stock').every((share) => share! > 0.05));
  assert.ok(fleet.shares('a', 'trial').every((share) => share === 0));
});

test('routes with small responses leave first', () => {
  const routes = [
    { name: 'lookup', share: 0.5, bytes: 400 },
    { name: 'bundle', share: 0.5, bytes: 90_000 },
  ];
  const fleet = replay([1.2, 0.5, 0.5], { routes });
  const left = (route: string) =>
    callsOf(fleet, 'a').filter((call) => call.route === route && call.to !== 'a').length;
  assert.ok(left('lookup') > 5 * left('bundle'));
  const { overflow } = fleet.callers[0]!;
  const costMs = (route: string) =>
    overflow.bytesCostMs('stock' as ServiceName, route as RouteName);
  assert.ok(costMs('bundle') > 80);
  assert.ok(costMs('lookup') < 5);
});

test.run();
