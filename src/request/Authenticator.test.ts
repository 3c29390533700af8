import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Digest, FileName, VersionNumber } from '../common/Types';
import IndexedSnapshot from '../version/IndexedSnapshot';
import mergeFolder from '../version/mergeFolder';
import type { CurrentVersion, Head } from '../version/Types';
import Authenticator from './Authenticator';
import RequestError from './RequestError';

const digestOf = (key: string) => createHash('sha256').update(key).digest('hex');
const ROUTES = `
[service.s]
[route.private]
service = "s"
path = "/private"
[route.public]
service = "s"
path = "/public"
public = true
`;

function describe(organisations: string, awaitsNewerVersion: boolean): string {
  const result = mergeFolder([
    { name: '10.toml' as FileName, content: `${ROUTES}${organisations}` },
  ]);
  if (result.kind === 'invalid') throw new Error(JSON.stringify(result.issues));
  const head = { version: 1 as VersionNumber, digest: '' as Digest } as Head;
  const snapshot = new IndexedSnapshot(head, result.configuration, []);
  const versions = { snapshot } as unknown as CurrentVersion;
  const authenticator = new Authenticator({
    versions,
    awaitsNewerVersion: () => awaitsNewerVersion,
  });
  const outcome = (path: string, key: string | undefined) => {
    try {
      return authenticator.authenticate(snapshot.match('GET', 'h', path)!, key)?.name ?? 'none';
    } catch (error) {
      const status = error instanceof RequestError ? error.status : 'not run';
      return `${status}, ${(error as Error).message}`;
    }
  };
  return ['/private', '/public']
    .flatMap((path) =>
      [undefined, 'key-a', 'key-b, key-b', ''].map(
        (key) => `${path} ${key}: ${outcome(path, key)}`,
      ),
    )
    .join('\n');
}

const ORGANISATION = `[organisation.acme]\nkeys = ["${digestOf('key-a')}"]\n`;

test('a call needs a known key, on routes that are not public, if there are organisations', () => {
  assert.snapshot(
    describe(ORGANISATION, false),
    `/private undefined: 401, the route needs a key
/private key-a: acme
/private key-b, key-b: 401, the key is not known
/private : 401, the key is not known
/public undefined: none
/public key-a: acme
/public key-b, key-b: none
/public : none`,
  );
});

test('a key that a newer configuration may hold is not refused for good', () => {
  assert.snapshot(
    describe(ORGANISATION, true).split('\n').slice(2, 3).join('\n'),
    '/private key-b, key-b: not run, the key is not known, but a newer configuration is not in force here yet',
  );
});

test('without organisations no call needs a key', () => {
  assert.not.match(describe('', false), /401/);
});

test.run();
