import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Offset, Random } from '../common/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { applyChanges, folderChanges, folderDigest } from '../version/folder';
import InvalidHeadError from '../version/InvalidHeadError';
import type { Head } from '../version/Types';
import LogError from './LogError';
import LogExpiredError from './LogExpiredError';
import type MemberTable from './MemberTable';
import type {
  ConfigurationBatch,
  ConfigurationStore,
  HeadTracker,
  LogTailState,
  PublishedConfiguration,
} from './Types';
import ZoneRank from './ZoneRank';

/** How long one read waits for news; an answer confirms that there were none. */
const LONG_POLL_MS = 2_000;
/** How often a daemon that needn't read looks whether it should, in milliseconds. */
const IDLE_CHECK_MS = 100;
/** Pause after news, in milliseconds: of versions in quick succession only the last is needed. */
const COALESCE_MS = 300;
const BACKOFF: Backoff = { baseMs: 150, capMs: 1_500 };
/** Failures in a row after which other daemons read in this one's place. */
const FAILURES_BEFORE_YIELD = 2;

/** When a daemon reads the store itself. */
export interface ConfigurationWatchOptions {
  /** Daemons of each zone that watch the store. */
  readonly readersPerZone: number;
  /** Age of the knowledge from peers, in ms, past which a daemon reads the store itself. */
  readonly staleMs: number;
}

/**
 * Watches a store that keeps the newest whole configuration. Every daemon reads it once as it
 * starts; after that only the first daemons of each zone do, and the others hear from peers. One
 * whose reads fail says so in its member record, and the next in rank reads in its place.
 */
export default class ConfigurationWatch implements Disposable {
  private readonly rank: ZoneRank;

  private next: Offset | undefined;

  private reading = false;

  private reads = 0;

  private failures = 0;

  private failedInRow = 0;

  private confirmed = false;

  public constructor(
    private readonly store: ConfigurationStore,
    private readonly heads: HeadTracker,
    private readonly members: MemberTable,
    private readonly options: ConfigurationWatchOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new ZoneRank(members, 'log-reader');
  }

  /** Whether a read of this daemon has succeeded since it started. */
  public get hasRead(): boolean {
    return this.confirmed;
  }

  public get state(): LogTailState {
    return {
      reading: this.reading,
      anchored: this.confirmed,
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

  /** @param signal - Ends the task. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.reading = this.shouldRead();
      if (!this.reading) {
        await sleep(IDLE_CHECK_MS, signal);
        continue;
      }
      try {
        const isNews = await this.readOnce(signal);
        this.noteSuccess();
        if (isNews) await sleep(COALESCE_MS, signal);
        // A daemon that reads only because it hears nothing must not add to a storm.
        if (!this.isReader() && this.isStale()) {
          await sleep(jitteredPeriod(this.options.staleMs, this.random), signal);
        }
      } catch (error) {
        if (signal.aborted) return;
        if (!(error instanceof LogError)) throw error;
        this.noteFailure(error);
        await sleep(jitteredBackoff(BACKOFF, this.failedInRow, this.random), signal);
      }
    }
  }

  private isReader(): boolean {
    return this.rank.value < this.options.readersPerZone;
  }

  private shouldRead(): boolean {
    const { readsLog } = this.members.self;
    return !this.confirmed || !readsLog || this.isReader() || this.isStale();
  }

  private isStale(): boolean {
    const { confirmedAt } = this.heads.knowledge;
    return confirmedAt === undefined || this.clock.now() - confirmedAt > this.options.staleMs;
  }

  /** Returns whether it brought a version that was not in force. */
  private async readOnce(signal: AbortSignal): Promise<boolean> {
    this.reads += 1;
    let batch: ConfigurationBatch;
    try {
      batch = await this.read(signal);
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      this.logger.log('The store dropped records that were not read.', { from: this.next });
      this.next = undefined;
      return false;
    }
    this.next = batch.next;
    return this.apply(batch.configuration, batch.next);
  }

  private read(signal: AbortSignal): Promise<ConfigurationBatch> {
    const { head, knowledge } = this.heads;
    // What peers have is as good as an own read for where to go on, but not at the start.
    if (head && this.next !== undefined && knowledge.through > this.next) {
      this.next = knowledge.through;
    }
    if (this.next === undefined) return this.store.newest(signal);
    const waitMs = this.isReader() ? LONG_POLL_MS : 0;
    return this.store.changes(this.next, waitMs, signal);
  }

  private apply(configuration: PublishedConfiguration | undefined, through: Offset): boolean {
    const head = configuration && this.headOf(configuration);
    const before = this.heads.knowledge.version;
    try {
      this.heads.fromLog(head, through, true);
    } catch (error) {
      if (!(error instanceof InvalidHeadError)) throw error;
      this.logger.log('A configuration of the store is not valid here.', {
        version: error.version,
        reason: error.message,
      });
      return false;
    }
    if (!head || before === this.heads.knowledge.version) return false;
    this.logger.log('A version came into force.', {
      version: head.version,
      before,
      through,
      source: 'store',
    });
    return true;
  }

  private headOf({ version, folder: published }: PublishedConfiguration): Head {
    // Files that didn't change stay the same objects, which needn't be parsed again.
    const known = this.heads.head?.folder ?? [];
    const folder = applyChanges(known, folderChanges(known, published));
    return {
      schema: SCHEMA_NUMBER,
      version,
      publicationId: `store-${version}` as Head['publicationId'],
      digest: folderDigest(folder),
      folder,
    };
  }

  private noteSuccess(): void {
    if (this.failedInRow > 0) {
      this.logger.log('The store answers again.', { failures: this.failedInRow });
    }
    this.failedInRow = 0;
    this.confirmed = true;
    if (!this.members.self.readsLog) this.members.updateSelf({ readsLog: true });
  }

  private noteFailure(error: LogError): void {
    this.failures += 1;
    this.failedInRow += 1;
    if (this.failedInRow === 1) {
      this.logger.log('Lost the store.', { reason: error.message, next: this.next });
    }
    if (this.failedInRow === FAILURES_BEFORE_YIELD && this.members.self.readsLog) {
      this.members.updateSelf({ readsLog: false });
    }
  }
}
