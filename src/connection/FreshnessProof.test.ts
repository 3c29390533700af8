import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { VersionNumber } from '../common/Types';
import FreshnessProof from './FreshnessProof';
import type { Moment, VersionProof } from './Types';

const BOUND_MS = 5_000;
const v = (version: number) => version as VersionNumber;

/** A proof with the clocks of its VM, and the version in force there. */
class Holder {
  public readonly monotonic = new ManualClock();

  public timeOfDayMs = 1_000_000;

  public inForce: VersionNumber | null = v(7);

  public readonly proof = new FreshnessProof(
    () => this.inForce,
    { boundMs: BOUND_MS, checksKeys: () => true },
    this.monotonic,
    () => this.timeOfDayMs,
  );

  public pass(ms: number, isSuspended = false): void {
    if (!isSuspended) this.monotonic.advance(ms);
    this.timeOfDayMs += ms;
  }
}

test('the age counts time in suspension and time that the time of day was set back', () => {
  const holder = new Holder();
  assert.equal([holder.proof.ageMs, holder.proof.isFresh], [Infinity, false]);
  holder.proof.add(v(7), holder.proof.now());
  holder.pass(3_000, true);
  assert.is(holder.proof.ageMs, 3_000);
  holder.timeOfDayMs -= 2_900;
  holder.pass(4_500);
  assert.equal([holder.proof.ageMs, holder.proof.isFresh], [4_600, true]);
  holder.pass(500);
  assert.not(holder.proof.isFresh);
});

test('a proof from a peer counts from the request, and a late or older one changes nothing', () => {
  const holder = new Holder();
  const askedAt = holder.proof.now();
  holder.pass(1_500);
  holder.proof.add(v(6), askedAt, 200);
  assert.equal(holder.proof.current, { version: 6, ageMs: 1_700 });
  holder.proof.add(v(7), askedAt, 300);
  holder.proof.add(v(7), askedAt, -900);
  holder.proof.add(v(7), askedAt, Number.NaN);
  assert.is(holder.proof.ageMs, 1_700);
  holder.pass(100);
  holder.proof.add(v(7), holder.proof.now());
  assert.equal(holder.proof.current, { version: 7, ageMs: 0 });
});

test('a proof for a newer version is valid once this or a newer version is in force', () => {
  const holder = new Holder();
  holder.proof.add(v(7), holder.proof.now());
  holder.pass(400);
  for (let version = 8; version < 30; version += 1) {
    holder.proof.add(v(version), holder.proof.now());
    holder.pass(10);
  }
  assert.equal(holder.proof.current, { version: 7, ageMs: 620 });
  holder.inForce = v(28);
  assert.equal(holder.proof.current, { version: 28, ageMs: 20 });
  holder.inForce = v(40);
  assert.equal(holder.proof.current, { version: 29, ageMs: 10 });
});

/** A daemon of the random fleet; its clocks stop or step, but not both at once. */
interface Daemon {
  holder: Holder;
  readonly maySuspend: boolean;
  frozenUntil: number;
  isSuspended: boolean;
  /** Newest version that is received but not in force yet. */
  received: VersionNumber | null;
}

/** A request under way to the store or to a peer, whose response may be delayed. */
interface Exchange {
  readonly from: number;
  readonly holder: Holder;
  readonly askedAt: Moment;
  readonly to: number | 'store';
  reply?: { readonly version: VersionNumber | null; readonly proof: VersionProof | null };
}

