/**
 * Quotas: processor time of a decision at a daemon and of a request at an owner, and bytes that a daemon sends and
 * receives a second at 62 and 300 daemons, over all of which 73 organisations send 0.6 of their rates. The bytes are
 * those of the encoded procedures, without the frames of WebSocket and TCP.
 * Usage: `quota.ts`; the raw result goes to `bench/results/`.
 *
 * @packageDocumentation
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import SeededRandom from '../src/common/SeededRandom';
import type { DaemonId, OrganisationName } from '../src/common/Types';
import messageCodec from '../src/connection/messageCodec';
import { packQuotaReply, packQuotaRequest } from '../src/connection/quotaMessages';
import CreditPool from '../src/request/CreditPool';
import type { Organisation, Quota } from '../src/version/Types';
import QuotaFleet from '../stand-in/QuotaFleet';

const LARGE_RATES = [245, 107, 66, 47, 36];
const SMALL_RATE = 5;
const ORGANISATIONS = 73;
const USUAL_LOAD = 0.6;
const STEPS_PER_SECOND = 100;
const WARM_UP_SECONDS = 4;
const SECONDS = 10;
const DECISIONS = 200_000;
const REQUESTS = 5_000;
const CLAIMS = 10;

const microseconds = (startedAt: bigint, count: number) =>
  Number((Number(process.hrtime.bigint() - startedAt) / 1_000 / count).toFixed(2));

async function measureBytes(daemons: number): Promise<Record<string, number>> {
  const random = new SeededRandom(3);
  const scale = daemons / 62;
  const fleet = new QuotaFleet(daemons, { rate: SMALL_RATE, burst: SMALL_RATE }, random);
  const rates = Array.from({ length: ORGANISATIONS }, (_, index) => {
    const rate = (LARGE_RATES[index] ?? SMALL_RATE) * scale;
    fleet.quotas.set(`organisation-${index}`, { rate, burst: rate });
    return rate;
  });
  let bytes = 0;
  let messages = 0;
  fleet.onExchange = (request, reply) => {
    const input = packQuotaRequest(request);
    const params = { path: 'quota', input };
    const data = packQuotaReply(reply);
    messages += 1;
    bytes += messageCodec.encode({ id: 1, method: 'mutation', params }).length;
    bytes += messageCodec.encode({ id: 1, result: { type: 'data', data } }).length;
  };
  const due = rates.map(() => 0);
  for (let step = 0; step < (WARM_UP_SECONDS + SECONDS) * STEPS_PER_SECOND; step += 1) {
    if (step === WARM_UP_SECONDS * STEPS_PER_SECOND) {
      bytes = 0;
      messages = 0;
      for (const list of [fleet.tally.runs, fleet.tally.refusedAt, fleet.tally.waitsMs]) {
        list.length = 0;
      }
    }
    rates.forEach((rate, index) => {
      due[index]! += (rate * USUAL_LOAD) / STEPS_PER_SECOND;
      for (; due[index]! >= 1; due[index]! -= 1) {
        const name = `organisation-${index}`;
        fleet.call(fleet.daemons[random.below(daemons)]!, name, fleet.quotas.get(name));
      }
    });
    await fleet.step();
  }
  const { tally } = fleet;
  const waits = [...tally.waitsMs].sort((a, b) => a - b);
  return {
    daemons,
    bytesSentPerDaemonSecond: Math.round(bytes / daemons / SECONDS),
    requestsPerDaemonSecond: Number((messages / daemons / SECONDS).toFixed(1)),
    calls: tally.runs.length,
    refused: tally.refusedAt.length,
    waitedPercent: Math.round((100 * waits.filter((ms) => ms > 0).length) / waits.length),
  };
}

/** Time of a decision for which a credit is at hand, with requests and replies for every 50th call. */
async function measureDecision(): Promise<number> {
  const quota: Quota = { rate: 1_000_000, burst: 1_000_000 };
  const fleet = new QuotaFleet(1, quota, new SeededRandom(1));
  const [daemon] = fleet.daemons;
  const organisation = { name: 'acme' as OrganisationName } as Organisation;
  for (let step = 0; step < 2 * STEPS_PER_SECOND; step += 1) {
    for (let call = 0; call < 100; call += 1) fleet.call(daemon!, 'acme');
    await fleet.step();
  }
  const startedAt = process.hrtime.bigint();
  for (let call = 0; call < DECISIONS; call += 1) {
    daemon!.client.take(organisation, quota);
    if (call % 50 === 0) await fleet.step();
  }
  return microseconds(startedAt, DECISIONS);
}

function measureOwner(lenders: number): number {
  let now = 0;
  const pool = new CreditPool({
    clock: { now: () => now },
    session: 1,
    quotaOf: () => ({ rate: 245, burst: 245 }),
    tolerance: () => ({ windowMs: 5_000, over: 0.1, slack: 20 }),
    known: () => lenders,
  });
  const claims = Array.from({ length: CLAIMS }, (_, index) => ({
    organisation: `organisation-${index}` as OrganisationName,
    held: 1,
    returned: 0,
    needed: 0,
    wanted: 1,
  }));
  const startedAt = process.hrtime.bigint();
  for (let sequence = 0; sequence < REQUESTS; sequence += 1) {
    now += 1_000 / lenders;
    pool.handle({
      from: `d${sequence % lenders}` as DaemonId,
      session: 1,
      pool: 0,
      sequence,
      known: lenders,
      lent: { session: 1, stamp: now - 100 },
      release: false,
      claims,
    });
  }
  return microseconds(startedAt, REQUESTS);
}

async function main(): Promise<void> {
  const result = {
    decisionMicroseconds: await measureDecision(),
    ownerRequestMicroseconds: { lenders62: measureOwner(62), lenders300: measureOwner(300) },
    traffic: [await measureBytes(62), await measureBytes(300)],
  };
  mkdirSync('bench/results', { recursive: true });
  writeFileSync('bench/results/quota.json', `${JSON.stringify(result, null, 2)}\n`);
  process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
}

await main();
