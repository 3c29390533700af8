/** Bundles the daemon and the stand-ins into dist/. */
import bundle from './bundle.mjs';

await bundle('dist');
