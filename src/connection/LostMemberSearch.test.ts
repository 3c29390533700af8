import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { DaemonId, ZoneName } from '../common/Types';
import HashRings from './HashRings';
import LostMemberSearch from './LostMemberSearch';
import type { MemberRecord } from './Types';

const FLEETS = 50;
const MAX_FLEET = 60;
const ZONES = 4;
const MAX_SEEKERS = 4;
const STEP_MS = 500;
/** Time between the loss of some daemons and the start of their next processes, in milliseconds. */
const RESTARTED_AFTER_MS = 3_500;
/** Time after its start within which a daemon is to be contacted, in milliseconds. */
const FOUND_WITHIN_MS = 4_000;
const SEARCH_MS = 60_000;

/** Replays a fleet that loses some daemons at once; returns when each one is contacted by whom. */
function replay(random: SeededRandom, searchMs: number) {
  const clock = new ManualClock();
  const fleet = Array.from({ length: 2 + random.below(MAX_FLEET) }, (_, index) => ({
    id: `daemon-${index}` as DaemonId,
    zone: `zone-${index % ZONES}` as ZoneName,
    health: 'alive',
    state: 'serving',
  })) as unknown as MemberRecord[];
  const lostCount = 1 + random.below(fleet.length - 1);
  const view = fleet.map((member, index): MemberRecord => {
    if (index >= lostCount) return member;
    return index % 2 ? { ...member, health: 'dead' } : { ...member, state: 'gone' };
  });
  const rings = new HashRings();
  const present = view
    .slice(lostCount)
    .map((self) => ({ self, search: new LostMemberSearch(rings, clock, random) }));
  const contacts = new Map<DaemonId, { seeker: DaemonId; at: number }[]>();
  for (const { id } of view.slice(0, lostCount)) contacts.set(id, []);
  while (clock.now() < searchMs) {
    clock.advance(STEP_MS);
    for (const { self, search } of present) {
      for (const { id } of search.takeDue(self, view)) {
        contacts.get(id)!.push({ seeker: self.id, at: clock.now() });
      }
    }
  }
  return { contacts: [...contacts.values()], present: present.length };
}

// Guards against restarted daemons that nobody contacts, as without the store they know no peer.
test('whichever daemons restart at once, each one is contacted soon after by at most four others', () => {
  const random = new SeededRandom(39);
  const faults: string[] = [];
  for (let round = 0; round < FLEETS; round += 1) {
    const { contacts } = replay(random, RESTARTED_AFTER_MS + FOUND_WITHIN_MS);
    for (const tries of contacts) {
      const seekers = new Set(tries.map(({ seeker }) => seeker)).size;
      if (seekers < 1 || seekers > MAX_SEEKERS) faults.push(`${round}: ${seekers} seekers`);
      if (!tries.some(({ at }) => at >= RESTARTED_AFTER_MS)) faults.push(`${round}: not found`);
    }
  }
  assert.equal(faults, []);
});

test('a daemon that stays away is contacted by each of these less than once a second', () => {
  const { contacts, present } = replay(new SeededRandom(7), SEARCH_MS);
  const tries = contacts.map((each) => each.length);
  assert.ok(present > 0);
  assert.ok(Math.max(...tries) < (MAX_SEEKERS * SEARCH_MS) / 1_000, `${Math.max(...tries)} tries`);
});

test('a member that comes back is not contacted, and is sought anew when it is lost again', () => {
  const clock = new ManualClock();
  const search = new LostMemberSearch(new HashRings(), clock, new SeededRandom(1));
  const self = { id: 'self', zone: 'a', health: 'alive', state: 'none' } as unknown as MemberRecord;
  const peer = { ...self, id: 'peer' as DaemonId };
  const lost: MemberRecord = { ...peer, health: 'suspect' };
  const lines = [
    ['present', peer],
    ['suspect', lost],
    ['at once again', lost],
    ['back', peer],
    ['lost again', lost],
  ].map(([name, record]) => {
    const due = search.takeDue(self, [self, record as MemberRecord]);
    return `${name as string}: ${due.length}`;
  });
  assert.snapshot(
    lines.join('\n'),
    `present: 0
suspect: 1
at once again: 0
back: 0
lost again: 1`,
  );
});

test.run();
