import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteName, ServiceName } from '../common/Types';
import RouteTable from './RouteTable';
import type { Route } from './Types';

function route(name: string, host: string | undefined, path: string): Route {
  return {
    name: name as RouteName,
    host,
    targets: [{ service: 'stock' as ServiceName, weight: 1 }],
    path,
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

test('matches the host, then the longest path; a trailing slash matches only paths below it', () => {
  const table = new RouteTable([
    route('root', 'depot.example', '/'),
    route('stock', 'depot.example', '/stock/'),
    route('sizes', 'depot.example', '/stock/sizes/'),
    route('plain', 'other.example', '/stock'),
    route('anywhere', undefined, '/health'),
  ]);
  const cases: readonly (readonly [string, string])[] = [
    ['depot.example', '/stock/sizes/17'],
    ['DEPOT.example:8304', '/stock/sizes'],
    ['depot.example', '/stock'],
    ['depot.example', '/stockings/1'],
    ['other.example', '/stock'],
    ['other.example', '/stock/7'],
    ['other.example', '/stockings'],
    ['other.example', '/'],
    ['third.example', '/health/live'],
    ['third.example', '/stock/1'],
  ];
  assert.snapshot(
    cases
      .map(([host, path]) => `${host}${path} ${table.match('GET', host, path)?.name ?? 'none'}`)
      .join('\n'),
    `depot.example/stock/sizes/17 sizes
DEPOT.example:8304/stock/sizes stock
depot.example/stock root
depot.example/stockings/1 root
other.example/stock plain
other.example/stock/7 plain
other.example/stockings none
other.example/ none
third.example/health/live anywhere
third.example/stock/1 none`,
  );
});

test.run();
