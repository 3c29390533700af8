/**
 * Injects azurestream.cjs of a folder into a copy of the Node.js executable there: azurestream.
 * Usage: `binary.mjs [FOLDER]`.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';

const folder = process.argv[2] ?? 'dist';
const config = `${folder}/sea-config.json`;
const blob = `${folder}/azurestream.blob`;
const target = `${folder}/azurestream`;
writeFileSync(
  config,
  JSON.stringify({
    main: `${folder}/azurestream.cjs`,
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'inherit' });
rmSync(target, { force: true });
copyFileSync(process.execPath, target);
chmodSync(target, 0o755);
await inject(target, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
