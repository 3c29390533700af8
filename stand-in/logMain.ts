/** Runs the log stand-in: `stand-in-log [PORT]`. Prints its port as a JSON line once it listens. */
import LogServer from './LogServer';

const server = new LogServer();
void server.listen(Number(process.argv[2] ?? 0)).then((port) => {
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
process.once('SIGTERM', () => {
  server.dispose();
  process.exit(0);
});
