import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SeededRandom from '../common/SeededRandom';
import SystemClock from '../common/SystemClock';
import type {
  Address,
  DaemonId,
  FileName,
  Incarnation,
  Offset,
  VersionNumber,
  ZoneName,
} from '../common/Types';
import { mergeSteps } from '../version/mergeFolder';
import VersionStore from '../version/VersionStore';
import ConfigurationWatcher from './ConfigurationWatcher';
import FreshnessProof from './FreshnessProof';
import LogExpiredError from './LogExpiredError';
import LogTimeoutError from './LogTimeoutError';
import LogUnavailableError from './LogUnavailableError';
import MemberTable from './MemberTable';
import PeerHeadTracker from './PeerHeadTracker';
import ReaderDoubt from './ReaderDoubt';
import type { ConfigurationBatch, ConfigurationStore, Heartbeat, MemberRecord } from './Types';

function batch(version: number, next: number): ConfigurationBatch {
  const content = `[service.stock]\nslots = ${version}\n`;
  const folder = [{ name: '10.toml' as FileName, content }];
  return {
    configuration: { version: version as VersionNumber, folder },
    next: next as Offset,
  };
}

/** Record of the daemon that watches. */
const SELF: MemberRecord = {
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

/**
 * A configuration store that runs one scripted step for each read; after the last step, reads wait
 * until they are cancelled.
 */
class ScriptedStore implements ConfigurationStore {
  public readonly requests: string[] = [];

  public readonly waits: number[] = [];

  public connections = 0;

  public hasBeenRestored = false;

  public constructor(private readonly steps: (() => ConfigurationBatch)[]) {}

  public newest(signal: AbortSignal): Promise<ConfigurationBatch> {
    return this.step('newest', signal);
  }

  public changes(from: Offset, waitMs: number, signal: AbortSignal): Promise<ConfigurationBatch> {
    this.waits.push(waitMs);
    return this.step(`from ${from}`, signal);
  }

  public observe(): void {
    // This store never comes back from a copy.
  }

  public reconnect(): void {
    this.connections += 1;
  }

  private async step(request: string, signal: AbortSignal): Promise<ConfigurationBatch> {
    const step = this.steps.shift();
    if (!step) {
      await new Promise((_resolve, reject) => {
        signal.addEventListener('abort', () => reject(new LogUnavailableError('ended')));
      });
    }
    this.requests.push(request);
    return step!();
  }
}

test('expired offsets, failed reads and older versions leave the newest version in force', async () => {
  const clock = new SystemClock();
  const members = new MemberTable(
    SELF,
    { suspicionMs: 1_000, tombstoneMs: 1_000, partitionTimeoutMs: 1_000 },
    clock,
  );
  const versions = new VersionStore(mergeSteps, clock);
  const inForce: number[] = [];
  versions.onActivate(({ head }) => inForce.push(head.version));
  const readsLog: boolean[] = [];
  members.onChange(([record]) => readsLog.push(record!.readsLog));
  const fail = () => {
    throw new LogUnavailableError('turned away');
  };
  const store = new ScriptedStore([
    () => batch(7, 4),
    () => {
      throw new LogExpiredError(9 as Offset);
    },
    () => batch(12, 10),
    fail,
    fail,
    () => batch(9, 11),
    () => batch(15, 12),
  ]);
  const watcher = new ConfigurationWatcher(
    store,
    new PeerHeadTracker(versions, clock, { log: () => undefined }),
    members,
    { readersPerZone: 1, readerZones: 1, staleMs: 60_000 },
    new ReaderDoubt(clock),
    clock,
    new SeededRandom(3),
    { log: () => undefined },
  );
  const end = new AbortController();
  const running = watcher.run(end.signal);
  while (inForce.at(-1) !== 15) await delay(5);
  end.abort();
  await running;
  assert.equal(inForce, [7, 12, 15]);
  assert.equal(readsLog, [false, true]);
  assert.equal(store.requests, [
    'newest',
    'from 4',
    'newest',
    'from 10',
    'from 10',
    'from 10',
    'from 11',
  ]);
  watcher.dispose();
  members.dispose();
});

/** Runs a watcher on scripted reads, and returns the reads and the changes of `readsLog` once all were done. */
async function watch(
  steps: (() => ConfigurationBatch)[],
  others: readonly MemberRecord[] = [],
  boundMs = 0,
  hasBeenRestored = false,
) {
  const clock = new SystemClock();
  const members = new MemberTable(
    SELF,
    { suspicionMs: 1_000, tombstoneMs: 1_000, partitionTimeoutMs: 1_000 },
    clock,
  );
  members.merge(others);
  const readsLog: boolean[] = [];
  members.onChange((records) => {
    const own = records.find(({ id }) => id === SELF.id);
    if (own) readsLog.push(own.readsLog);
  });
  const doubt = new ReaderDoubt(clock);
  const store = new ScriptedStore(steps);
  store.hasBeenRestored = hasBeenRestored;
  const versions = new VersionStore(mergeSteps, clock);
  const proof = new FreshnessProof(
    () => versions.snapshot?.head.version ?? null,
    { boundMs, checksKeys: () => boundMs > 0 },
    clock,
    () => Date.now(),
  );
  const heads = new PeerHeadTracker(versions, clock, { log: () => undefined });
  const watcher = new ConfigurationWatcher(
    store,
    heads,
    members,
    { readersPerZone: 1, readerZones: 1, staleMs: 60_000 },
    doubt,
    clock,
    new SeededRandom(3),
    { log: () => undefined },
    proof,
  );
  const end = new AbortController();
  const running = watcher.run(end.signal);
  const settle = async (condition: () => boolean) => {
    while (!condition()) await delay(5);
  };
  const finish = async () => {
    end.abort();
    await running;
    watcher.dispose();
    members.dispose();
  };
  return { members, store, doubt, readsLog, proof, heads, settle, finish };
}

/** Members of the same zone that all rank before this daemon, as their links are faster. */
function fasterMembers(count: number, changes: Partial<MemberRecord> = {}): MemberRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    ...SELF,
    id: `coq-${index + 2}` as DaemonId,
    linkMbps: 1_000,
    ...changes,
  }));
}

