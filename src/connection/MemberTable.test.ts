import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { Address, DaemonId, Incarnation, ServiceName, ZoneName } from '../common/Types';
import MemberTable from './MemberTable';
import type { MemberRecord } from './Types';

const OPTIONS = { suspicionMs: 5_000, tombstoneMs: 60_000, partitionTimeoutMs: 3_600_000 };
const STOCK = 'stock' as ServiceName;

function record(id: string, zone: string, changes: Partial<MemberRecord> = {}): MemberRecord {
  return {
    id: id as DaemonId,
    incarnation: 1 as Incarnation,
    sequence: 0,
    zone: zone as ZoneName,
    address: `${id}:1` as Address,
    control: `${id}:2` as Address,
    service: STOCK,
    state: 'serving',
    healthHint: true,
    slots: null,
    readsLog: true,
    health: 'alive',
    ...changes,
  };
}

function tableOf(...records: readonly MemberRecord[]): { table: MemberTable; clock: ManualClock } {
  const clock = new ManualClock();
  const table = new MemberTable(record('self', 'coq'), OPTIONS, clock);
  table.merge(records);
  return { table, clock };
}

function show(table: MemberTable): string {
  return table
    .all()
    .map(
      ({ id, incarnation, sequence, state, health }) =>
        `${id} ${incarnation}.${sequence} ${state} ${health}`,
    )
    .join('\n');
}

test('a suspect that refutes stays alive; one that does not is declared dead', () => {
  const { table, clock } = tableOf(
    record('a', 'coq'),
    record('b', 'coq'),
    record('c', 'coq'),
    record('d', 'rogers'),
  );
  table.suspect('a' as DaemonId);
  table.merge([record('a', 'coq', { sequence: 1 })]);
  table.suspect('d' as DaemonId);
  clock.advance(OPTIONS.suspicionMs + 1);
  table.sweep();
  assert.snapshot(
    show(table),
    `self 1.0 serving alive
a 1.1 serving alive
b 1.0 serving alive
c 1.0 serving alive
d 1.0 serving dead`,
  );
  table.dispose();
});

test('records with an older incarnation or sequence, and dead unknown members, change nothing', () => {
  const { table } = tableOf(record('a', 'coq', { incarnation: 2 as Incarnation, sequence: 3 }));
  const changed = table.merge([
    record('a', 'coq', { incarnation: 1 as Incarnation, sequence: 9, health: 'dead' }),
    record('a', 'coq', { incarnation: 2 as Incarnation, sequence: 2, state: 'draining' }),
    record('ghost', 'coq', { health: 'dead' }),
  ]);
  assert.is(changed.length, 0);
  table.merge([record('a', 'coq', { incarnation: 2 as Incarnation, sequence: 3, health: 'dead' })]);
  table.merge([record('a', 'coq', { incarnation: 2 as Incarnation, sequence: 3 })]);
  assert.is(table.get('a' as DaemonId)?.health, 'dead');
  table.merge([record('a', 'coq', { incarnation: 3 as Incarnation })]);
  assert.is(table.get('a' as DaemonId)?.health, 'alive');
  table.dispose();
});

test('a daemon refutes records of itself that mark it suspect or come from a newer incarnation', () => {
  const { table } = tableOf();
  table.merge([record('self', 'coq', { sequence: 0, health: 'suspect' })]);
  assert.is(table.self.sequence, 1);
  table.merge([record('self', 'coq', { incarnation: 7 as Incarnation, state: 'gone' })]);
  assert.snapshot(show(table), 'self 8.1 serving alive');
  table.dispose();
});

test('if half a zone is suspect at once, its upstreams stay until the partition timeout', () => {
  const zone = ['a', 'b', 'c', 'd'].map((id) => record(id, 'rogers'));
  const { table, clock } = tableOf(...zone, record('e', 'coq'), record('f', 'coq'));
  for (const { id } of zone) table.suspect(id);
  table.suspect('e' as DaemonId);
  clock.advance(OPTIONS.suspicionMs + 1);
  table.sweep();
  const left = () =>
    table.upstreams(STOCK).map(({ daemon, suspect }) => `${daemon}${suspect ? '?' : ''}`);
  assert.snapshot(left().join(' '), 'self a? b? c? d? f');
  clock.advance(OPTIONS.partitionTimeoutMs);
  table.sweep();
  assert.snapshot(left().join(' '), 'self f');
  table.dispose();
});

test('tables with the same records have the same digest, whatever the order of the merges', () => {
  const records = ['a', 'b', 'c', 'd', 'e'].map((id) => record(id, 'coq'));
  const left = tableOf(...records).table;
  const right = tableOf(...records.slice().reverse()).table;
  right.merge([record('f', 'coq')]);
  assert.is.not(left.digest(), right.digest());
  const differing = left
    .buckets()
    .flatMap((sum, bucket) => (sum === right.buckets()[bucket] ? [] : [bucket]));
  assert.is(differing.length, 1);
  left.merge(right.bucketRecords(differing));
  assert.is(left.digest(), right.digest());
  left.dispose();
  right.dispose();
});

test.run();
