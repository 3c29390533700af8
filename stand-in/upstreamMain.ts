/**
 * Runs an upstream stand-in: `stand-in-upstream SERVICE DAEMON_CONTROL_ADDRESS [WORK_MS]`.
 * Prints its port as a JSON line once it has announced itself; drains on SIGTERM.
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
