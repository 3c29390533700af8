/**
 * Runs an upstream stand-in: `stand-in-upstream SERVICE DAEMON_CONTROL_ADDRESS WORK_MS`.
 * Prints one JSON line once it is announced; drains at SIGTERM.
 */
import UpstreamServer from './UpstreamServer';

const [, , service, daemon, workMs] = process.argv;
const server = new UpstreamServer({
  service: service!,
  daemon: daemon!,
  workMs: Number(workMs ?? 0),
});
void server.start().then((port) => {
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
process.once('SIGTERM', () => {
  void server.stop().then(() => process.exit(0));
});
