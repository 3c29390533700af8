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
 * Modules that libraries load but azurestream never uses, and what stands for them:
 *
 * - HTTP/2 of the HTTP client, which would load Node's module too; clients don't offer it.
 * - Trace contexts of prom-client, which it reads for exemplars only.
 * - Its push gateway and its collection over cluster workers.
 * - The threads in which pino runs transports; lines go to standard output.
 */
const UNUSED_MODULES = {
  'undici/lib/dispatcher/client-h2.js':
    "module.exports = () => { throw new Error('HTTP/2 is not bundled'); };",
  '@opentelemetry/api/build/esm/index.js': 'export {};',
  '@opentelemetry/api/dist/index.cjs': 'module.exports = {};',
  'thread-stream/index.js': 'module.exports = {};',
  'prom-client/lib/pushgateway.js': 'module.exports = {};',
  'prom-client/lib/cluster.js': 'module.exports = {};',
};

/** Replaces modules that aren't used. */
const unusedPlugin = {
  name: 'unused',
  setup(bundler) {
    const names = Object.keys(UNUSED_MODULES);
    const filter = new RegExp(`/(?:${names.join('|').replaceAll('.', '\\.')})$`);
    bundler.onLoad({ filter }, ({ path }) => {
      const name = names.find((end) => path.endsWith(end));
      return { contents: UNUSED_MODULES[name] };
    });
    // Daemons connect to each other without TLS; Node's own modules load it only for this library.
    bundler.onResolve({ filter: /^(?:https|tls)$/ }, ({ path, importer }) =>
      importer.endsWith('/ws/lib/websocket.js') ? { path, namespace: 'unused' } : undefined,
    );
    bundler.onLoad({ filter: /./, namespace: 'unused' }, () => ({
      contents: 'module.exports = {};',
    }));
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
    plugins: [
      undiciPlugin,
      unusedPlugin,
      ...[mutant, mutant?.also].filter(Boolean).map(mutationPlugin),
    ],
  });
}
