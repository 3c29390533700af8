import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type { Address, DaemonId, Incarnation, Offset, ZoneName } from '../common/Types';
import Gossip from './Gossip';
import MemberTable from './MemberTable';
import type { HeadTracker, MemberRecord } from './Types';

const PEER = 'coq-2' as DaemonId;
const OWN: MemberRecord = {
  id: 'coq-1' as DaemonId,
  incarnation: 1 as Incarnation,
  sequence: 0,
  zone: 'coq' as ZoneName,
  address: '127.0.0.1:1' as Address,
  control: '127.0.0.1:2' as Address,
  service: null,
  state: 'none',
  healthHint: true,
  slots: null,
  readsLog: true,
  health: 'alive',
};
const HEADS = {
  offer: { version: null, through: 0 as Offset },
  knowledge: { version: null, through: 0 as Offset, confirmedAt: undefined },
  onAdvance: () => ({ dispose: () => undefined }),
} as unknown as HeadTracker;

/** The ids of the members that a table lists after some records were received, and the lines logged. */
function receive(records: readonly unknown[]): { ids: string[]; lines: string[] } {
  const clock = new ManualClock();
  const timeouts = { suspicionMs: 1_000, tombstoneMs: 1_000, partitionTimeoutMs: 1_000 };
  const members = new MemberTable(OWN, timeouts, clock);
  const lines: string[] = [];
  const gossip = new Gossip(members, HEADS, clock, {
    log: (message, fields) => lines.push(`${message} ${JSON.stringify(fields)}`),
  });
  gossip.receive(records, PEER);
  const ids = members.live().map(({ id }) => id as string);
  gossip.dispose();
  members.dispose();
  return { ids, lines };
}

test('an odd member record is passed over; the others of its message are merged', () => {
  const record = (id: string, changes: object = {}) => ({ ...OWN, id, ...changes });
  const { ids, lines } = receive([
    record('coq-2'),
    record('port', { address: '10.0.0.1:99999' }),
    record('number', { incarnation: 2 ** 53 - 1 }),
    record('coq-1', { incarnation: 1e300 }),
    record('', {}),
    record('state', { state: 'asleep' }),
    null,
    '__proto__',
    record('coq-3'),
  ]);
  assert.equal(ids.sort(), ['coq-1', 'coq-2', 'coq-3']);
  assert.is(lines.length, 7);
});

test('no value that a message can hold ends the daemon or hides a record beside it', () => {
  const fields = fc.record(
    Object.fromEntries(Object.keys(OWN).map((key) => [key, fc.anything()])),
    { requiredKeys: [] },
  );
  fc.assert(
    fc.property(fc.array(fc.oneof(fc.anything(), fields), { maxLength: 6 }), (odd) => {
      const { ids } = receive([...odd, { ...OWN, id: 'coq-3' }]);
      return ids.includes('coq-3') && ids.includes('coq-1');
    }),
    { seed: 30, numRuns: 300 },
  );
});

test.run();