// Guards against a reader that hands over only after several timeouts.
test('a reader hands over after one read without a response, or two that failed otherwise', async () => {
  const fail = (error: Error) => () => {
    throw error;
  };
  const silent = await watch([() => batch(7, 4), fail(new LogTimeoutError('silent'))]);
  await silent.settle(() => silent.readsLog.length > 0);
  assert.equal([silent.readsLog, silent.store.requests], [[false], ['newest', 'from 4']]);
  await silent.finish();
  const reset = await watch([
    () => batch(7, 4),
    fail(new LogUnavailableError('reset')),
    fail(new LogUnavailableError('reset')),
  ]);
  await reset.settle(() => reset.readsLog.length > 0);
  assert.equal([reset.readsLog, reset.store.requests], [[false], ['newest', 'from 4', 'from 4']]);
  await reset.finish();
});

test('a daemon that is no reader reads while a peer is late, and once when a reader fails', async () => {
  const peers = fasterMembers(4);
  const standby = await watch([() => batch(7, 4), () => batch(8, 5), () => batch(9, 6)], peers);
  const { members, store, doubt, settle, finish } = standby;
  await settle(() => store.requests.length === 1);
  doubt.recordLate(peers[0]!.id);
  await settle(() => store.requests.length === 2);
  doubt.recordAnswer(peers[0]!.id);
  // With one of the four before it lost as a reader, this daemon is a standby.
  members.merge([{ ...peers[0]!, readsLog: false, sequence: 1 }]);
  await settle(() => store.requests.length === 3);
  members.merge([{ ...peers[1]!, readsLog: false, sequence: 1 }]);
  assert.equal(store.requests, ['newest', 'from 4', 'from 5']);
  await finish();
});

