import { test } from 'uvu';
import * as assert from 'uvu/assert';
import MemberRank from './MemberRank';
import type { Membership } from './Types';

const ZONES = ['coq', 'rogers', 'kootenay', 'pine', 'allison', 'kicking'];
const MEMBERS_PER_ZONE = 5;
const READER_ZONES = 3;

const MEMBERS = ZONES.flatMap((zone) =>
  Array.from({ length: MEMBERS_PER_ZONE }, (_, number) => ({
    id: `${zone}-${number}`,
    zone,
    health: 'alive',
    readsLog: true,
  })),
);

/** Ranks that each of the members computes, where it knows the members that `isKnown` tells. */
function ranks(isKnown: (id: string) => boolean) {
  return MEMBERS.filter(({ id }) => isKnown(id)).map((self) => {
    const live = MEMBERS.filter(({ id }) => isKnown(id));
    const membership = { self, live: () => live, onChange: () => ({ dispose: () => undefined }) };
    return { ...self, rank: new MemberRank(membership as unknown as Membership, 'log-reader') };
  });
}

test('a role for a few daemons of the fleet has one holder in each of a few zones', () => {
  const lost = new Set<string>();
  const rows: string[] = [];
  for (let round = 0; round < 3; round += 1) {
    const all = ranks((id) => !lost.has(id));
    const holders = all.filter(({ rank }) => rank.value === 0 && rank.ofZone < READER_ZONES);
    const first = all.filter(({ rank }) => rank.isFirstOfFleet);
    rows.push(`${holders.map(({ zone }) => zone).join(' ')}; first ${first.map(({ id }) => id)}`);
    for (const { id } of holders) lost.add(id);
  }
  assert.snapshot(
    rows.join('\n'),
    `coq kootenay allison; first allison-4
coq kootenay allison; first allison-3
coq kootenay allison; first allison-2`,
  );
});

test('the member with the fastest link of its zone comes first, and the others if it is lost', () => {
  const fast = new Map([
    ['coq-1', 70],
    ['coq-3', 7],
    ['pine-4', 7],
  ]);
  const membersOf = (lost: string) =>
    MEMBERS.filter(({ id }) => id !== lost).map((member) => ({
      ...member,
      linkMbps: fast.get(member.id),
    }));
  const firstOf = (zone: string, lost = '') => {
    const live = membersOf(lost);
    const holders = live.filter((self) => {
      const membership = { self, live: () => live, onChange: () => ({ dispose: () => undefined }) };
      return new MemberRank(membership as unknown as Membership, 'log-reader').value === 0;
    });
    return holders.filter((member) => member.zone === zone).map(({ id }) => id);
  };
  assert.equal(
    [firstOf('coq'), firstOf('coq', 'coq-1'), firstOf('pine'), firstOf('kootenay').length],
    [['coq-1'], ['coq-3'], ['pine-4'], 1],
  );
});

test('when a whole zone is lost, the next zone takes its place', () => {
  const before = ranks(() => true).filter(({ rank }) => rank.isFirstOfFleet);
  const lostZone = before[0]!.zone;
  const after = ranks((id) => !id.startsWith(lostZone));
  const holders = after.filter(({ rank }) => rank.value === 0 && rank.ofZone < READER_ZONES);
  assert.is(holders.length, READER_ZONES);
  assert.is(new Set(holders.map(({ zone }) => zone)).size, READER_ZONES);
});

test.run();