/** Plays random reads, gossip, delays, cuts, freezes, steps of clocks and restarts, and counts wrong accepts. */
function playFleet(seed: number): { violations: string[]; accepted: number; refused: number } {
  const random = new SeededRandom(seed);
  const acknowledgedAt = [0];
  const daemons = Array.from({ length: 4 }, (_, index): Daemon => {
    const holder = new Holder();
    holder.inForce = null;
    const clocks = { frozenUntil: 0, isSuspended: false, received: null };
    return { holder, maySuspend: index % 2 === 0, ...clocks };
  });
  const cutUntil = new Map<string, number>();
  let exchanges: Exchange[] = [];
  let now = 0;
  const violations: string[] = [];
  const counts = { accepted: 0, refused: 0 };
  const isCut = ({ from, to }: Exchange) => (cutUntil.get(`${from} ${to}`) ?? 0) > now;
  const isFrozen = ({ frozenUntil }: Daemon) => frozenUntil > now;

  const process = (exchange: Exchange): boolean => {
    if (isCut(exchange)) return random.below(2) === 0;
    const requester = daemons[exchange.from]!;
    if (exchange.holder !== requester.holder) return false;
    if (!exchange.reply) {
      if (exchange.to === 'store') {
        exchange.reply = { version: v(acknowledgedAt.length - 1), proof: null };
      } else {
        const peer = daemons[exchange.to]!;
        if (isFrozen(peer)) return true;
        const { inForce, proof } = peer.holder;
        exchange.reply = { version: inForce, proof: proof.current };
      }
      return true;
    }
    if (isFrozen(requester)) return true;
    const { version, proof } = exchange.reply;
    if (version !== null && version > (requester.received ?? -1)) requester.received = version;
    const { proof: own } = requester.holder;
    if (exchange.to === 'store') own.add(version!, exchange.askedAt);
    else if (proof) own.add(proof.version, exchange.askedAt, proof.ageMs);
    return false;
  };

  const disturb = (daemon: Daemon, index: number) => {
    const event = random.below(60);
    if (event < 2) {
      daemon.frozenUntil = now + random.below(9_000);
      daemon.isSuspended = daemon.maySuspend && event === 0;
    } else if (event === 2 && !daemon.maySuspend) {
      daemon.holder.timeOfDayMs += random.below(8_000) - 4_000;
    } else if (event === 3 && random.below(4) === 0) {
      Object.assign(daemon, { holder: new Holder(), received: null });
      daemon.holder.inForce = null;
    } else if (event < 7) {
      const to = [...daemons.keys(), 'store'][random.below(5)]!;
      cutUntil.set(`${index} ${to}`, now + random.below(12_000));
    }
  };

  const act = (daemon: Daemon, index: number) => {
    const { holder } = daemon;
    if (random.below(3) === 0) {
      const to = index === 0 && random.below(2) === 0 ? 'store' : random.below(daemons.length);
      exchanges.push({ from: index, holder, askedAt: holder.proof.now(), to });
    }
    if (random.below(2) === 0) holder.inForce = daemon.received;
    if (holder.inForce === null) return;
    counts[holder.proof.isFresh ? 'accepted' : 'refused'] += 1;
    // Each version holds one key, which the next version removes.
    const removedAt = acknowledgedAt[holder.inForce + 1] ?? Infinity;
    if (holder.proof.isFresh && now > removedAt + BOUND_MS) {
      violations.push(`daemon ${index}, version ${holder.inForce}, at ${now}`);
    }
  };

  for (let step = 0; step < 400; step += 1) {
    const passedMs = 1 + random.below(200);
    now += passedMs;
    if (random.below(40) === 0) acknowledgedAt.push(now);
    exchanges = exchanges.filter((exchange) => random.below(3) > 0 || process(exchange));
    daemons.forEach((daemon, index) => {
      daemon.holder.pass(passedMs, isFrozen(daemon) && daemon.isSuspended);
      disturb(daemon, index);
      if (!isFrozen(daemon)) act(daemon, index);
    });
  }
  return { violations, ...counts };
}

// Guards against any way in which a delay, a freeze or a restart makes a proof look younger than it is.
test('no daemon accepts a key later than the bound after its removal was acknowledged', () => {
  let accepted = 0;
  let refused = 0;
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), (seed) => {
      const result = playFleet(seed);
      accepted += result.accepted;
      refused += result.refused;
      assert.equal(result.violations, []);
    }),
    { numRuns: 200 },
  );
  assert.ok(accepted > 0.2 * refused && refused > 0.1 * accepted, `${accepted}, ${refused}`);
});

/** Plays 60 s of a fleet without faults: three readers, and heartbeats with four random peers a second. */
function playQuietFleet(size: number) {
  const random = new SeededRandom(size);
  const clock = new ManualClock();
  const daemons = Array.from({ length: size }, (_, index) => ({
    proof: new FreshnessProof(
      () => v(7),
      { boundMs: BOUND_MS, checksKeys: () => true },
      clock,
      () => clock.now(),
    ),
    links: Array.from({ length: 4 }, () => ({
      peer: (index + 1 + random.below(size - 1)) % size,
      dueAt: random.below(1_000),
    })),
    requestAt: random.below(250),
  }));
  const ages: number[] = [];
  let beats = 0;
  for (let now = 0; now < 60_000; now += 10) {
    daemons.slice(0, 3).forEach(({ proof }, reader) => {
      if ((now + reader * 330) % 1_000 === 0) proof.add(v(7), proof.now());
    });
    for (const daemon of daemons) {
      const { proof, links } = daemon;
      const isHastened = now >= daemon.requestAt && proof.isOlderThan(1 / 3);
      if (now >= daemon.requestAt) daemon.requestAt += 250;
      for (const link of links.filter(({ dueAt }) => isHastened || now >= dueAt)) {
        const stated = daemons[link.peer]!.proof.current;
        if (stated) proof.add(stated.version, proof.now(), stated.ageMs);
        link.dueAt = now + 1_000;
        if (now >= 10_000) beats += 1;
      }
      if (now >= 10_000) ages.push(proof.ageMs);
    }
    clock.advance(10);
  }
  ages.sort((a, b) => a - b);
  const at = (share: number) => Math.round(ages[Math.floor(share * (ages.length - 1))]!);
  return { p50: at(0.5), p99: at(0.99), max: at(1), beatsPerSecond: beats / size / 50 };
}

// Guards against proofs that are passed on so slowly that daemons refuse keys or read for themselves.
test('on a quiet day every proof of 62 daemons is younger than half the bound', () => {
  const { max, beatsPerSecond } = playQuietFleet(62);
  assert.ok(max < 2_500 && beatsPerSecond < 6, `${max} ms, ${beatsPerSecond} heartbeats`);
});

test.run();
