import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { Digest, FileName, VersionNumber } from '../common/Types';
import IndexedSnapshot from '../version/IndexedSnapshot';
import mergeFolder from '../version/mergeFolder';
import type { CurrentVersion, Head } from '../version/Types';
import Authenticator from './Authenticator';
import NotRunError from './NotRunError';
import RequestError from './RequestError';
import type { KeyProof } from './Types';

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

/** Creates an authenticator on a folder with some organisations, and collects its log lines and refusals. */
function create(organisations: string, awaitsNewerVersion: boolean, proof?: KeyProof) {
  const result = mergeFolder([
    { name: '10.toml' as FileName, content: `${ROUTES}${organisations}` },
  ]);
  if (result.kind === 'invalid') throw new Error(JSON.stringify(result.issues));
  const head = { version: 1 as VersionNumber, digest: '' as Digest } as Head;
  const snapshot = new IndexedSnapshot(head, result.configuration, []);
  const versions = { snapshot } as unknown as CurrentVersion;
  const lines: string[] = [];
  const refusals: string[] = [];
  const clock = new ManualClock();
  const authenticator = new Authenticator({
    versions,
    awaitsNewerVersion: () => awaitsNewerVersion,
    proof,
    onKeyRefused: (reason) => refusals.push(reason),
    clock,
    logger: { log: (message, fields) => lines.push(`${message} ${JSON.stringify(fields)}`) },
  });
  const outcome = (path: string, key: string | undefined) => {
    try {
      return authenticator.authenticate(snapshot.match('GET', 'h', path)!, key)?.name ?? 'none';
    } catch (error) {
      const status = error instanceof RequestError ? error.status : 'not run';
      const isNotReady = error instanceof NotRunError && error.details.daemonNotReady;
      return `${status}${isNotReady ? ', not ready' : ''}, ${(error as Error).message}`;
    }
  };
  return { outcome, lines, refusals, clock };
}

function describe(organisations: string, awaitsNewerVersion: boolean, proof?: KeyProof): string {
  const { outcome } = create(organisations, awaitsNewerVersion, proof);
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
    describe(ORGANISATION, true).split('\n').slice(0, 3).join('\n'),
    `/private undefined: not run, the route needs a key, but a newer configuration is not in force here yet
/private key-a: acme
/private key-b, key-b: not run, the key is not known, but a newer configuration is not in force here yet`,
  );
});

test('without organisations no call needs a key', () => {
  assert.not.match(describe('', false), /401/);
});

// Guards against calls that run without a key, as the last organisation was removed or could not be decoded.
test('keys stay required without any organisation if the folder says so', () => {
  assert.snapshot(
    describe('[access]\nkeys = "required"\n', false),
    `/private undefined: 401, the route needs a key
/private key-a: 401, the key is not known
/private key-b, key-b: 401, the key is not known
/private : 401, the key is not known
/public undefined: none
/public key-a: none
/public key-b, key-b: none
/public : none`,
  );
});

// Guards against calls that run for another organisation or for none, and against 401 for those who are entitled.
test('a key whose organisation is closed or not known for sure is refused as not run', () => {
  const closed = ORGANISATION.replace('\n', '\nclosed = "no name"\n');
  const incomplete = `[organisation.part]\nkeys = []\nincomplete = true\nclosed = "unreadable"\n`;
  assert.snapshot(
    describe(`${closed}${incomplete}`, false),
    `/private undefined: 401, the route needs a key
/private key-a: not run, not ready, the organisation of the key is closed: no name
/private key-b, key-b: not run, not ready, the key is not known, but some organisations are incomplete here
/private : not run, not ready, the key is not known, but some organisations are incomplete here
/public undefined: none
/public key-a: not run, not ready, the organisation of the key is closed: no name
/public key-b, key-b: none
/public : none`,
  );
});

test('with an old proof calls with a key are refused, and those without one on public routes are not', () => {
  const proof = { isFresh: false, ageMs: 6_000 };
  const old =
    'it is not known whether the key is still valid: the configuration was not confirmed in time';
  assert.snapshot(
    describe(ORGANISATION, false, proof).replaceAll(old, 'OLD'),
    `/private undefined: 401, the route needs a key
/private key-a: not run, not ready, OLD
/private key-b, key-b: not run, not ready, OLD
/private : not run, not ready, OLD
/public undefined: none
/public key-a: not run, not ready, OLD
/public key-b, key-b: none
/public : none`,
  );
});

// Guards against a log line for each refused call, and against keys in the log.
test('refusals are counted and logged by organisation, in few lines and without the key', () => {
  const proof = { isFresh: false, ageMs: Infinity };
  const { outcome, lines, refusals, clock } = create(ORGANISATION, false, proof);
  for (let call = 0; call < 50; call += 1) outcome('/private', 'key-a');
  Object.assign(proof, { isFresh: true, ageMs: 20.4 });
  for (let call = 0; call < 50; call += 1) {
    outcome('/private', 'key-a');
    outcome('/private', 'key-x');
    clock.advance(120);
  }
  outcome('/private', undefined);
  const count = (reason: string) => refusals.filter((refusal) => refusal === reason).length;
  assert.equal([count('proof'), count('unknown'), count('missing')], [50, 50, 1]);
  assert.snapshot(
    lines.join('\n'),
    `Refuses keys: the proof of the version in force is too old. {"organisation":"acme","proofAgeMs":null}
Accepts keys again: the proof of the version in force is fresh. {"refused":50,"organisations":1,"proofAgeMs":20}
Calls with an unknown key. {"route":"private","count":1}
Calls with an unknown key. {"route":"private","count":42}`,
  );
});

test.run();
