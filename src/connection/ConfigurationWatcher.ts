import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import runInSlices from '../common/runInSlices';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Offset, Random } from '../common/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { applyChanges, digestSteps, folderChanges } from '../version/folder';
import type { Head } from '../version/Types';
import LogError from './LogError';
import LogExpiredError from './LogExpiredError';
import type MemberTable from './MemberTable';
import type {
  ConfigurationBatch,
  ConfigurationStore,
  HeadTracker,
  LogReaderState,
  PublishedConfiguration,
} from './Types';
import MemberRank from './MemberRank';

/**
 * Wait of a long poll for a newer configuration; an empty response confirms that the known one is
 * the newest.
 */
const LONG_POLL_WAIT_MS = 2_000;
/** Interval at which a daemon that doesn't read the store checks whether it should. */
const ROLE_CHECK_INTERVAL_MS = 100;
/** Delay after a new version is read; of versions published meanwhile, only the last is read. */
const COALESCE_MS = 300;
const READ_BACKOFF: Backoff = { baseMs: 150, capMs: 1_500 };
/** Number of consecutive failed reads after which the next daemon by rank reads the store. */
const FAILURES_BEFORE_HANDOVER = 2;

/** Conditions under which a daemon itself reads the configuration store. */
export interface ConfigurationWatcherOptions {
  /** Number of daemons in each zone that watch the store. */
  readonly readersPerZone: number;
  /** Number of zones whose daemons watch the store; the others learn from their peers. */
  readonly readerZones: number;
  /**
   * If the configuration has not been confirmed by peers to be the newest for this many ms, a daemon
   * reads the store itself.
   */
  readonly staleMs: number;
}

/** Why a daemon reads the store. */
type ReadReason = 'start' | 'rank' | 'failed reads' | 'stale';

/**
 * Watches a store that retains the newest complete configuration. Every daemon reads the store once
 * at startup; afterwards only the first-ranked daemons of some zones read it, and the others receive
 * changes from peers. A daemon whose reads fail sets `readsLog` to false in its member record, and
 * the next daemon by rank takes over.
 */
export default class ConfigurationWatcher implements Disposable {
  private readonly rank: MemberRank;

  /** Offset at which the next read starts; `undefined` to read the newest configuration. */
  private nextOffset: Offset | undefined;

  private reason: ReadReason | undefined;

  private reads = 0;

  private failures = 0;

  private consecutiveFailures = 0;

  private hasConfirmedRead = false;

  public constructor(
    private readonly store: ConfigurationStore,
    private readonly heads: HeadTracker,
    private readonly members: MemberTable,
    private readonly options: ConfigurationWatcherOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new MemberRank(members, 'log-reader');
  }

  /** Whether any read of the store has succeeded since the start of this daemon. */
  public get hasRead(): boolean {
    return this.hasConfirmedRead;
  }

  public get state(): LogReaderState {
    return {
      reading: this.reason !== undefined,
      anchored: this.hasConfirmedRead,
      unknownSchema: undefined,
      reads: this.reads,
      failures: this.failures,
      lastCheckpointAt: undefined,
      acceptedSinceCheckpoint: 0,
    };
  }

  public dispose(): void {
    this.rank.dispose();
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.updateReason();
      if (!this.reason) {
        await sleep(ROLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      try {
        const isNewVersion = await this.readOnce(signal);
        this.recordSuccess();
        if (isNewVersion) await sleep(COALESCE_MS, signal);
        // Without this delay, all daemons that lose their peers at once would overload the store.
        if (!this.isReader() && this.isStale()) {
          await sleep(jitteredPeriod(this.options.staleMs, this.random), signal);
        }
      } catch (error) {
        if (signal.aborted) return;
        if (!(error instanceof LogError)) throw error;
        this.recordFailure(error);
        await sleep(jitteredBackoff(READ_BACKOFF, this.consecutiveFailures, this.random), signal);
      }
    }
  }

  private isReader(): boolean {
    const { readersPerZone, readerZones } = this.options;
    return this.rank.value < readersPerZone && this.rank.ofZone < readerZones;
  }

  private reasonToRead(): ReadReason | undefined {
    if (!this.hasConfirmedRead) return 'start';
    if (this.isReader()) return 'rank';
    if (!this.members.self.readsLog) return 'failed reads';
    return this.isStale() ? 'stale' : undefined;
  }

  private updateReason(): void {
    const before = this.reason;
    this.reason = this.reasonToRead();
    if (this.reason === before) return;
    const { version, confirmedAt } = this.heads.knowledge;
    this.logger.log(this.reason ? 'Reads the store.' : 'Leaves reading the store to others.', {
      reason: this.reason ?? before,
      version,
      confirmedAgoMs: confirmedAt === undefined ? null : Math.round(this.clock.now() - confirmedAt),
    });
  }

  private isStale(): boolean {
    const { confirmedAt } = this.heads.knowledge;
    return confirmedAt === undefined || this.clock.now() - confirmedAt > this.options.staleMs;
  }

  /** @returns Whether the read put a new version of the configuration in force. */
  private async readOnce(signal: AbortSignal): Promise<boolean> {
    this.reads += 1;
    let batch: ConfigurationBatch;
    try {
      batch = await this.read(signal);
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      this.logger.log('The store expired records before they were read.', {
        from: this.nextOffset,
      });
      this.nextOffset = undefined;
      return false;
    }
    this.nextOffset = batch.next;
    return this.apply(batch.configuration, batch.next);
  }

  private read(signal: AbortSignal): Promise<ConfigurationBatch> {
    const { head, knowledge } = this.heads;
    // After the first read, an offset confirmed by peers is as reliable as one from the store.
    if (head && this.nextOffset !== undefined && knowledge.through > this.nextOffset) {
      this.nextOffset = knowledge.through;
    }
    if (this.nextOffset === undefined) return this.store.newest(signal);
    const waitMs = this.isReader() ? LONG_POLL_WAIT_MS : 0;
    return this.store.changes(this.nextOffset, waitMs, signal);
  }

  /** @returns Whether a newer version is in force now than before. */
  private async apply(
    configuration: PublishedConfiguration | undefined,
    through: Offset,
  ): Promise<boolean> {
    const head = configuration && (await this.buildHead(configuration));
    const before = this.heads.knowledge.version;
    await this.heads.applyLogHead(head, through, true);
    return before !== this.heads.knowledge.version;
  }

  private async buildHead({ version, folder: published }: PublishedConfiguration): Promise<Head> {
    // Unchanged files keep their object identity, so that they aren't parsed again.
    const known = this.heads.head?.folder ?? [];
    const folder = applyChanges(known, folderChanges(known, published));
    return {
      schema: SCHEMA_NUMBER,
      version,
      publicationId: `store-${version}` as Head['publicationId'],
      digest: await runInSlices(digestSteps(folder), this.clock),
      folder,
    };
  }

  private recordSuccess(): void {
    if (this.consecutiveFailures > 0) {
      this.logger.log('The store answers again.', { failures: this.consecutiveFailures });
    }
    this.consecutiveFailures = 0;
    this.hasConfirmedRead = true;
    if (!this.members.self.readsLog) this.members.updateSelf({ readsLog: true });
  }

  private recordFailure(error: LogError): void {
    this.failures += 1;
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures === 1) {
      this.logger.log('Lost the store.', { reason: error.message, next: this.nextOffset });
    }
    if (this.consecutiveFailures === FAILURES_BEFORE_HANDOVER && this.members.self.readsLog) {
      this.members.updateSelf({ readsLog: false });
    }
  }
}
