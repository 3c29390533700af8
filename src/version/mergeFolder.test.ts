import { test } from 'uvu';
import * as assert from 'uvu/assert';
import runAtOnce from '../common/runAtOnce';
import type { FileName } from '../common/Types';
import IndexedSnapshot from './IndexedSnapshot';
import mergeAccepted from './mergeAccepted';
import type { Head } from './Types';
import { formatIssue } from './validationIssues';
import { sortedFolder } from './folder';
import mergeFolder from './mergeFolder';
import mergePublication, { MAX_PUBLISHED_BYTES } from './mergePublication';

function folderOf(files: Readonly<Record<string, string>>) {
  return sortedFolder(
    Object.entries(files).map(([name, content]) => ({ name: name as FileName, content })),
  );
}

/** Formats the result of a merge: the issues, or each entry and the files that it comes from. */
function describe(files: Readonly<Record<string, string>>): string {
  const result = mergeFolder(folderOf(files));
  if (result.kind === 'invalid') return result.issues.map(formatIssue).join('\n');
  const { services, routes, provenance } = result.configuration;
  const origins = provenance.map(
    ({ key, file, overrode }) =>
      `${key} < ${file}${overrode.length > 0 ? ` over ${overrode.join(' ')}` : ''}`,
  );
  return [
    ...[...services.values()].map((service) => JSON.stringify(service)),
    ...[...routes.values()].map((route) => JSON.stringify(route)),
    ...origins,
  ].join('\n');
}

const SERVICE = '[service.stock]\nslots = 18\n';

test('a later file replaces a whole service or route, or a single default', () => {
  assert.snapshot(
    describe({
      '20.toml':
        '[route.get]\nservice = "stock"\npath = "/stock"\nmethods = ["GET"]\ntimeout = "2s"\n',
      '10.toml': `${SERVICE}[defaults]\ntimeout = "1s"\nretries = 1\n`,
      'é.toml': '[service.stock]\nqueue = 3\n',
      'z.toml':
        '[defaults]\ntimeout = "4s"\n[route.other]\nservice = "stock"\npath = "/other"\nmethods = ["POST"]\n',
    }),
    `{"name":"stock","slots":16,"connections":120,"queue":3,"warmUpMs":0}
{"name":"get","targets":[{"service":"stock","weight":1}],"path":"/stock","methods":["GET"],"timeoutMs":2000,"objectiveMs":2000,"priority":0,"hedge":false,"retries":1,"isPublic":false}
{"name":"other","targets":[{"service":"stock","weight":1}],"path":"/other","methods":["POST"],"timeoutMs":4000,"objectiveMs":4000,"priority":0,"hedge":false,"retries":1,"isPublic":false}
service.stock < é.toml over 10.toml
route.get < 20.toml
route.other < z.toml
defaults.timeout < z.toml over 10.toml
defaults.retries < 10.toml`,
  );
});

test('every kind of invalid input is reported with its file, line and key', () => {
  const cases: Readonly<Record<string, string>> = {
    'TOML error': '[service.stock\nslots = 1\n',
    'same route twice': `${SERVICE}[route.a]\nservice = "stock"\npath = "/a"\n[route.a]\nservice = "stock"\npath = "/b"\n`,
    'same match twice': `${SERVICE}[route.a]\nservice = "stock"\npath = "/a"\n[route.b]\nservice = "stock"\npath = "/a"\nmethods = ["GET"]\n`,
    'unknown key': `${SERVICE}colour = "red"\n`,
    'unknown section': '[server.stock]\nslots = 1\n',
    'undeclared service': '[route.a]\nservice = "stock"\npath = "/a"\n',
    'wrong unit': `${SERVICE}warm_up = "2 fortnights"\n`,
    'unit missing': `${SERVICE}warm_up = 2\n`,
    'out of range': '[service.stock]\nslots = 0\n',
    'wrong type': '[service.stock]\nslots = "many"\n',
    'wrong method': `${SERVICE}[route.a]\nservice = "stock"\npath = "/a"\nmethods = ["FETCH"]\n`,
    'no path': `${SERVICE}[route.a]\nservice = "stock"\n`,
    'key of two organisations': `[organisation.a]\nkeys = ["${'0'.repeat(64)}"]\n[organisation.b]\nkeys = ["${'0'.repeat(64)}"]\n`,
    'key in clear text': '[organisation.a]\nkeys = ["secret"]\n',
    'rollout of an undeclared service': '[rollout.stock]\nversion = "v2"\nduration = "12s"\n',
    'bad name': `${SERVICE}[route.Stock_1]\nservice = "stock"\npath = "/a"\n`,
    'bad name of a service': '[service."stock "]\nslots = 1\n',
  };
  const lines = Object.entries(cases).map(
    ([name, content]) => `${name} -> ${describe({ '10.toml': content })}`,
  );
  assert.snapshot(
    lines.join('\n'),
    `TOML error -> 10.toml:1: found "[service.stock", expected TOML (illegal character in key)
same route twice -> 10.toml:6: found "[route.a]", expected TOML (trying to redefine an already defined table or value)
same match twice -> 10.toml:8: route.b.path: found "/a", expected a path and methods that route.a doesn't match already
unknown key -> 10.toml:3: service.stock.colour: found an unknown key, expected a key that docs/CONFIGURATION.md lists
unknown section -> 10.toml: server: found an unknown key, expected a table [service.NAME], [route.NAME], [organisation.NAME], [rollout.SERVICE], [defaults], [limits] or [access]
undeclared service -> 10.toml:2: route.a.service: found "stock", expected a service that some file declares
wrong unit -> 10.toml:3: service.stock.warm_up: found "2 fortnights", expected a duration with its unit, such as "500ms", "2s", "1m" or "1h"
unit missing -> 10.toml:3: service.stock.warm_up: found 2, expected a duration with its unit, such as "500ms", "2s", "1m" or "1h"
out of range -> 10.toml:2: service.stock.slots: found 0, expected a whole number from 1 to 10000
wrong type -> 10.toml:2: service.stock.slots: found "many", expected a whole number from 1 to 10000
wrong method -> 10.toml:6: route.a.methods.0: found "FETCH", expected one of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH
no path -> 10.toml:3: route.a.path: found nothing, expected a path that begins with /
key of two organisations -> 10.toml:4: organisation.b.keys: found "0000000000000000000000000000000000000000000000000000000000000000", expected a key that organisation.a doesn't hold
key in clear text -> 10.toml:2: organisation.a.keys.0: found something else, which is not shown, expected a list of SHA-256 digests of keys, each of 64 hexadecimal digits in lower case
rollout of an undeclared service -> 10.toml:2: rollout.stock.version: found "stock", expected a service that some file declares
bad name -> 10.toml:3: route.Stock_1: found "Stock_1", expected a name of lower-case letters, digits and hyphens, at most 63 long
bad name of a service -> 10.toml: service.stock : found "stock ", expected a name of printable characters without spaces at its ends, at most 255 long`,
  );
});

