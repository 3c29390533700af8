/** Bundles the daemon and the stand-ins into dist/, one CommonJS file each. */
import { build } from 'esbuild';
import { readFileSync } from 'node:fs';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

await build({
  entryPoints: {
    azurestream: 'src/command/main.ts',
    'stand-in-log': 'stand-in/logMain.ts',
    'stand-in-upstream': 'stand-in/upstreamMain.ts',
  },
  outdir: 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  logLevel: 'warning',
  define: {
    'import.meta.url': 'importMetaUrl',
    AZURESTREAM_VERSION: JSON.stringify(version),
  },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
});
