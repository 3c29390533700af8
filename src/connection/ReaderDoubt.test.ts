import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import SeededRandom from '../common/SeededRandom';
import type { DaemonId, ZoneName } from '../common/Types';
import HashRings from './HashRings';
import ReaderDoubt from './ReaderDoubt';
import type { MemberRecord } from './Types';

const FLEETS = 100;
const MAX_FLEET = 60;
const ZONES = 4;

const PEER = 'coq-1' as DaemonId;

test('the doubt ends with an answer, or some seconds after the peer was lost', () => {
  const clock = new ManualClock();
  const doubt = new ReaderDoubt(clock);
  let raised = 0;
  doubt.onRaise(() => {
    raised += 1;
  });
  const lines: string[] = [];
  const step = (name: string, act: () => void) => {
    act();
    lines.push(`${name}: ${doubt.isRaised} ${raised}`);
  };
  step('at first', () => {});
  step('late', () => doubt.recordLate(PEER));
  step('answered', () => doubt.recordAnswer(PEER));
  step('late again', () => doubt.recordLate(PEER));
  step('another one late', () => doubt.recordLate('coq-2' as DaemonId));
  step('not the successor any more', () => doubt.forget('coq-2' as DaemonId));
  step('lost', () => doubt.recordLoss(PEER));
  step('3.9 s later', () => clock.advance(3_900));
  step('4 s later', () => clock.advance(100));
  assert.snapshot(
    lines.join('\n'),
    `at first: false 0
late: true 1
answered: false 1
late again: true 2
another one late: true 2
not the successor any more: true 2
lost: true 2
3.9 s later: true 2
4 s later: false 2`,
  );
  doubt.dispose();
});

/** Links of each daemon, whichever end opened them. */
function linksOf(members: readonly MemberRecord[], rings: HashRings): Map<DaemonId, Set<DaemonId>> {
  const links = new Map(members.map(({ id }) => [id, new Set<DaemonId>()]));
  for (const self of members) {
    for (const successor of rings.successors(self, members).keys()) {
      links.get(self.id)!.add(successor);
      links.get(successor)!.add(self.id);
    }
  }
  return links;
}

/** The daemons that one can reach over links without the lost ones. */
function groupOf(
  start: DaemonId,
  links: ReadonlyMap<DaemonId, ReadonlySet<DaemonId>>,
  lost: ReadonlySet<DaemonId>,
): Set<DaemonId> {
  const group = new Set([start]);
  for (const id of group) {
    for (const other of links.get(id)!) if (!lost.has(other)) group.add(other);
  }
  return group;
}

// Guards against a group of daemons that no version reaches, as nobody in it notices that the readers are lost.
test('whichever daemons are lost, each group that remains has one that watches a lost daemon', () => {
  const random = new SeededRandom(36);
  const silent: string[] = [];
  for (let fleet = 0; fleet < FLEETS; fleet += 1) {
    const size = 2 + random.below(MAX_FLEET - 1);
    const members = Array.from({ length: size }, (_, index) => ({
      id: `fleet-${fleet}-${index}` as DaemonId,
      zone: `zone-${random.below(ZONES)}` as ZoneName,
    })) as unknown as MemberRecord[];
    const rings = new HashRings();
    const links = linksOf(members, rings);
    const lost = new Set(members.filter(() => random.below(3) === 0).map(({ id }) => id));
    const watchers = new Set(
      members.filter((self) => lost.has(rings.watched(self, members)!.id)).map(({ id }) => id),
    );
    const remaining = members.map(({ id }) => id).filter((id) => !lost.has(id));
    while (lost.size > 0 && remaining.length > 0) {
      const group = groupOf(remaining[0]!, links, lost);
      if (![...group].some((id) => watchers.has(id))) silent.push(`${remaining[0]} of ${size}`);
      remaining.splice(0, remaining.length, ...remaining.filter((id) => !group.has(id)));
    }
  }
  assert.equal(silent, []);
});

test.run();
