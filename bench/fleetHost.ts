/**
 * Hosts many daemons in one process for `fleet.ts`. Each has its own servers and its frames cross
 * real sockets; only the process is shared.
 *
 * @packageDocumentation
 */
import type Daemon from '../src/process/Daemon';
import { parseSettings } from '../src/process/settings';
import SettingsHolder from '../src/process/SettingsHolder';
import wireDaemon from '../src/process/wireDaemon';

/** What the driver asks of a host. */
export type HostRequest =
  | { readonly kind: 'start'; readonly settings: readonly string[] }
  | { readonly kind: 'stats' }
  | { readonly kind: 'flip'; readonly index: number; readonly state: string };

/** What a host answers, or tells by itself. */
export type HostReply =
  | { readonly kind: 'started'; readonly peers: readonly string[] }
  | { readonly kind: 'swap'; readonly version: number; readonly at: number }
  | {
      readonly kind: 'stats';
      readonly cpuMs: number;
      readonly bytes: number;
      readonly residentBytes: number;
      readonly members: readonly number[];
    };

const US_PER_MS = 1_000;
const daemons: Daemon[] = [];

function reply(message: HostReply): void {
  process.send!(message);
}

async function start(settings: readonly string[]): Promise<void> {
  const started = await Promise.all(
    settings.map((text) => wireDaemon(new SettingsHolder('bench', parseSettings(text, 'bench')))),
  );
  for (const daemon of started) {
    daemon.onSwap(({ head }) => reply({ kind: 'swap', version: head.version, at: Date.now() }));
    daemon.start();
    daemons.push(daemon);
  }
  reply({ kind: 'started', peers: started.map(({ addresses }) => addresses.peers) });
}

function stats(): void {
  const { user, system } = process.cpuUsage();
  reply({
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

async function flip(index: number, state: string): Promise<void> {
  const { control } = daemons[index % daemons.length]!.addresses;
  const body = JSON.stringify({ service: 'stock', address: '127.0.0.1:9', state });
  await fetch(`http://${control}/upstream`, { method: 'PUT', body });
}

process.on('message', (request: HostRequest) => {
  if (request.kind === 'start') void start(request.settings);
  else if (request.kind === 'stats') stats();
  else void flip(request.index, request.state);
});
process.on('disconnect', () => process.exit(0));
