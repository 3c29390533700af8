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

const OWN = upstream('own', 'coq');
const OTHER = upstream('other', 'pine');
const IDLE: UpstreamLoad = {
  running: 4,
  waiting: 0,
  slots: SLOTS,
  waitMs: 0,
  durationMs: 90,
  failureShare: 0,
  lagMs: 0,
};

/** Share of calls that go to the own zone where its upstream reports a load. */
function ownShare(own: Partial<UpstreamLoad>, lost: readonly Address[] = []): number {
  const clock = new ManualClock();
  const balancer = new ForecastBalancer(
    { upstreams: () => [OWN, OTHER] },
    { isUnresponsive: (address) => lost.includes(address) },
    'coq' as ZoneName,
    clock,
    new SeededRandom(5),
  );
  const report = (target: Upstream, load: UpstreamLoad) => {
    balancer.begin(target);
    balancer.end(target, ROUTE, { kind: 'answered', latencyMs: load.durationMs!, load });
  };
  let chosen = 0;
  for (let call = 0; call < CALLS; call += 1) {
    report(OWN, { ...IDLE, ...own });
    report(OTHER, IDLE);
    const choice = balancer.choose({
      service: SERVICE,
      route: ROUTE,
      slots: SLOTS,
      objectiveMs: OBJECTIVE_MS,
      exclude: new Set(),
    });
    if (choice === OWN) chosen += 1;
    clock.advance(10);
  }
  return chosen / CALLS;
}

test('the own zone is kept while it serves as well, and left where another saves more', () => {
  const shares = {
    'as good': ownShare({}),
    'a little slower': ownShare({ durationMs: 120 }),
    'twice as slow': ownShare({ durationMs: 230 }),
    'full with a queue': ownShare({ running: SLOTS, waiting: 40 }),
    'failing a third': ownShare({ failureShare: 0.33 }),
    'without processor time': ownShare({ lagMs: 400 }),
    'out of reach': ownShare({}, [OWN.address]),
  };
  assert.snapshot(
    JSON.stringify(shares, undefined, 1),
    `{
 "as good": 1,
 "a little slower": 1,
 "twice as slow": 0,
 "full with a queue": 0,
 "failing a third": 0,
 "without processor time": 0,
 "out of reach": 0
}`,
  );
});

test('a report that has grown old counts no more', () => {
  const clock = new ManualClock();
  const balancer = new ForecastBalancer(
    { upstreams: () => [OWN, OTHER] },
    { isUnresponsive: () => false },
    'coq' as ZoneName,
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
  balancer.begin(OWN);
  const load = { ...IDLE, running: SLOTS, waiting: 40 };
  balancer.end(OWN, ROUTE, { kind: 'refused', load });
  assert.is(choose(), 'other');
  clock.advance(3_000);
  assert.is(choose(), 'own');
});

test.run();
