import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

/** Names that only the platform's callers, upstreams, store and operators use. */
const PLATFORM_NAMES = [
  /['"`]azurestream-(attempt|deadline|expect|not-executed|response|caller|instance)/i,
  /\/-\/|Instances\.|log-(append|read|newest|join|commit|owners|trim)\b/,
  /keyed\.|op\/config|_s_time|cold_left_s|heartbeat_addr/,
  /path_prefix|traffic_split|max_attempts|target_latency|max_conns|clusters/,
];

function sources(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(folder, name));
}

test('no source outside the adapter uses a name of the platform', () => {
  const leaks = sources('src').flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .flatMap((line, index) =>
        PLATFORM_NAMES.some((name) => name.test(line)) ? [`${file}:${index + 1}: ${line}`] : [],
      ),
  );
  assert.equal(leaks, []);
});

test('only the wiring imports the adapter', () => {
  const importers = sources('src').filter((file) =>
    /from '(\.\.\/)+platform\//.test(readFileSync(file, 'utf8')),
  );
  assert.equal(importers, [join('src', 'process', 'wireDaemon.ts')]);
});

test.run();
