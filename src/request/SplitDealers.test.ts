import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import type { RouteName, ServiceName } from '../common/Types';
import type { Route } from '../version/Types';
import SplitDealers from './SplitDealers';

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
  };
}

/** Largest distance of a daemon's share from its weight, over runs of calls. */
function worstError(deal: () => ServiceName): number {
  let light = 0;
  for (let call = 0; call < CALLS; call += 1) if (deal() === 'light') light += 1;
  return Math.abs(light / CALLS - 0.1);
}

test('shares of 300 calls hold to a hundredth, where independent draws miss them', () => {
  const random = new SeededRandom(7);
  const dealt: number[] = [];
  const drawn: number[] = [];
  for (let daemon = 0; daemon < DAEMONS; daemon += 1) {
    const dealers = new SplitDealers();
    const route = split({ heavy: 90, light: 10 });
    dealt.push(worstError(() => dealers.next(route)));
    drawn.push(worstError(() => (random.below(100) < 10 ? 'light' : 'heavy') as ServiceName));
  }
  assert.ok(Math.max(...dealt) <= 0.01, `dealt: ${Math.max(...dealt)}`);
  assert.ok(Math.max(...drawn) > 0.01, `drawn: ${Math.max(...drawn)}`);
});

test('versions that leave a split as it was do not restart its turns', () => {
  const dealers = new SplitDealers();
  const turns: ServiceName[] = [];
  // A storm of versions: a new one before every call.
  for (let call = 0; call < 20; call += 1) turns.push(dealers.next(split({ heavy: 9, light: 1 })));
  assert.is(turns.filter((service) => service === 'light').length, 2);
  assert.is(dealers.next(split({ heavy: 1, light: 9 })), 'light');
});

test.run();
