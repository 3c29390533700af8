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
function registrationOf() {
  const clock = new ManualClock();
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
    waitedMs: () => 0,
    leaseMs: LEASE_MS,
    clock,
    logger: { log: () => undefined },
  });
  const lines: string[] = [];
  const step = (name: string, act: () => void) => {
    act();
    const { service, state, slots } = members.self;
    lines.push(`${name}: ${service} ${state} ${slots}`);
  };
  return { registration, members, lines, step };
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

test.run();
