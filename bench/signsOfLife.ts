/**
 * Processor time of a liveness check of another daemon, summed over both ends: a probe on a new
 * connection and a ping on the open channel, alternately.
 * Usage: `signsOfLife.ts [CHECKS_PER_SLICE] [ROUNDS]`.
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

const CHECKS = Number(process.argv[2] ?? 1_000);
const ROUNDS = Number(process.argv[3] ?? 5);
const CONNECT_MS = 400;
/**
 * Pause between liveness checks, so that each check wakes the event loops of both daemons, as it
 * does while daemons wait for responses.
 */
const PAUSE_MS = 2;
const US_PER_TICK = 10_000;

/** Processor time of a process since its start, in microseconds. */
function cpuUs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  const clock = new SystemClock();
  const silentLogger = { log: () => undefined };
  const channels = new CallChannels('bench' as DaemonId, CONNECT_MS, clock, silentLogger);
  try {
    await fleet.startLog();
    const far = await fleet.startDaemon({ name: 'far', zone: 'coq' });
    const address = far.ready.listening.peers as Address;
    channels.get(address);
    await eventually('the channel is open', () => channels.lastReceivedAt(address) !== undefined);
    const ping = async () => {
      const lastReceivedAt = channels.lastReceivedAt(address);
      channels.ping(address);
      await delay(PAUSE_MS);
      if (channels.lastReceivedAt(address) === lastReceivedAt) await delay(PAUSE_MS);
    };
    const probe = async () => {
      if (!(await probeDaemon(address))) throw new Error('the daemon did not respond to a probe');
      await delay(PAUSE_MS);
    };
    const methods = [
      { name: 'probe', check: probe, us: [] as number[] },
      { name: 'ping', check: ping, us: [] as number[] },
      { name: 'nothing', check: () => delay(PAUSE_MS), us: [] as number[] },
    ];
    const totalCpuUs = () => cpuUs(process.pid) + cpuUs(far.child.pid!);
    for (let round = 0; round <= ROUNDS; round += 1) {
      for (const { check, us } of methods) {
        const cpuUsBefore = totalCpuUs();
        for (let number = 0; number < CHECKS; number += 1) await check();
        // The first round is a warm-up and does not count.
        if (round > 0) us.push((totalCpuUs() - cpuUsBefore) / CHECKS);
      }
    }
    console.table(
      methods.map(({ name, us }) => {
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
