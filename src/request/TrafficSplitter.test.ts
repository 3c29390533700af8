import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import type { RouteName, ServiceName } from '../common/Types';
import type { Route } from '../version/Types';
import TrafficSplitter from './TrafficSplitter';

const CALLS = 300;
const DAEMONS = 13;

function split(weights: Readonly<Record<string, number>>): Route {
  return {
    name: 'lookup' as RouteName,
    host: undefined,
    targets: Object.entries(weights).map(([service, weight]) => ({
      service: service as ServiceName,
      weight,
    })),
    path: '/',
    methods: ['GET'],
    timeoutMs: 1_000,
    objectiveMs: 1_000,
    idempotent: undefined,
    priority: 0,
    hedge: false,
    retries: 0,
    isPublic: false,
    closed: undefined,
  };
}

/** Difference between the share of calls that the service `light` gets and its weight of 0.1. */
function shareError(next: () => ServiceName): number {
  let light = 0;
  for (let call = 0; call < CALLS; call += 1) if (next() === 'light') light += 1;
  return Math.abs(light / CALLS - 0.1);
}

test('shares of 300 calls deviate by at most 0.01, unlike those of random choices', () => {
  const random = new SeededRandom(7);
  const roundRobin: number[] = [];
  const randomChoice: number[] = [];
  for (let daemon = 0; daemon < DAEMONS; daemon += 1) {
    const splits = new TrafficSplitter();
    const route = split({ heavy: 90, light: 10 });
    roundRobin.push(shareError(() => splits.next(route)));
    randomChoice.push(
      shareError(() => (random.below(100) < 10 ? 'light' : 'heavy') as ServiceName),
    );
  }
  assert.ok(Math.max(...roundRobin) <= 0.01, `round robin: ${Math.max(...roundRobin)}`);
  assert.ok(Math.max(...randomChoice) > 0.01, `random choice: ${Math.max(...randomChoice)}`);
});

test('a new configuration version with the same split keeps the round-robin state', () => {
  const splits = new TrafficSplitter();
  const chosen: ServiceName[] = [];
  // A new configuration version arrives before every call.
  for (let call = 0; call < 20; call += 1) chosen.push(splits.next(split({ heavy: 9, light: 1 })));
  assert.is(chosen.filter((service) => service === 'light').length, 2);
  assert.is(splits.next(split({ heavy: 1, light: 9 })), 'light');
});

test.run();
