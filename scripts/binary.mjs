/**
 * Builds the single executable `FOLDER/azurestream`: a copy of the Node.js executable into which
 * `FOLDER/azurestream.cjs` is injected. Usage: `binary.mjs [FOLDER]`, by default `dist`.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';

const folder = process.argv[2] ?? 'dist';
const seaConfig = `${folder}/sea-config.json`;
const blob = `${folder}/azurestream.blob`;
const executable = `${folder}/azurestream`;
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: `${folder}/azurestream.cjs`,
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: 'inherit' });
rmSync(executable, { force: true });
copyFileSync(process.execPath, executable);
chmodSync(executable, 0o755);
await inject(executable, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
