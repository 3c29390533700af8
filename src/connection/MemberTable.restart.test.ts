import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { Address, DaemonId, Incarnation, ServiceName, ZoneName } from '../common/Types';
import MemberTable from './MemberTable';
import type { MemberRecord } from './Types';

const OPTIONS = { suspicionMs: 5_000, tombstoneMs: 60_000, partitionTimeoutMs: 3_600_000 };

function record(id: string, incarnation: number, changes: Partial<MemberRecord> = {}) {
  return {
    id: id as DaemonId,
    incarnation: incarnation as Incarnation,
    sequence: 0,
    zone: 'coq' as ZoneName,
    address: `${id}:1` as Address,
    control: `${id}:2` as Address,
    service: 'stock' as ServiceName,
    state: 'serving' as const,
    healthHint: true,
    slots: 9,
    readsLog: true,
    health: 'alive' as const,
    ...changes,
  };
}

test('a restarted daemon with a lower incarnation than its predecessor supersedes it', () => {
  const clock = new ManualClock();
  const peer = new MemberTable(record('peer', 1), OPTIONS, clock);
  // The previous process left gracefully with a high incarnation; the wall clock may have gone back.
  peer.merge([record('coq-1', 900_000, { sequence: 40, state: 'serving' })]);
  peer.merge([record('coq-1', 900_000, { sequence: 41, state: 'gone' })]);
  const restarted = new MemberTable(record('coq-1', 17), OPTIONS, clock);
  peer.merge([restarted.self]);
  assert.is(peer.get('coq-1' as DaemonId)?.state, 'gone', 'its first record is considered stale');
  restarted.merge(peer.all());
  peer.merge([restarted.self]);
  assert.is(peer.get('coq-1' as DaemonId)?.state, 'serving');
  assert.is(peer.get('coq-1' as DaemonId)?.incarnation, 900_017);
  peer.dispose();
  restarted.dispose();
});

// Guards against an attempt that one process runs and the next one, of the same incarnation, calls not run.
test('processes that restart in quick succession and hear of the same record differ in incarnation', () => {
  const clock = new ManualClock();
  const peer = new MemberTable(record('peer', 1), OPTIONS, clock);
  peer.merge([record('coq-1', 900_000)]);
  const incarnations = [17, 40].map((drawn) => {
    const restarted = new MemberTable(record('coq-1', drawn), OPTIONS, clock);
    restarted.merge(peer.all());
    restarted.dispose();
    return restarted.self.incarnation;
  });
  assert.is(new Set(incarnations).size, 2);
  peer.dispose();
});

test.run();
