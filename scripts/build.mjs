/** Bundles the daemon and the stand-ins. Usage: `build.mjs [FOLDER]`, by default `dist`. */
import bundle from './bundle.mjs';

await bundle(process.argv[2] ?? 'dist');
