import { build } from 'esbuild';
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

/** Creates an esbuild plugin that replaces a piece of text in one source file. */
function mutationPlugin({ file, from, to }) {
  return {
    name: 'mutation',
    setup(bundler) {
      const filter = new RegExp(`${file.replace(/[./]/g, '\\$&')}$`);
      bundler.onLoad({ filter }, ({ path }) => {
        const source = readFileSync(path, 'utf8');
        if (!source.includes(from)) throw new Error(`${file} does not contain: ${from}`);
        return { contents: source.replace(from, to), loader: 'ts' };
      });
    },
  };
}

/** Replaces the HTTP client's main module by the parts of it that are used. */
const undiciPlugin = {
  name: 'undici',
  setup(bundler) {
    const path = resolve('scripts/undiciCore.cjs');
    bundler.onResolve({ filter: /^undici$/ }, () => ({ path }));
  },
};

/**
 * Bundles the command line, the daemon alone and the stand-ins, one CommonJS file each.
 *
 * @param outdir - Folder for the bundles.
 * @param mutant - Replacement of text in a source file, and optionally a second one (`also`), for
 *   scripts/mutants.mjs.
 */
export default async function bundle(outdir, mutant) {
  await build({
    entryPoints: {
      azurestream: 'src/command/main.ts',
      'azurestream-daemon': 'src/command/daemonMain.ts',
      'stand-in-log': 'stand-in/logMain.ts',
      'stand-in-upstream': 'stand-in/upstreamMain.ts',
    },
    outdir,
    outExtension: { '.js': '.cjs' },
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: 'warning',
    define: {
      'import.meta.url': 'importMetaUrl',
      AZURESTREAM_VERSION: JSON.stringify(version),
    },
    banner: {
      js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
    },
    plugins: [undiciPlugin, ...[mutant, mutant?.also].filter(Boolean).map(mutationPlugin)],
  });
}
