/**
 * Replays, on a virtual clock, the loads that quotas are designed for, over 62 daemons.
 *
 * @packageDocumentation
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import QuotaFleet, { PERFECT_NETWORK } from '../../stand-in/QuotaFleet';
import SeededRandom from '../common/SeededRandom';
import { poolsOf, rankOwners } from './quotaPools';
import type { OrganisationName } from '../common/Types';

const DAEMONS = 62;
const STEP_MS = 10;
const NAME = 'acme' as OrganisationName;

class Replay {
  public readonly random = new SeededRandom(23);

  public readonly fleet: QuotaFleet;

  private due = 0;

  public constructor(rate: number) {
    this.fleet = new QuotaFleet(DAEMONS, { rate, burst: rate }, this.random);
  }

  /** Sends calls for some time; half of them to one daemon, which changes each second. */
  public async send(perSecond: number, ms: number) {
    const { fleet, random } = this;
    const { tally, clock } = fleet;
    const before = { ran: tally.runs.length, refused: tally.refusedAt.length, over: tally.over };
    const startedAt = clock.now();
    let sent = 0;
    while (clock.now() < startedAt + ms) {
      this.due += (perSecond * STEP_MS) / 1_000;
      for (; this.due >= 1; this.due -= 1) {
        const hot = Math.floor(clock.now() / 1_000) % DAEMONS;
        const daemon = fleet.daemons[random.below(2) ? hot : random.below(DAEMONS)]!;
        if (daemon.isDown) continue;
        sent += 1;
        fleet.call(daemon, NAME);
      }
      await fleet.step();
    }
    return {
      sent,
      ran: tally.runs.length - before.ran,
      refused: tally.refusedAt.length - before.refused,
      over: tally.over - before.over,
    };
  }
}

test('calls within rate and burst run, also of small organisations whose callers change daemons', async () => {
  for (const rate of [245, 36, 5]) {
    const replay = new Replay(rate);
    await replay.send(0, 3_000);
    const usual = await replay.send(0.6 * rate, 8_000);
    assert.is(usual.refused, 0, `rate ${rate}: ${JSON.stringify(usual)}`);
    const waits = [...replay.fleet.tally.waitsMs].sort((a, b) => a - b);
    // A round trip takes up to 40 ms here; a second one is for organisations that both pools count.
    assert.ok(waits.at(-1)! <= 110, `longest wait ${waits.at(-1)} ms`);
  }
});

test('an organisation at 7.5 times its usual load gets its rate, and later times for each refused caller', async () => {
  const replay = new Replay(245);
  await replay.send(0.6 * 245, 5_000);
  const hot = await replay.send(7.5 * 0.6 * 245, 8_000);
  assert.ok(hot.ran > 0.95 * 8 * 245, JSON.stringify(hot));
  assert.ok(replay.fleet.worstWindow() <= 1, `${replay.fleet.worstWindow()} of what is permitted`);
  for (const times of replay.fleet.tally.retryAt.values()) {
    const isLater = times.every((at, index) => index === 0 || at > times[index - 1]!);
    assert.ok(isLater, 'a refused caller was told an earlier time than the one before');
  }
});

test('a rate that is lowered under load holds in every window that begins afterwards', async () => {
  const replay = new Replay(245);
  await replay.send(0.95 * 245, 8_000);
  const lowered = { rate: 36, burst: 36 };
  replay.fleet.quota = lowered;
  replay.fleet.tally.runs.length = 0;
  const after = await replay.send(0.95 * 245, 10_000);
  const worst = replay.fleet.worstWindow(lowered);
  assert.ok(worst <= 1, `${worst} of what is permitted`);
  assert.ok(after.ran > 0.9 * 10 * 36, JSON.stringify(after));
});

test('with an owner lost at the peak of usual load, the other pool serves until the next owner does', async () => {
  const replay = new Replay(245);
  const { fleet } = replay;
  await replay.send(0.6 * 245, 6_000);
  const [pool] = poolsOf(NAME);
  const [lost] = rankOwners(
    pool,
    fleet.daemons.map(({ id }) => id),
  );
  const owner = fleet.daemons.find(({ id }) => id === lost)!;
  owner.isDown = true;
  const after = await replay.send(0.6 * 245, 10_000);
  assert.ok(after.refused < 0.02 * after.sent, JSON.stringify(after));
  fleet.restart(owner);
  const back = await replay.send(0.6 * 245, 12_000);
  assert.ok(back.refused < 0.03 * back.sent, JSON.stringify(back));
  assert.ok(fleet.worstWindow() <= 1);
});

test('with 20 % of the daemons cut off for 12 s, both sides stay within the bound and most calls run', async () => {
  const replay = new Replay(245);
  const { fleet } = replay;
  await replay.send(0.6 * 245, 6_000);
  const isCut = (id: string) => Number(id.slice(1)) < 0.2 * DAEMONS;
  fleet.network.passes = (from, to) => isCut(from) === isCut(to);
  const during = await replay.send(3 * 245, 12_000);
  fleet.network.passes = PERFECT_NETWORK.passes;
  await replay.send(3 * 245, 10_000);
  assert.ok(fleet.worstWindow() <= 1, `${fleet.worstWindow()} of what is permitted`);
  assert.ok(during.ran > 0.7 * 12 * 245, JSON.stringify(during));
});

test('after all daemons restarted, the rate is available in the fifth second', async () => {
  const replay = new Replay(245);
  const { fleet } = replay;
  await replay.send(0.95 * 245, 6_000);
  for (const daemon of fleet.daemons) fleet.restart(daemon);
  await replay.send(0.6 * 245, 4_000);
  const fifth = await replay.send(0.6 * 245, 1_000);
  assert.ok(fifth.refused < 0.05 * fifth.sent, JSON.stringify(fifth));
  assert.ok(fleet.worstWindow() <= 1);
});

test.run();
