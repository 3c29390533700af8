/** Bundles the daemon and the stand-ins. Usage: `build.mjs [FOLDER]`. */
import bundle from './bundle.mjs';

await bundle(process.argv[2] ?? 'dist');
