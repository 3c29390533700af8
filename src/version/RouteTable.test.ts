import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteName, ServiceName } from '../common/Types';
import PortAwareHosts from './PortAwareHosts';
import PortlessHosts from './PortlessHosts';
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
  const table = new RouteTable(
    [
      route('root', 'depot.example', '/'),
      route('stock', 'depot.example', '/stock/'),
      route('sizes', 'depot.example', '/stock/sizes/'),
      route('plain', 'other.example', '/stock'),
      route('anywhere', undefined, '/health'),
    ],
    new PortAwareHosts(),
  );
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

// Guards against calls to one port that run at the service of another port of the same host.
test('the port is a part of the host from schema 4 on, and letter case is not', () => {
  const hosts = [
    'depot:8080',
    'depot:9090',
    'yard',
    'yard:81',
    'gate:80',
    '10.0.0.7:1',
    '[::1]',
    'my_host',
    'ñu',
  ];
  const routes = hosts.map((host) => route(host, host, '/'));
  const lines = [
    'DEPOT:9090',
    'depot:8080',
    'depot',
    'depot:7070',
    'yard:82',
    'yard:81',
    'yard:081',
    'yard:',
    'gate',
    'gate:80',
    'gate:81',
    '10.0.0.7:1',
    '10.0.0.7',
    '[::1]:99',
    '::1',
    'My_Host:5',
    Buffer.from('Ñu:7').toString('latin1'),
    '',
  ].map((host) => {
    const [now, before] = [new PortAwareHosts(), new PortlessHosts()].map(
      (matching) => new RouteTable(routes, matching).match('GET', host, '/a')?.name ?? 'none',
    );
    return `${host.replace('Ã\u0091', 'N~')} -> ${now}, up to schema 3 ${before}`;
  });
  assert.snapshot(
    lines.join('\n'),
    `DEPOT:9090 -> depot:9090, up to schema 3 depot:8080
depot:8080 -> depot:8080, up to schema 3 depot:8080
depot -> none, up to schema 3 depot:8080
depot:7070 -> none, up to schema 3 depot:8080
yard:82 -> yard, up to schema 3 yard
yard:81 -> yard:81, up to schema 3 yard
yard:081 -> yard:81, up to schema 3 yard
yard: -> yard, up to schema 3 none
gate -> gate:80, up to schema 3 gate:80
gate:80 -> gate:80, up to schema 3 gate:80
gate:81 -> none, up to schema 3 gate:80
10.0.0.7:1 -> 10.0.0.7:1, up to schema 3 10.0.0.7:1
10.0.0.7 -> none, up to schema 3 10.0.0.7:1
[::1]:99 -> [::1], up to schema 3 [::1]
::1 -> [::1], up to schema 3 none
My_Host:5 -> my_host, up to schema 3 my_host
N~u:7 -> ñu, up to schema 3 none
 -> none, up to schema 3 none`,
  );
});

test.run();
