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
import type { Withdrawal } from '../connection/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from '../request/AttemptRegistry';
import DEFAULT_HEADER_NAMES from '../request/defaultHeaderNames';
import UpstreamRuns from '../request/UpstreamRuns';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { folderDigest } from '../version/folder';
import { mergeSteps } from '../version/mergeFolder';
import type { Head } from '../version/Types';
import VersionStore from '../version/VersionStore';
import type { Announcement } from './Types';
import StartupRecall from './StartupRecall';
import UpstreamRegistration from './UpstreamRegistration';

const LEASE_MS = 5_000;
/** Time of day at which the clock of a test starts, in milliseconds since the epoch. */
const EPOCH_MS = 1_000_000;

function endedRecall(): StartupRecall {
  const recall = new StartupRecall('coq-1' as DaemonId);
  recall.end();
  return recall;
}

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

function announcementOf(instance: string, sequence: number, change: Partial<Announcement> = {}) {
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

/**
 * Creates an upstream registration, and records what its daemon advertises after each step.
 *
 * @param waitedMs - Time for which data may have waited unread, in milliseconds.
 * @param incarnation - Incarnation of its daemon.
 * @param recall - Tells when peers or the store have answered; at once by default.
 */
function registrationOf(waitedMs = () => 0, incarnation = 1, recall = endedRecall()) {
  const clock = new ManualClock();
  const timeOfDay = { offsetMs: EPOCH_MS };
  const own = {
    id: 'coq-1' as DaemonId,
    incarnation: incarnation as Incarnation,
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
    { suspicionMs: 1_000, tombstoneMs: 1_000, partitionTimeoutMs: 1_000 },
    clock,
  );
  const versions = new VersionStore(mergeSteps, clock);
  versions.activate(headOf('[service.stock]\n[service.desk]\n'));
  const kept: string[] = [];
  const keeper = {
    isReachable: true,
    keep: async (withdrawals: readonly Withdrawal[]) => {
      kept.push(withdrawals.map(({ instance, sequence }) => `${instance} ${sequence}`).join());
      return keeper.isReachable;
    },
  };
  const registration = new UpstreamRegistration({
    members,
    recall,
    keeper,
    versions,
    attempts: new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock),
    runs: new UpstreamRuns(clock),
    names: DEFAULT_HEADER_NAMES,
    lagMs: () => 0,
    waitedMs,
    leaseMs: LEASE_MS,
    clock,
    timeOfDay: () => timeOfDay.offsetMs + clock.now(),
    processStartedAt: EPOCH_MS,
    logger: { log: () => undefined },
  });
  const lines: string[] = [];
  const step = (name: string, act: () => void) => {
    act();
    const { service, state, slots } = members.self;
    lines.push(`${name}: ${service} ${state} ${slots}`);
  };
  return { registration, members, clock, timeOfDay, lines, step, kept, keeper };
}

/** What a peer holds of a daemon whose own process has ended. */
function peerOf(members: MemberTable): MemberTable {
  const own = { ...members.self, id: 'coq-2' as DaemonId, withdrawals: undefined };
  const peer = new MemberTable(
    own,
    { suspicionMs: 1_000, tombstoneMs: 1_000, partitionTimeoutMs: 1_000 },
    new ManualClock(),
  );
  peer.merge([members.self]);
  members.dispose();
  return peer;
}

test('stale announcements and departures of other starts are ignored', () => {
  const { registration, members, lines, step } = registrationOf();
  const announce = (announcement: Announcement) => () => registration.announce(announcement);
  step('first announcement', announce(announcementOf('i-1', 1)));
  step('drains', announce(announcementOf('i-1', 3, { state: 'draining' })));
  step('delayed announcement', announce(announcementOf('i-1', 2)));
  step('next start under the same id', announce(announcementOf('i-1', 1, { startedAt: 200 })));
  step(
    'delayed announcement of the first start',
    announce(announcementOf('i-1', 9, { state: 'draining' })),
  );
  step('another start leaves', () =>
    registration.depart({ instance: 'i-1' as InstanceId, startedAt: 100 }),
  );
  step('it leaves', () => registration.depart({ instance: 'i-1' as InstanceId, startedAt: 200 }));
  step(
    'delayed announcement after it left',
    announce(announcementOf('i-1', 7, { startedAt: 200 })),
  );
  step(
    'another service at the address',
    announce(announcementOf('i-2', 1, { service: 'desk' as ServiceName, startedAt: 300 })),
  );
  step(
    'undeclared service',
    announce(announcementOf('i-3', 1, { service: 'x' as ServiceName, startedAt: 400 })),
  );
  assert.snapshot(
    lines.join('\n'),
    `first announcement: stock serving 9
drains: stock draining 9
delayed announcement: stock draining 9
next start under the same id: stock serving 9
delayed announcement of the first start: stock serving 9
another start leaves: stock serving 9
it leaves: null none null
delayed announcement after it left: null none null
another service at the address: desk serving 9
undeclared service: x warming 9`,
  );
  registration.dispose();
  members.dispose();
});

