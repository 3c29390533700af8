/** Installs the dependencies when this is a fresh clone, so that each README command stands alone. */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const stamp = 'node_modules/.package-lock.json';
if (!existsSync(stamp)) {
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exit(status ?? 1);
}
