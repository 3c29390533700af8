/** Injects dist/azurestream.cjs into a copy of the Node.js executable: dist/azurestream. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';

const config = 'dist/sea-config.json';
const blob = 'dist/azurestream.blob';
const target = 'dist/azurestream';
writeFileSync(
  config,
  JSON.stringify({
    main: 'dist/azurestream.cjs',
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'inherit' });
rmSync(target, { force: true });
copyFileSync(process.execPath, target);
chmodSync(target, 0o755);
await inject(target, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
