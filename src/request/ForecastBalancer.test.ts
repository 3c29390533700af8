import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type {
  Address,
  DaemonId,
  Incarnation,
  RouteName,
  ServiceName,
  ZoneName,
} from '../common/Types';
import ForecastBalancer from './ForecastBalancer';
import type { Upstream, UpstreamLoad } from './Types';
import ZoneOverflow from './ZoneOverflow';

const SERVICE = 'stock' as ServiceName;
const ROUTE = 'lookup' as RouteName;
const OBJECTIVE_MS = 300;
const SLOTS = 18;
const CALLS = 200;

function upstream(name: string, zone: string): Upstream {
  return {
    service: SERVICE,
    daemon: name as DaemonId,
    incarnation: 1 as Incarnation,
    address: name as Address,
    zone: zone as ZoneName,
    suspect: false,
    healthHint: true,
    servingSince: -10_000,
    slots: SLOTS,
  };
}

const SAME_ZONE_UPSTREAM = upstream('own', 'coq');
const OTHER_ZONE_UPSTREAM = upstream('other', 'pine');
const LOW_LOAD: UpstreamLoad = {
  running: 4,
  waiting: 0,
  slots: SLOTS,
  waitMs: 0,
  durationMs: 90,
  failureShare: 0,
  lagMs: 0,
};

function createOverflow(clock: ManualClock): ZoneOverflow {
  const costs = { kilobyteMs: 1, roundTripMs: () => 2 };
  return new ZoneOverflow('coq' as ZoneName, costs, clock, { log: () => undefined });
}

/** Share of calls sent to the upstream in the daemon's zone while it reports the given load. */
function shareOfOwnZone(own: Partial<UpstreamLoad>, unresponsive: readonly Address[] = []): number {
  const clock = new ManualClock();
  const balancer = new ForecastBalancer(
    { upstreams: () => [SAME_ZONE_UPSTREAM, OTHER_ZONE_UPSTREAM] },
    { isUnresponsive: (address) => unresponsive.includes(address) },
    'coq' as ZoneName,
    createOverflow(clock),
    clock,
    new SeededRandom(5),
  );
  const report = (target: Upstream, load: UpstreamLoad) => {
    balancer.begin(target);
    balancer.end(target, ROUTE, { kind: 'answered', latencyMs: load.durationMs!, load });
  };
  let chosen = 0;
  for (let call = 0; call < CALLS; call += 1) {
    report(SAME_ZONE_UPSTREAM, { ...LOW_LOAD, ...own });
    report(OTHER_ZONE_UPSTREAM, LOW_LOAD);
    const choice = balancer.choose({
      service: SERVICE,
      route: ROUTE,
      slots: SLOTS,
      objectiveMs: OBJECTIVE_MS,
      exclude: new Set(),
    });
    if (choice === SAME_ZONE_UPSTREAM) chosen += 1;
    clock.advance(10);
  }
  return chosen / CALLS;
}

test('calls stay in the own zone until its load, failures or lag make another zone cheaper', () => {
  const shares = {
    'equal load': shareOfOwnZone({}),
    'slightly slower': shareOfOwnZone({ durationMs: 120 }),
    'twice as slow': shareOfOwnZone({ durationMs: 230 }),
    'full, with a queue': shareOfOwnZone({ running: SLOTS, waiting: 40 }),
    'a third of the calls fails': shareOfOwnZone({ failureShare: 0.33 }),
    'event loop lag': shareOfOwnZone({ lagMs: 400 }),
    'unresponsive daemon': shareOfOwnZone({}, [SAME_ZONE_UPSTREAM.address]),
  };
  assert.snapshot(
    JSON.stringify(shares, undefined, 1),
    `{
 "equal load": 1,
 "slightly slower": 1,
 "twice as slow": 0,
 "full, with a queue": 0,
 "a third of the calls fails": 0,
 "event loop lag": 0,
 "unresponsive daemon": 0
}`,
  );
});

test('a stale load report is ignored', () => {
  const clock = new ManualClock();
  const balancer = new ForecastBalancer(
    { upstreams: () => [SAME_ZONE_UPSTREAM, OTHER_ZONE_UPSTREAM] },
    { isUnresponsive: () => false },
    'coq' as ZoneName,
    createOverflow(clock),
    clock,
    new SeededRandom(5),
  );
  const choose = () =>
    balancer.choose({
      service: SERVICE,
      route: ROUTE,
      slots: SLOTS,
      objectiveMs: OBJECTIVE_MS,
      exclude: new Set(),
    })?.daemon;
  balancer.begin(SAME_ZONE_UPSTREAM);
  const load = { ...LOW_LOAD, running: SLOTS, waiting: 40 };
  balancer.end(SAME_ZONE_UPSTREAM, ROUTE, { kind: 'refused', load });
  assert.is(choose(), 'other');
  clock.advance(3_000);
  assert.is(choose(), 'own');
});

test.run();
