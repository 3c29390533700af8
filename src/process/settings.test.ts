import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseSettings } from './settings';

const VALID = `[daemon]
name = "coq-1"
zone = "coq"
calls = "10.0.0.7:7000"
peers = "10.0.0.7:7001"
control = "127.0.0.1:7002"
[log]
address = "10.0.0.2:9000"
`;

function resultOf(content: string): string {
  try {
    return JSON.stringify(parseSettings(content, 'daemon.toml'), undefined, 1);
  } catch (error) {
    return (error as Error).message;
  }
}

test('missing keys get their defaults', () => {
  const { log, peers, calls } = parseSettings(VALID, 'daemon.toml');
  assert.snapshot(
    JSON.stringify({ log, peers, calls }),
    '{"log":{"address":"10.0.0.2:9000","kind":"streams","stream_prefix":"","retention":86400000,"readers_per_zone":2,"reader_zones":1000,"stale":15000},"peers":{"seeds":[],"heartbeat":2000,"suspicion":5000,"tombstone":600000,"cut":7200000},"calls":{"max_body_bytes":1048576,"max_header_bytes":16384,"max_open":2000,"body_memory":67108864,"connect":1000,"quiet":300,"silence":1000,"receive":30000,"backlog":511}}',
  );
});

test('the retry slack accepts a fraction', () => {
  const { retries } = parseSettings(`${VALID}[retries]\nslack = 34.285714\n`, 'daemon.toml');
  assert.is(retries.slack, 34.285714);
});

test('errors name the file, the key, the found value and the expected value', () => {
  const cases = [
    '[daemon',
    VALID.replace('10.0.0.7:7000', 'localhost:7000'),
    VALID.replace('[log]', '[log]\nretention = "soon"'),
    VALID.replace('[log]', '[log]\nreaders = 3'),
    VALID.replace('zone = "coq"\n', ''),
    `${VALID}[calls]\nmax_open = 0\n`,
    `${VALID}[retries]\nslack = -1\n`,
  ];
  assert.snapshot(
    cases.map(resultOf).join('\n'),
    `daemon.toml:1: found no TOML: Invalid TOML document: incomplete key-value: cannot find end of key
daemon.toml: daemon.calls: found "localhost:7000", expected an IP address and a port, such as "10.0.0.7:7000"
daemon.toml: log.retention: found "soon", expected a duration with its unit, such as "500ms", "2s", "1m" or "1h"
daemon.toml: log.readers: found an unknown key, expected a key that docs/CONFIGURATION.md lists
daemon.toml: daemon.zone: found nothing, expected a name
daemon.toml: calls.max_open: found 0, expected a whole number from 1 to 1000000
daemon.toml: retries.slack: found -1, expected a number from 0 to 1000000`,
  );
});

test.run();
