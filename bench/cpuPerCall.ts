/**
 * Processor time per call of daemons under full load: closed loop, alternately through one daemon and
 * through two. It varies less than a 99th percentile, so smaller changes can be detected.
 * Usage: `cpuPerCall.ts [CALLS_PER_SLICE] [ROUNDS] [CALLERS]`; daemons inherit `NODE_OPTIONS`.
 *
 * @packageDocumentation
 */
import { cpSync, readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import Fleet, { eventually, type DaemonReady, type FleetProcess } from '../stand-in/Fleet';

const CALLS = Number(process.argv[2] ?? 4_000);
const ROUNDS = Number(process.argv[3] ?? 5);
const CALLERS = Number(process.argv[4] ?? 4);
const US_PER_TICK = 10_000;

/** Processor time of a process since its start, in microseconds. */
function cpuUs({ child }: FleetProcess<unknown>): number {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
}

/** Makes the calls of one slice and returns the calls per second. */
async function runSlice(url: string, agent: Agent): Promise<number> {
  let remaining = CALLS;
  const startedAt = performance.now();
  const caller = async () => {
    while (remaining > 0) {
      remaining -= 1;
      const response = await request(url, { dispatcher: agent });
      await response.body.text();
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, caller));
  return Math.round((CALLS * 1_000) / (performance.now() - startedAt));
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  try {
    await fleet.startLog();
    const near = await fleet.startDaemon({ name: 'near', zone: 'coq' });
    const far = await fleet.startDaemon({ name: 'far', zone: 'coq' });
    await fleet.startUpstream('stock', far, 0);
    const folder = fleet.tempPath('folder');
    cpSync('examples/association', folder, { recursive: true });
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const agent = new Agent({ connections: CALLERS, pipelining: 1 });
    const urlOf = (daemon: FleetProcess<DaemonReady>) =>
      `http://${daemon.ready.listening.calls}/stock/x`;
    const paths = [
      {
        name: 'one daemon',
        url: urlOf(far),
        daemons: [far],
        us: [] as number[],
        rate: [] as number[],
      },
      {
        name: 'two daemons',
        url: urlOf(near),
        daemons: [near, far],
        us: [] as number[],
        rate: [] as number[],
      },
    ];
    for (const { url } of paths) {
      await eventually(url, async () => (await fetch(url)).status === 200);
      await runSlice(url, agent);
    }
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const { url, daemons, us, rate } of paths) {
        const cpuUsBefore = daemons.reduce((sum, daemon) => sum + cpuUs(daemon), 0);
        rate.push(await runSlice(url, agent));
        us.push((daemons.reduce((sum, daemon) => sum + cpuUs(daemon), 0) - cpuUsBefore) / CALLS);
      }
    }
    console.table(
      paths.map(({ name, us, rate }) => {
        const sorted = [...us].sort((a, b) => a - b);
        return {
          way: name,
          cpuUsMedian: Math.round(sorted[Math.floor(sorted.length / 2)]!),
          least: Math.round(sorted[0]!),
          most: Math.round(sorted.at(-1)!),
          callsPerSecond: Math.max(...rate),
        };
      }),
    );
    await agent.close();
    for (const daemon of [near, far]) await Fleet.stopProcess(daemon);
  } finally {
    await fleet.dispose();
  }
}

await main();
