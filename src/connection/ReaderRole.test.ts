import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DaemonId, ZoneName } from '../common/Types';
import ReaderRole from './ReaderRole';
import type { MemberRecord, Membership } from './Types';

const COUNTS = { readersPerZone: 1, readerZones: 3 };

/** The role of each daemon of a fleet; each entry gives the number of daemons of one zone. */
function rolesOf(
  zones: readonly number[],
  failed: readonly string[] = [],
): Map<string, ReaderRole> {
  const records = zones.flatMap((size, zone) =>
    Array.from({ length: size }, (_, index) => ({
      id: `zone-${zone}-${index}` as DaemonId,
      zone: `zone-${zone}` as ZoneName,
      health: 'alive',
      readsLog: !failed.includes(`zone-${zone}-${index}`),
    })),
  ) as unknown as MemberRecord[];
  return new Map(
    records.map((self) => {
      const membership = { self, live: () => records, onChange: () => ({ dispose: () => {} }) };
      return [self.id, new ReaderRole(membership as unknown as Membership, COUNTS)];
    }),
  );
}

function describe(zones: readonly number[]): string {
  const roles = [...rolesOf(zones).values()];
  const readers = roles.filter(({ isReader }) => isReader);
  const first = readers.map((role) => role.waitMs(true)).sort((a, b) => a - b);
  const later = new Set(readers.map((role) => role.waitMs(false)));
  const standbys = roles.filter((role) => role.isStandby && !role.isReader).length;
  return `${zones}: first waits ${first}; later ${[...later]}; ${standbys} standbys`;
}

// Guards against readers that all wait at the same time, or a fleet with a single one.
test('a fleet of any shape has a few readers whose waits end in turn', () => {
  const fleets = [[1], [2], [9], [1, 1], [5, 4], [3, 3, 3], [3, 3, 3, 4], [22, 22, 22, 22]];
  assert.snapshot(
    fleets.map(describe).join('\n'),
    `1: first waits 667; later 667; 0 standbys
2: first waits 667,1334; later 1334; 0 standbys
9: first waits 667,1334,2001; later 2001; 2 standbys
1,1: first waits 667,1334; later 1334; 0 standbys
5,4: first waits 500,1001,1501,2001; later 2001; 4 standbys
3,3,3: first waits 667,1334,2001; later 2001; 6 standbys
3,3,3,4: first waits 667,1334,2001; later 2001; 9 standbys
22,22,22,22: first waits 667,1334,2001; later 2001; 9 standbys`,
  );
});

// Guards against readers that read at the same time, and against a timer's error that doubles the reads.
test('reads that do not wait take turns by the time of day', () => {
  const waits = (timeOfDayMs: number) =>
    [...rolesOf([3, 3, 3]).values()]
      .filter(({ isReader }) => isReader)
      .map((role) => Math.round(role.untilTurnMs(1_000, timeOfDayMs)))
      .sort((a, b) => a - b);
  assert.equal(waits(1_700_000_000_000), [333, 667, 1_000]);
  assert.equal(waits(1_700_000_000_332), [335, 668, 1_001]);
});

test('the next daemon of the zone takes over from a reader that lost the store', () => {
  const sound = rolesOf([4, 4, 4]);
  const readers = [...sound.keys()].filter((id) => sound.get(id)!.isReader);
  const [lost] = readers;
  const after = rolesOf([4, 4, 4], [lost!]);
  const next = [...after.keys()].filter((id) => after.get(id)!.isReader);
  // The reader that lost the store goes on trying.
  assert.is(next.length, readers.length + 1);
  assert.ok(readers.every((id) => next.includes(id)));
  const added = next.find((id) => !readers.includes(id))!;
  assert.ok(sound.get(added)!.isStandby);
  assert.is(added.slice(0, -2), lost!.slice(0, -2));
});

test.run();
