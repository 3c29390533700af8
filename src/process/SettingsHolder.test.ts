import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { readSettings } from './settings';
import SettingsHolder from './SettingsHolder';

const VALID = `[daemon]
name = "coq-1"
zone = "coq"
calls = "10.0.0.7:7000"
peers = "10.0.0.7:7001"
control = "127.0.0.1:7002"
[log]
address = "10.0.0.2:9000"
`;

test('a reload applies the keys that need no restart, and nothing of an invalid file', () => {
  const folder = mkdtempSync(join(tmpdir(), 'azurestream-settings-'));
  const file = join(folder, 'daemon.toml');
  const lines: string[] = [];
  const logger = {
    log: (message: string, fields: object = {}) =>
      lines.push(`${message} ${JSON.stringify(fields).replaceAll(folder, '')}`),
  };
  try {
    writeFileSync(file, VALID);
    const holder = new SettingsHolder(file, readSettings(file));
    const reload = (content: string) => {
      writeFileSync(file, content);
      holder.reload(logger);
      const { retries, peers, log } = holder.current;
      lines.push(`${retries.slack} ${peers.seeds.join()} ${log.address}`);
    };
    reload(VALID);
    reload(`${VALID}[retries]\nslack = 60\n[peers]\nseeds = ["10.0.0.9:7001"]\n`);
    reload(`${VALID}[retries]\nslack = "many"\n`);
    reload(VALID.replace('10.0.0.2', '10.0.0.3'));
  } finally {
    rmSync(folder, { recursive: true });
  }
  assert.snapshot(
    lines.join('\n'),
    `20  10.0.0.2:9000
Reloaded the settings. {"inForce":["peers.seeds","retries"],"afterRestart":[]}
60 10.0.0.9:7001 10.0.0.2:9000
The settings were not reloaded. {"reason":"/daemon.toml: retries.slack: found \\"many\\", expected a number from 0 to 1000000"}
60 10.0.0.9:7001 10.0.0.2:9000
Reloaded the settings. {"inForce":["peers.seeds","retries"],"afterRestart":["log.address"]}
20  10.0.0.2:9000`,
  );
});

test.run();
