/**
 * Processor time of a sign of life of another daemon, for both ends: by a probe on a new connection
 * and by a ping on the channel in use, in turn.
 * Usage: `signsOfLife.ts [SIGNS_PER_SLICE] [ROUNDS]`.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import SystemClock from '../src/common/SystemClock';
import type { Address, DaemonId } from '../src/common/Types';
import probeDaemon from '../src/connection/probeDaemon';
import CallChannels from '../src/request/CallChannels';
import Fleet, { eventually } from '../stand-in/Fleet';

const SIGNS = Number(process.argv[2] ?? 1_000);
const ROUNDS = Number(process.argv[3] ?? 5);
const CONNECT_MS = 400;
/** Pause between two signs: each is a wake-up of its own, as with daemons that wait for answers. */
const PAUSE_MS = 2;
const US_PER_TICK = 10_000;

function cpuUs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  const clock = new SystemClock();
  const quiet = { log: () => undefined };
  const channels = new CallChannels('bench' as DaemonId, CONNECT_MS, clock, quiet);
  try {
    await fleet.startLog();
    const far = await fleet.startDaemon({ name: 'far', zone: 'coq' });
    const address = far.ready.listening.peers as Address;
    channels.get(address);
    await eventually('the channel', () => channels.lastReceivedAt(address) !== undefined);
    const ping = async () => {
      const before = channels.lastReceivedAt(address);
      channels.ping(address);
      await delay(PAUSE_MS);
      if (channels.lastReceivedAt(address) === before) await delay(PAUSE_MS);
    };
    const probe = async () => {
      if (!(await probeDaemon(address))) throw new Error('no answer');
      await delay(PAUSE_MS);
    };
    const ways = [
      { name: 'probe', sign: probe, us: [] as number[] },
      { name: 'ping', sign: ping, us: [] as number[] },
      { name: 'nothing', sign: () => delay(PAUSE_MS), us: [] as number[] },
    ];
    const read = () => cpuUs(process.pid) + cpuUs(far.child.pid!);
    for (let round = 0; round <= ROUNDS; round += 1) {
      for (const { sign, us } of ways) {
        const before = read();
        for (let number = 0; number < SIGNS; number += 1) await sign();
        // The first round warms up.
        if (round > 0) us.push((read() - before) / SIGNS);
      }
    }
    console.table(
      ways.map(({ name, us }) => {
        const sorted = [...us].sort((a, b) => a - b);
        return {
          way: name,
          cpuUsMedian: Math.round(sorted[Math.floor(sorted.length / 2)]!),
          least: Math.round(sorted[0]!),
          most: Math.round(sorted.at(-1)!),
        };
      }),
    );
  } finally {
    channels.dispose();
    await fleet.dispose();
  }
}

await main();
