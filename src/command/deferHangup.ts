/**
 * Keeps a hangup from ending the process before the daemon handles it, while modules are still loading. Must be
 * imported first.
 *
 * @packageDocumentation
 */
const isDaemon = process.argv.includes('--settings');

if (isDaemon) process.on('SIGHUP', () => undefined);