test('a delayed announcement is ignored after a departure that a restarted daemon received', () => {
  const { registration, members, clock, timeOfDay, lines, step } = registrationOf();
  const instance = 'i-1' as InstanceId;
  const leaves = () => registration.depart({ instance, startedAt: undefined });
  const announce = (announcement: Announcement) => () => registration.announce(announcement);
  const startedAt = EPOCH_MS - 9_000;
  step('leaves, not registered yet', leaves);
  clock.advance(2_200);
  step('delayed announcement', announce(announcementOf(instance, 23, { startedAt })));
  step(
    'delayed announcement of an earlier start',
    announce(announcementOf(instance, 40, { startedAt: 500 })),
  );
  clock.advance(500);
  step('leaves again as it ends', leaves);
  step('further announcement', announce(announcementOf(instance, 24, { startedAt })));
  clock.advance(1_000);
  const next = { startedAt: EPOCH_MS + clock.now() };
  clock.advance(10);
  step('next start under the same id', announce(announcementOf(instance, 1, next)));
  step(
    'delayed announcement of the departed start',
    announce(announcementOf(instance, 25, { startedAt })),
  );
  step('an unknown instance leaves', () =>
    registration.depart({ instance: 'i-2' as InstanceId, startedAt: undefined }),
  );
  timeOfDay.offsetMs += 60_000;
  step('next start drains', announce(announcementOf(instance, 2, { ...next, state: 'draining' })));
  assert.snapshot(
    lines.join('\n'),
    `leaves, not registered yet: null none null
delayed announcement: null none null
delayed announcement of an earlier start: null none null
leaves again as it ends: null none null
further announcement: null none null
next start under the same id: stock serving 9
delayed announcement of the departed start: stock serving 9
an unknown instance leaves: stock serving 9
next start drains: stock draining 9`,
  );
  registration.dispose();
  members.dispose();
});

test('a delayed announcement of an earlier start is ignored after a later start with the same id left', () => {
  const { registration, members, lines, step } = registrationOf();
  const instance = 'i-1' as InstanceId;
  step('first', () => registration.announce(announcementOf(instance, 1, { startedAt: 100 })));
  step('second', () => registration.announce(announcementOf(instance, 1, { startedAt: 200 })));
  step('second leaves', () => registration.depart({ instance, startedAt: undefined }));
  step('delayed announcement of the first', () =>
    registration.announce(announcementOf(instance, 9, { startedAt: 100 })),
  );
  step('third', () => registration.announce(announcementOf(instance, 1, { startedAt: 300 })));
  assert.snapshot(
    lines.join('\n'),
    `first: stock serving 9
second: stock serving 9
second leaves: null none null
delayed announcement of the first: null none null
third: stock serving 9`,
  );
  registration.dispose();
  members.dispose();
});