// Guards against a proof that counts from the response, and against long polls, whose responses prove little.
test('while keys are checked, a read does not wait and proves as of its request', async () => {
  let respondedAt = 0;
  const slow = () => {
    // The response takes its time, which the proof must count.
    const until = Date.now() + 60;
    while (Date.now() < until);
    respondedAt = performance.now();
    return { configuration: undefined, next: 4 as Offset };
  };
  const reader = await watch([() => batch(7, 4), slow], [], 5_000);
  await reader.settle(() => reader.store.requests.length === 2);
  await delay(5);
  const sinceResponse = performance.now() - respondedAt;
  assert.ok(reader.proof.ageMs >= sinceResponse + 59, `${reader.proof.ageMs}, ${sinceResponse}`);
  assert.equal([reader.proof.current?.version, reader.store.waits], [7, [0]]);
  await reader.finish();
});

// Guards against keys that a newer configuration has removed, which can't be decoded here.
test('a read proves nothing while the newest configuration cannot be decoded', async () => {
  const unreadable = (next: number) => () => ({
    configuration: undefined,
    next: next as Offset,
    unreadableAt: 4 as Offset,
  });
  const nothing = (next: number) => () => ({ configuration: undefined, next: next as Offset });
  const reader = await watch(
    [() => batch(7, 4), unreadable(5), nothing(5), () => batch(9, 6)],
    [],
    5_000,
  );
  const { store, proof, heads, settle, finish } = reader;
  await settle(() => proof.current?.version === 7);
  const provenAt = performance.now();
  await settle(() => store.requests.length === 3);
  await delay(5);
  const sinceProof = performance.now() - provenAt;
  assert.ok(proof.ageMs >= sinceProof, `${proof.ageMs}, ${sinceProof}`);
  assert.equal([proof.current?.version, heads.knowledge.through], [7, 4]);
  await settle(() => proof.current?.version === 9);
  assert.equal(store.requests, ['newest', 'from 4', 'from 5', 'from 5']);
  assert.is(heads.knowledge.through, 6);
  await finish();
});

/** A heartbeat of a peer that has a version. */
function heartbeatOf(version: number, through: number): Heartbeat {
  return {
    from: 'coq-2' as DaemonId,
    incarnation: 1 as Incarnation,
    version: version as VersionNumber,
    through: through as Offset,
    ageMs: 0,
    members: '',
  };
}

// Guards against keys that are accepted as a store lost, with the records of some seconds, that they were removed.
test('a store that came back from a copy before the start proves nothing until a peer has a proof', async () => {
  const nothing = () => ({ configuration: undefined, next: 4 as Offset });
  const reader = await watch(
    [() => batch(7, 4), nothing, nothing, () => batch(9, 6)],
    [],
    60_000,
    true,
  );
  const { store, proof, heads, settle, finish } = reader;
  await settle(() => heads.knowledge.version === 7);
  assert.is(proof.current, null);
  heads.observeHeartbeat(heartbeatOf(9, 5));
  proof.addFromPeer({ version: 9 as VersionNumber, ageMs: 900 }, proof.now());
  await settle(() => store.requests.length === 3);
  await delay(5);
  // The proof of the peer is for a version that isn't in force here, and the store lacks it.
  assert.is(proof.current, null);
  // The read that shows it again proves it.
  await settle(() => heads.knowledge.version === 9 && proof.ageMs < 900);
  assert.equal(store.requests, ['newest', 'from 4', 'from 4', 'from 4']);
  await finish();
});

// Guards against keys that are refused for good after a loss of all daemons.
test('a store that came back from a copy proves again if no peer has a proof for as long as one can be valid', async () => {
  const steps = Array.from({ length: 12 }, (_, index) => () => batch(index + 7, index + 4));
  const reader = await watch(steps, [], 4_000, true);
  const { store, proof, settle, finish } = reader;
  await settle(() => store.requests.length === 2);
  await delay(5);
  assert.is(proof.current, null);
  await settle(() => proof.isFresh);
  await finish();
});

// Guards against a daemon that waits for its peers until its proof is too old.
test('a daemon that is no reader reads for itself while its proof is old', async () => {
  const steps = [7, 8, 9].map((version) => () => batch(version, version - 3));
  const member = await watch(steps, fasterMembers(4), 400);
  await member.settle(() => member.proof.current?.version === 7);
  await member.settle(() => member.proof.current?.version === 8);
  assert.equal([member.store.requests, member.store.waits], [['newest', 'from 4'], [0]]);
  await member.finish();
});

test.run();
