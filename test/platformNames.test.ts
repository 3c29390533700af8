import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

/** Names of the platform's protocols, records and settings, which the code in `platform/` translates. */
const PLATFORM_NAMES = [
  /['"`]azurestream-(attempt|deadline|expect|not-executed|response|caller|instance)/i,
  /\/-\/|Instances\.|log-(append|read|newest|join|commit|owners|trim)\b/,
  /keyed\.|op\/config|_s_time|cold_left_s|heartbeat_addr/,
  /path_prefix|traffic_split|max_attempts|target_latency|max_conns|clusters/,
];

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(folder, name));
}

test('no source file outside the platform adapter uses names of the platform', () => {
  const leaks = sourceFiles('src').flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .flatMap((line, index) =>
        PLATFORM_NAMES.some((name) => name.test(line)) ? [`${file}:${index + 1}: ${line}`] : [],
      ),
  );
  assert.equal(leaks, []);
});

test('only the module that wires the daemon imports the platform adapter', () => {
  const importers = sourceFiles('src').filter((file) =>
    /from '(\.\.\/)+platform\//.test(readFileSync(file, 'utf8')),
  );
  assert.equal(importers, [join('src', 'process', 'wireDaemon.ts')]);
});

test.run();