/** Merges an accepted folder, and tells which route a path has and why it is closed. */
function matchAccepted(content: string, paths: readonly string[]): string {
  const result = runAtOnce(mergeAccepted(folderOf({ '10.toml': content })));
  if (result.kind === 'invalid') return result.issues.map(formatIssue).join('\n');
  const snapshot = new IndexedSnapshot({ schema: 4 } as Head, result.configuration, result.faults);
  const lines = paths.map((path) => {
    const route = snapshot.match('GET', 'h', path);
    return `${path} ${route ? `${route.name}${route.closed ? `, closed: ${route.closed}` : ''}` : 'none'}`;
  });
  return [...lines, ...snapshot.closed.map(({ entry }) => entry)].join('\n');
}

// Guards against a route that is left out, so that its calls run at the service of a shorter path.
test('what is invalid in an accepted folder is closed and takes no path from the valid routes', () => {
  assert.snapshot(
    matchAccepted(
      `${SERVICE}[route.root]
service = "stock"
path = "/"
[route.gone]
service = "desk"
path = "/gone/"
[route.steep]
service = "stock"
path = "/steep/"
retries = 99
[route.first]
service = "stock"
path = "/twice/"
[route.second]
service = "stock"
path = "/twice/"
idempotent = false
[route.same]
service = "stock"
path = "/same/"
[route.same-again]
service = "stock"
path = "/same/"
[route.pathless]
service = "stock"
path = 7
[route.maintained]
service = "stock"
path = "/maintained/"
closed = "maintenance until 6"
`,
      ['/a', '/gone/a', '/steep/a', '/twice/a', '/same/a', '/maintained/a'],
    ),
    `/a root
/gone/a gone, closed: route.gone.service: found "desk", expected a service that some file declares
/steep/a steep, closed: route.steep.retries: found 99, expected a whole number from 0 to 20
/twice/a first, closed: route.second.path: found "/twice/", expected a path and methods that route.first doesn't match already
/same/a same
/maintained/a maintained, closed: maintenance until 6
route.gone
route.first
route.second
route.maintained
route.steep
route.pathless`,
  );
  assert.snapshot(
    matchAccepted(
      `${SERVICE}[route.low]\nservice = "stock"\npath = "/low/"\n[route.pathless]\nservice = "stock"\n`,
      ['/low/a', '/high/a'],
    ),
    `/low/a low
/high/a pathless, closed: route.pathless.path: found nothing, expected a path that begins with /
route.pathless`,
  );
});

test('only a publication is limited in size, as the log limits its records', () => {
  const comment = `# ${'x'.repeat(1_000)}\n`;
  const files = { '10.toml': comment.repeat(MAX_PUBLISHED_BYTES / 1_000) };
  const published = mergePublication(folderOf(files));
  assert.is(
    published.kind === 'invalid' && published.issues.map(formatIssue).join('\n'),
    'found a folder of 525572 bytes, expected at most 524288 bytes, so that it fits one record of the log',
  );
  assert.is(mergeFolder(folderOf(files)).kind, 'valid');
});

test.run();
