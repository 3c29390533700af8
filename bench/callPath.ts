/**
 * Latency that each way to an upstream adds to a call, side by side in one run: direct, a bare hop
 * (polka and undici, no logic), through one daemon (the upstream beside it), through two daemons.
 * Open loop at a fixed rate, the ways interleaved in short slices so that the machine's noise falls
 * on all alike. Usage: `callPath.ts [RATE] [SECONDS_PER_SLICE] [ROUNDS]`.
 *
 * @packageDocumentation
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { cpSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import polka from 'polka';
import { Agent, request } from 'undici';
import Fleet, { eventually, type DaemonReady, type FleetProcess } from '../stand-in/Fleet';

const RATE = Number(process.argv[2] ?? 400);
const SLICE_SECONDS = Number(process.argv[3] ?? 2);
const ROUNDS = Number(process.argv[4] ?? 8);
const US_PER_MS = 1_000;
const TICKS_PER_SECOND = 100;

/** A way to the upstream. */
interface Way {
  readonly name: string;
  readonly url: string;
  readonly histogram: Histogram;
  /** The 99th percentile of each slice, in ms. */
  readonly slices: number[];
  /** Processes whose processor time the way costs. */
  readonly pids: readonly number[];
  cpuMs: number;
  calls: number;
}

/** Runs in a child process: passes everything on by polka and undici, with no logic. */
async function bareHop(target: string): Promise<void> {
  const agent = new Agent({ connections: 128, pipelining: 1 });
  const app = polka({
    onNoMatch: (message, response) => {
      void request(`http://${target}${message.url}`, { dispatcher: agent }).then((answer) => {
        response.writeHead(answer.statusCode, answer.headers as never);
        answer.body.pipe(response);
      });
    },
  });
  const server = createServer(app.handler as never);
  server.listen(0, '127.0.0.1', () => process.send!((server.address() as AddressInfo).port));
}

function cpuMs(pids: readonly number[]): number {
  const ticks = pids.map((pid) => {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
    return Number(fields[11]) + Number(fields[12]);
  });
  return (ticks.reduce((sum, own) => sum + own, 0) * 1_000) / TICKS_PER_SECOND;
}

async function slice(way: Way, agent: Agent): Promise<void> {
  const own = buildHistogram();
  const began = performance.now();
  const before = cpuMs(way.pids);
  const total = RATE * SLICE_SECONDS;
  const open: Promise<void>[] = [];
  for (let sent = 0; sent < total; sent += 1) {
    const due = began + (sent * 1_000) / RATE;
    if (due > performance.now()) await delay(due - performance.now());
    open.push(
      (async () => {
        const at = performance.now();
        const answer = await request(way.url, { dispatcher: agent });
        await answer.body.text();
        own.recordValue(Math.round((performance.now() - at) * US_PER_MS));
      })(),
    );
  }
  await Promise.all(open);
  way.cpuMs += cpuMs(way.pids) - before;
  way.calls += total;
  way.histogram.add(own);
  way.slices.push(own.getValueAtPercentile(99) / US_PER_MS);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function report(ways: readonly Way[]): unknown {
  const [direct] = ways;
  return ways.map(({ name, histogram, slices, cpuMs: cpu, calls }) => {
    const added = slices.map((p99, round) => p99 - direct!.slices[round]!);
    const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      way: name,
      p50: at(50),
      p99: at(99),
      p999: at(99.9),
      added50: Number((at(50) - direct!.histogram.getValueAtPercentile(50) / US_PER_MS).toFixed(3)),
      added99Median: Number(median(added).toFixed(3)),
      added99Least: Number(Math.min(...added).toFixed(3)),
      added99Most: Number(Math.max(...added).toFixed(3)),
      cpuUsPerCall: Math.round((cpu * US_PER_MS) / calls),
      calls,
    };
  });
}

async function ready(url: string): Promise<void> {
  await eventually(url, async () => (await fetch(url)).status === 200);
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  const hops: ReturnType<typeof fork>[] = [];
  try {
    await fleet.startLog();
    const near = await fleet.startDaemon({ name: 'near', zone: 'coq' });
    const far = await fleet.startDaemon({ name: 'far', zone: 'coq' });
    const upstream = await fleet.startUpstream('stock', far, 0);
    const folder = fleet.path('folder');
    cpSync('examples/association', folder, { recursive: true });
    await fleet.command(['publish', folder, '--log', fleet.log]);
    const target = `127.0.0.1:${upstream.ready.port}`;
    const hop = fork(process.argv[1]!, ['--bare-hop', target], { execArgv: process.execArgv });
    hops.push(hop);
    const [port] = (await once(hop, 'message')) as [number];
    const callsOf = (daemon: FleetProcess<DaemonReady>) =>
      `http://${daemon.ready.listening.calls}/stock/x`;
    const pid = ({ child }: FleetProcess<unknown>) => child.pid!;
    const way = (name: string, url: string, ...pids: number[]): Way => ({
      name,
      url,
      histogram: buildHistogram(),
      slices: [],
      pids,
      cpuMs: 0,
      calls: 0,
    });
    const ways = [
      way('direct', `http://${target}/stock/x`),
      way('bare hop', `http://127.0.0.1:${port}/stock/x`, hop.pid!),
      way('one daemon', callsOf(far), pid(far)),
      way('two daemons', callsOf(near), pid(near), pid(far)),
    ];
    for (const { url } of ways) await ready(url);
    const agent = new Agent({ connections: 128, pipelining: 1 });
    for (const current of ways) {
      await slice(current, agent);
      current.histogram.reset();
      current.slices.length = 0;
      Object.assign(current, { cpuMs: 0, calls: 0 });
    }
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const current of ways) await slice(current, agent);
    }
    await agent.close();
    const result = { rate: RATE, sliceSeconds: SLICE_SECONDS, rounds: ROUNDS, ways: report(ways) };
    console.table(result.ways);
    mkdirSync('bench/results', { recursive: true });
    writeFileSync(
      `bench/results/callPath-${RATE}.json`,
      `${JSON.stringify(result, undefined, 1)}\n`,
    );
  } finally {
    for (const hop of hops) hop.kill();
    await fleet.dispose();
  }
}

if (process.argv[2] === '--bare-hop') await bareHop(process.argv[3]!);
else await main();
