/**
 * Latency that each path to an upstream adds to a call, compared in one run: direct, through a bare
 * proxy (polka and undici, no further logic), through one daemon (the upstream beside it) and through
 * two daemons. Open loop at a fixed rate; the paths alternate in short slices, so that disturbances
 * by other processes affect all of them alike.
 * Usage: `callPath.ts [CALLS_PER_SECOND] [SECONDS_PER_SLICE] [ROUNDS]`; the raw result goes to
 * `bench/results/`.
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

/** A path to the upstream and what was measured on it. */
interface CallPath {
  readonly name: string;
  readonly url: string;
  readonly histogram: Histogram;
  /** The 99th percentile of the latency in each slice, in milliseconds. */
  readonly sliceP99s: number[];
  /** Process ids of the daemons or the proxy on the path, whose processor time is measured. */
  readonly pids: readonly number[];
  cpuMs: number;
  calls: number;
}

/** Main function of the child process: a proxy of polka and undici with no further logic. */
async function runBareProxy(target: string): Promise<void> {
  const agent = new Agent({ connections: 128, pipelining: 1 });
  const app = polka({
    onNoMatch: (message, response) => {
      void request(`http://${target}${message.url}`, { dispatcher: agent }).then((forwarded) => {
        response.writeHead(forwarded.statusCode, forwarded.headers as never);
        forwarded.body.pipe(response);
      });
    },
  });
  const server = createServer(app.handler as never);
  server.listen(0, '127.0.0.1', () => process.send!((server.address() as AddressInfo).port));
}

/** Processor time of some processes since their start, in milliseconds. */
function readCpuMs(pids: readonly number[]): number {
  const ticks = pids.map((pid) => {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
    return Number(fields[11]) + Number(fields[12]);
  });
  return (ticks.reduce((sum, count) => sum + count, 0) * 1_000) / TICKS_PER_SECOND;
}

async function runSlice(path: CallPath, agent: Agent): Promise<void> {
  const sliceHistogram = buildHistogram();
  const startedAt = performance.now();
  const cpuMsBefore = readCpuMs(path.pids);
  const total = RATE * SLICE_SECONDS;
  const inFlight: Promise<void>[] = [];
  for (let sent = 0; sent < total; sent += 1) {
    const dueAt = startedAt + (sent * 1_000) / RATE;
    if (dueAt > performance.now()) await delay(dueAt - performance.now());
    inFlight.push(
      (async () => {
        const sentAt = performance.now();
        const response = await request(path.url, { dispatcher: agent });
        await response.body.text();
        sliceHistogram.recordValue(Math.round((performance.now() - sentAt) * US_PER_MS));
      })(),
    );
  }
  await Promise.all(inFlight);
  path.cpuMs += readCpuMs(path.pids) - cpuMsBefore;
  path.calls += total;
  path.histogram.add(sliceHistogram);
  path.sliceP99s.push(sliceHistogram.getValueAtPercentile(99) / US_PER_MS);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function summarize(paths: readonly CallPath[]): unknown {
  const [direct] = paths;
  return paths.map(({ name, histogram, sliceP99s, cpuMs: cpu, calls }) => {
    const addedMs = sliceP99s.map((p99, round) => p99 - direct!.sliceP99s[round]!);
    const latencyMs = (percentile: number) =>
      histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      way: name,
      p50: latencyMs(50),
      p99: latencyMs(99),
      p999: latencyMs(99.9),
      added50: Number(
        (latencyMs(50) - direct!.histogram.getValueAtPercentile(50) / US_PER_MS).toFixed(3),
      ),
      added99Median: Number(median(addedMs).toFixed(3)),
      added99Least: Number(Math.min(...addedMs).toFixed(3)),
      added99Most: Number(Math.max(...addedMs).toFixed(3)),
      cpuUsPerCall: Math.round((cpu * US_PER_MS) / calls),
      calls,
    };
  });
}

async function untilServed(url: string): Promise<void> {
  await eventually(url, async () => (await fetch(url)).status === 200);
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  const proxies: ReturnType<typeof fork>[] = [];
  try {
    await fleet.startLog();
    const near = await fleet.startDaemon({ name: 'near', zone: 'coq' });
    const far = await fleet.startDaemon({ name: 'far', zone: 'coq' });
    const upstream = await fleet.startUpstream('stock', far, 0);
    const folder = fleet.tempPath('folder');
    cpSync('examples/association', folder, { recursive: true });
    await fleet.runCommand(['publish', folder, '--log', fleet.logAddress]);
    const target = `127.0.0.1:${upstream.ready.port}`;
    const proxy = fork(process.argv[1]!, ['--bare-hop', target], { execArgv: process.execArgv });
    proxies.push(proxy);
    const [port] = (await once(proxy, 'message')) as [number];
    const urlOf = (daemon: FleetProcess<DaemonReady>) =>
      `http://${daemon.ready.listening.calls}/stock/x`;
    const pid = ({ child }: FleetProcess<unknown>) => child.pid!;
    const path = (name: string, url: string, ...pids: number[]): CallPath => ({
      name,
      url,
      histogram: buildHistogram(),
      sliceP99s: [],
      pids,
      cpuMs: 0,
      calls: 0,
    });
    const paths = [
      path('direct', `http://${target}/stock/x`),
      path('bare hop', `http://127.0.0.1:${port}/stock/x`, proxy.pid!),
      path('one daemon', urlOf(far), pid(far)),
      path('two daemons', urlOf(near), pid(near), pid(far)),
    ];
    for (const { url } of paths) await untilServed(url);
    const agent = new Agent({ connections: 128, pipelining: 1 });
    // Warm-up: one slice per path, which is not counted.
    for (const current of paths) {
      await runSlice(current, agent);
      current.histogram.reset();
      current.sliceP99s.length = 0;
      Object.assign(current, { cpuMs: 0, calls: 0 });
    }
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const current of paths) await runSlice(current, agent);
    }
    await agent.close();
    const result = {
      rate: RATE,
      sliceSeconds: SLICE_SECONDS,
      rounds: ROUNDS,
      ways: summarize(paths),
    };
    console.table(result.ways);
    mkdirSync('bench/results', { recursive: true });
    writeFileSync(
      `bench/results/callPath-${RATE}.json`,
      `${JSON.stringify(result, undefined, 1)}\n`,
    );
  } finally {
    for (const proxy of proxies) proxy.kill();
    await fleet.dispose();
  }
}

if (process.argv[2] === '--bare-hop') await runBareProxy(process.argv[3]!);
else await main();
