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
import LogExpiredError from './LogExpiredError';
import LogUnavailableError from './LogUnavailableError';
import MemberTable from './MemberTable';
import PeerHeadTracker from './PeerHeadTracker';
import type { ConfigurationBatch, ConfigurationStore } from './Types';

function batch(version: number, next: number): ConfigurationBatch {
  const content = `[service.stock]\nslots = ${version}\n`;
  const folder = [{ name: '10.toml' as FileName, content }];
  return {
    configuration: { version: version as VersionNumber, folder },
    next: next as Offset,
  };
}

/**
 * A configuration store that runs one scripted step for each read; after the last step, reads wait
 * until they are cancelled.
 */
class ScriptedStore implements ConfigurationStore {
  public readonly requests: string[] = [];

  public constructor(private readonly steps: (() => ConfigurationBatch)[]) {}

  public newest(signal: AbortSignal): Promise<ConfigurationBatch> {
    return this.step('newest', signal);
  }

  public changes(from: Offset, _waitMs: number, signal: AbortSignal): Promise<ConfigurationBatch> {
    return this.step(`from ${from}`, signal);
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
    {
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
    },
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

test.run();
