/** Installs the dependencies in a fresh clone, so that each command of the README works by itself. */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const installedLock = 'node_modules/.package-lock.json';
if (!existsSync(installedLock)) {
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exit(status ?? 1);
}
