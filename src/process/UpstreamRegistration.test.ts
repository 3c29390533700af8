import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ManualClock from '../../stand-in/ManualClock';
import type {
  Address,
  DaemonId,
  FileName,
  Incarnation,
  InstanceId,
  ServiceName,
  VersionNumber,
  ZoneName,
} from '../common/Types';
import MemberTable from '../connection/MemberTable';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from '../request/AttemptRegistry';
import OWN_HEADER_NAMES from '../request/headerNames';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { folderDigest } from '../version/folder';
import { mergeFolder } from '../version/mergeFolder';
import type { Head } from '../version/Types';
import VersionStore from '../version/VersionStore';
import type { Announcement } from './Types';
import UpstreamRegistration from './UpstreamRegistration';

const LEASE_MS = 5_000;
/** Time of day when the clock of a test begins, in milliseconds since the epoch. */
const EPOCH_MS = 1_000_000;

function headOf(content: string): Head {
  const folder = [{ name: '10.toml' as FileName, content }];
  return {
    schema: SCHEMA_NUMBER,
    version: 1 as VersionNumber,
    publicationId: 'first' as Head['publicationId'],
    digest: folderDigest(folder),
    folder,
  };
}

function says(instance: string, sequence: number, change: Partial<Announcement> = {}) {
  return {
    service: 'stock' as ServiceName,
    address: '127.0.0.1:9' as Address,
    state: 'serving' as const,
    healthy: true,
    slots: 9,
    instance: instance as InstanceId,
    startedAt: 100,
    sequence,
    ...change,
  };
}

/** A registration, and the member record that other daemons see after each step. */
function registrationOf(waitedMs = () => 0) {
  const clock = new ManualClock();
  const timeOfDay = { ahead: EPOCH_MS };
  const own = {
    id: 'coq-1' as DaemonId,
    incarnation: 1 as Incarnation,
    sequence: 0,
    zone: 'coq' as ZoneName,
    address: '127.0.0.1:1' as Address,
    control: '127.0.0.1:2' as Address,
    service: null,
    state: 'none' as const,
    healthHint: true,
    slots: null,
    readsLog: true,
    health: 'alive' as const,
  };
  const members = new MemberTable(
    own,
    { suspicionMs: 1_000, tombstoneMs: 1_000, cutMs: 1_000 },
    clock,
  );
  const versions = new VersionStore(mergeFolder);
  versions.advance(headOf('[service.stock]\n[service.desk]\n'));
  const registration = new UpstreamRegistration({
    members,
    versions,
    attempts: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    names: OWN_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs,
    leaseMs: LEASE_MS,
    clock,
    timeOfDay: () => timeOfDay.ahead + clock.now(),
    logger: { log: () => undefined },
  });
  const lines: string[] = [];
  const step = (name: string, act: () => void) => {
    act();
    const { service, state, slots } = members.self;
    lines.push(`${name}: ${service} ${state} ${slots}`);
  };
  return { registration, members, clock, timeOfDay, lines, step };
}

test('late, repeated and foreign news of an upstream change nothing', () => {
  const { registration, members, lines, step } = registrationOf();
  const announce = (announcement: Announcement) => () => registration.announce(announcement);
  step('first', announce(says('i-1', 1)));
  step('drains', announce(says('i-1', 3, { state: 'draining' })));
  step('late ready', announce(says('i-1', 2)));
  step('next start under the same id', announce(says('i-1', 1, { startedAt: 200 })));
  step('late news of the first start', announce(says('i-1', 9, { state: 'draining' })));
  step('another start leaves', () =>
    registration.depart({ instance: 'i-1' as InstanceId, startedAt: 100 }),
  );
  step('it leaves', () => registration.depart({ instance: 'i-1' as InstanceId, startedAt: 200 }));
  step('late news after it left', announce(says('i-1', 7, { startedAt: 200 })));
  step(
    'another service at the address',
    announce(says('i-2', 1, { service: 'desk' as ServiceName, startedAt: 300 })),
  );
  step(
    'undeclared service',
    announce(says('i-3', 1, { service: 'x' as ServiceName, startedAt: 400 })),
  );
  assert.snapshot(
    lines.join('\n'),
    `first: stock serving 9
drains: stock draining 9
late ready: stock draining 9
next start under the same id: stock serving 9
late news of the first start: stock serving 9
another start leaves: stock serving 9
it leaves: null none null
late news after it left: null none null
another service at the address: desk serving 9
undeclared service: x warming 9`,
  );
  registration.dispose();
  members.dispose();
});