// Guards against an upstream that left or drained coming back into use after a restart of its daemon.
test('a delayed announcement from before a restart is ignored, whichever way the upstream withdrew', () => {
  const instance = 'i-1' as InstanceId;
  const withdraw: Readonly<Record<string, (registration: UpstreamRegistration) => void>> = {
    leaves: (registration) => void registration.depart({ instance, startedAt: 100 }),
    'leaves without a start time': (registration) =>
      void registration.depart({ instance, startedAt: undefined }),
    drains: (registration) =>
      void registration.announce(announcementOf(instance, 4, { state: 'draining' })),
  };
  const lines: string[] = [];
  for (const [name, act] of Object.entries(withdraw)) {
    const first = registrationOf();
    void first.registration.announce(announcementOf(instance, 1));
    act(first.registration);
    first.registration.dispose();
    // The first restarted process is killed too, once a peer has its record.
    const second = registrationOf(undefined, 7, new StartupRecall('coq-1' as DaemonId));
    second.members.merge(peerOf(first.members).all());
    second.registration.dispose();
    const recall = new StartupRecall('coq-1' as DaemonId);
    const third = registrationOf(undefined, 3, recall);
    const { registration, members } = third;
    third.step('early', () => void registration.announce(announcementOf(instance, 3)));
    members.merge(peerOf(second.members).all());
    third.step('answered', () => recall.end());
    third.step('delayed', () => void registration.announce(announcementOf(instance, 3)));
    const next = announcementOf(instance, 1, { startedAt: 200 });
    third.step('next start', () => void registration.announce(next));
    lines.push(`${name}: ${third.lines.join(', ')}`);
    registration.dispose();
    members.dispose();
  }
  assert.snapshot(
    lines.join('\n'),
    `leaves: early: null none null, answered: null none null, delayed: null none null, next start: stock serving 9
leaves without a start time: early: null none null, answered: null none null, delayed: null none null, next start: stock serving 9
drains: early: null none null, answered: null none null, delayed: null none null, next start: stock serving 9`,
  );
});

test('an upstream that announced itself before the first answer is registered with it', () => {
  const recall = new StartupRecall('coq-1' as DaemonId);
  const { registration, members, lines, step } = registrationOf(undefined, 1, recall);
  step('early', () => void registration.announce(announcementOf('i-1', 2)));
  step('delayed', () => void registration.announce(announcementOf('i-1', 1)));
  step('answered', () => recall.end());
  step('a record of an earlier process arrives late', () =>
    registration.recall([{ instance: 'i-1' as InstanceId, startedAt: 100, sequence: 3 }]),
  );
  assert.snapshot(
    lines.join('\n'),
    `early: null none null
delayed: null none null
answered: stock serving 9
a record of an earlier process arrives late: null none null`,
  );
  registration.dispose();
  members.dispose();
});

// Guards against an outage of all upstreams after their VMs regained power together.
test('an upstream that started with its daemon is registered at once', () => {
  const recall = new StartupRecall('coq-1' as DaemonId);
  const { registration, members, lines, step } = registrationOf(undefined, 1, recall);
  const announce = (startedAt: number) => () =>
    void registration.announce(announcementOf('i-1', 1, { startedAt }));
  step('two seconds before', announce(EPOCH_MS - 2_000));
  step('half a second before', announce(EPOCH_MS - 500));
  assert.snapshot(
    lines.join('\n'),
    `two seconds before: null none null
half a second before: stock serving 9`,
  );
  registration.dispose();
  members.dispose();
});

test('a withdrawal is acknowledged only if it is kept outside of the process', async () => {
  const { registration, members, kept, keeper } = registrationOf();
  const drain = (sequence: number) =>
    registration.announce(announcementOf('i-1', sequence, { state: 'draining' }));
  await registration.announce(announcementOf('i-1', 1));
  keeper.isReachable = false;
  const results = [await drain(2)];
  keeper.isReachable = true;
  results.push(await drain(3), await drain(4));
  results.push(await registration.depart({ instance: 'i-1' as InstanceId, startedAt: 100 }));
  results.push(await registration.depart({ instance: 'i-2' as InstanceId, startedAt: 100 }));
  assert.equal(results, [false, true, true, true, true]);
  assert.equal(kept, ['i-1 2', 'i-1 3', 'i-1 null,i-2 null']);
  registration.dispose();
  members.dispose();
});

test('the lease does not lapse while announcements are unread after a pause of the event loop', () => {
  let waitedMs = 0;
  const { registration, members, clock, lines, step } = registrationOf(() => waitedMs);
  const checkLease = () => registration.expireLease();
  step('first', () => registration.announce(announcementOf('i-1', 1)));
  const before = registration.local;
  clock.advance(1_000);
  // The event loop is blocked for longer than the lease; its timers run before it reads anything.
  waitedMs = LEASE_MS + 1_000;
  clock.advance(waitedMs);
  step('after a pause', checkLease);
  waitedMs = 0;
  registration.announce(announcementOf('i-1', 2));
  step('announcement was read', checkLease);
  assert.is(registration.local!.upstream, before!.upstream);
  clock.advance(LEASE_MS + 1);
  step('no announcement', checkLease);
  assert.snapshot(
    lines.join('\n'),
    `first: stock serving 9
after a pause: stock serving 9
announcement was read: stock serving 9
no announcement: null none null`,
  );
  registration.dispose();
  members.dispose();
});

test.run();
