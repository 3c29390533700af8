/**
 * Host process of `fleet.ts`, which runs many daemons. Each daemon has its own servers and exchanges
 * messages over real sockets; only the process is shared.
 *
 * @packageDocumentation
 */
import type Daemon from '../src/process/Daemon';
import { parseSettings } from '../src/process/settings';
import SettingsHolder from '../src/process/SettingsHolder';
import wireDaemon from '../src/process/wireDaemon';

/** Message from `fleet.ts` to a host process; `flip` changes the state of an upstream. */
export type HostRequest =
  | { readonly kind: 'start'; readonly settings: readonly string[] }
  | { readonly kind: 'stats' }
  | { readonly kind: 'flip'; readonly index: number; readonly state: string };

/** Message from a host process: a reply, or `swap` when a version comes into force in a daemon. */
export type HostMessage =
  | { readonly kind: 'started'; readonly peers: readonly string[] }
  | { readonly kind: 'swap'; readonly version: number; readonly at: number }
  | {
      readonly kind: 'stats';
      readonly cpuMs: number;
      /** Control traffic, sent and received, in bytes since the start. */
      readonly bytes: number;
      readonly residentBytes: number;
      /** Number of members that each daemon knows; one entry per daemon. */
      readonly members: readonly number[];
    };

const US_PER_MS = 1_000;
const daemons: Daemon[] = [];

function send(message: HostMessage): void {
  process.send!(message);
}

async function start(settings: readonly string[]): Promise<void> {
  const started = await Promise.all(
    settings.map((text) => wireDaemon(new SettingsHolder('bench', parseSettings(text, 'bench')))),
  );
  for (const daemon of started) {
    daemon.onSwap(({ head }) => send({ kind: 'swap', version: head.version, at: Date.now() }));
    daemon.start();
    daemons.push(daemon);
  }
  send({ kind: 'started', peers: started.map(({ addresses }) => addresses.peers) });
}

function sendStats(): void {
  const { user, system } = process.cpuUsage();
  send({
    kind: 'stats',
    cpuMs: (user + system) / US_PER_MS,
    bytes: daemons.reduce(
      (sum, { controlBytes }) => sum + controlBytes.received + controlBytes.sent,
      0,
    ),
    residentBytes: process.memoryUsage().rss,
    members: daemons.map(({ memberCount }) => memberCount),
  });
}

async function announceState(index: number, state: string): Promise<void> {
  const { control } = daemons[index % daemons.length]!.addresses;
  const body = JSON.stringify({ service: 'stock', address: '127.0.0.1:9', state });
  await fetch(`http://${control}/upstream`, { method: 'PUT', body });
}

process.on('message', (request: HostRequest) => {
  if (request.kind === 'start') void start(request.settings);
  else if (request.kind === 'stats') sendStats();
  else void announceState(request.index, request.state);
});
process.on('disconnect', () => process.exit(0));