test('a late ready, after a departure that a restarted daemon acknowledged, offers nothing', () => {
  const { registration, members, clock, timeOfDay, lines, step } = registrationOf();
  const instance = 'i-1' as InstanceId;
  const leaves = () => registration.depart({ instance, startedAt: undefined });
  const announce = (announcement: Announcement) => () => registration.announce(announcement);
  const startedAt = EPOCH_MS - 9_000;
  step('leaves, not known yet', leaves);
  clock.advance(2_200);
  step('late ready', announce(says(instance, 23, { startedAt })));
  step('late ready of an earlier start', announce(says(instance, 40, { startedAt: 500 })));
  clock.advance(500);
  step('leaves again as it ends', leaves);
  step('later ready', announce(says(instance, 24, { startedAt })));
  clock.advance(1_000);
  const next = { startedAt: EPOCH_MS + clock.now() };
  clock.advance(10);
  step('next start under the same id', announce(says(instance, 1, next)));
  step('late ready beside it', announce(says(instance, 25, { startedAt })));
  step('another that nobody knew leaves', () =>
    registration.depart({ instance: 'i-2' as InstanceId, startedAt: undefined }),
  );
  timeOfDay.ahead += 60_000;
  step('next start drains', announce(says(instance, 2, { ...next, state: 'draining' })));
  assert.snapshot(
    lines.join('\n'),
    `leaves, not known yet: null none null
late ready: null none null
late ready of an earlier start: null none null
leaves again as it ends: null none null
later ready: null none null
next start under the same id: stock serving 9
late ready beside it: stock serving 9
another that nobody knew leaves: stock serving 9
next start drains: stock draining 9`,
  );
  registration.dispose();
  members.dispose();
});

test('late news of an earlier start under the id of one that left offers nothing', () => {
  const { registration, members, lines, step } = registrationOf();
  const instance = 'i-1' as InstanceId;
  step('first', () => registration.announce(says(instance, 1, { startedAt: 100 })));
  step('second', () => registration.announce(says(instance, 1, { startedAt: 200 })));
  step('second leaves', () => registration.depart({ instance, startedAt: undefined }));
  step('late ready of the first', () =>
    registration.announce(says(instance, 9, { startedAt: 100 })),
  );
  step('third', () => registration.announce(says(instance, 1, { startedAt: 300 })));
  assert.snapshot(
    lines.join('\n'),
    `first: stock serving 9
second: stock serving 9
second leaves: null none null
late ready of the first: null none null
third: stock serving 9`,
  );
  registration.dispose();
  members.dispose();
});

test('the lease of an upstream does not lapse while its news waits to be read', () => {
  let waitedMs = 0;
  const { registration, members, clock, lines, step } = registrationOf(() => waitedMs);
  const look = () => registration.expire();
  step('first', () => registration.announce(says('i-1', 1)));
  const before = registration.local;
  clock.advance(1_000);
  // This daemon stands still for longer than the lease; its timers run before it reads anything.
  waitedMs = LEASE_MS + 1_000;
  clock.advance(waitedMs);
  step('after a hold-up', look);
  waitedMs = 0;
  registration.announce(says('i-1', 2));
  step('its news was read', look);
  assert.is(registration.local!.upstream, before!.upstream);
  clock.advance(LEASE_MS + 1);
  step('no news', look);
  assert.snapshot(
    lines.join('\n'),
    `first: stock serving 9
after a hold-up: stock serving 9
its news was read: stock serving 9
no news: null none null`,
  );
  registration.dispose();
  members.dispose();
});

test.run();
