import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Random } from '../common/Types';
import Fold from '../version/Fold';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import type { Merger, Verdict } from '../version/Types';
import LogError from './LogError';
import LogExpiredError from './LogExpiredError';
import type { HeadTracker, Log, LogBatch, LogTailState, Membership } from './Types';
import LogUnavailableError from './LogUnavailableError';
import ZoneRank from './ZoneRank';

const LONG_POLL_MS = 2_000;
const IDLE_CHECK_MS = 500;
const BACKOFF: Backoff = { baseMs: 200, capMs: 5_000 };

/** When a daemon reads the log itself. */
export interface LogTailOptions {
  /** Daemons of each zone that tail the log. */
  readonly readersPerZone: number;
  /** Age of the knowledge from peers, in ms, past which a daemon reads the log itself. */
  readonly staleMs: number;
}

/**
 * Tails the configuration stream while this daemon ranks among the readers of its zone, or while
 * its peers can't tell it how things stand. Ranking needs no agreement: a wrong view of the members
 * only costs reads.
 */
export default class LogTail implements Disposable {
  private readonly rank: ZoneRank;

  private fold: Fold | undefined;

  private reading = false;

  private reads = 0;

  private failures = 0;

  private lastCheckpointAt: number | undefined;

  private acceptedSinceCheckpoint = 0;

  public constructor(
    private readonly log: Log,
    private readonly heads: HeadTracker,
    members: Membership,
    private readonly merge: Merger,
    private readonly options: LogTailOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new ZoneRank(members, 'log-reader');
  }

  public get state(): LogTailState {
    return {
      reading: this.reading,
      anchored: this.fold?.isAnchored ?? false,
      unknownSchema: this.fold?.unknownSchema,
      reads: this.reads,
      failures: this.failures,
      lastCheckpointAt: this.lastCheckpointAt,
      acceptedSinceCheckpoint: this.acceptedSinceCheckpoint,
    };
  }

  /** @returns Whether this daemon ranks among the readers of its zone. */
  public isReader(): boolean {
    return this.rank.value < this.options.readersPerZone;
  }

  public dispose(): void {
    this.rank.dispose();
  }

  /** @param signal - Ends the task. */
  public async run(signal: AbortSignal): Promise<void> {
    let failed = 0;
    while (!signal.aborted) {
      if (!this.isReader() && !this.isStale()) {
        this.reading = false;
        await sleep(IDLE_CHECK_MS, signal);
        continue;
      }
      this.reading = true;
      try {
        await this.readOnce(signal);
        failed = 0;
      } catch (error) {
        if (!(error instanceof LogError)) throw error;
        if (signal.aborted) return;
        failed += 1;
        this.failures += 1;
        this.logger.log('Read of the configuration stream failed.', { reason: error.message });
        await sleep(jitteredBackoff(BACKOFF, failed, this.random), signal);
      }
      // A daemon that reads only because it hears nothing must not add to a storm.
      if (!this.isReader()) await sleep(jitteredPeriod(this.options.staleMs, this.random), signal);
    }
  }

  private isStale(): boolean {
    const { confirmedAt } = this.heads.knowledge;
    return confirmedAt === undefined || this.clock.now() - confirmedAt > this.options.staleMs;
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const fold = await this.preparedFold();
    const waitMs = this.isReader() ? LONG_POLL_MS : 0;
    this.reads += 1;
    let batch: LogBatch;
    try {
      batch = await this.log.read('configuration', fold.nextOffset, waitMs, signal);
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      this.logger.log('The log dropped records that were not read.', { earliest: error.earliest });
      fold.restartAt(error.earliest);
      return;
    }
    if (batch.next < fold.nextOffset) {
      throw new LogUnavailableError(`the log ends at ${batch.next}, before ${fold.nextOffset}`);
    }
    for (const { offset, data } of batch.records) {
      for (const verdict of fold.apply(offset, data)) this.note(verdict);
      if (data.startsWith('{"kind":"checkpoint"')) this.noteCheckpoint();
    }
    if (!fold.isAnchored) {
      // Nothing can be judged before a checkpoint or a peer anchors the fold.
      if (batch.records.length === 0) {
        await sleep(jitteredPeriod(IDLE_CHECK_MS, this.random), signal);
      }
      return;
    }
    this.heads.fromLog(fold.current, fold.nextOffset, fold.nextOffset >= batch.next);
  }

  /** Continues the fold from what peers know where they are further. */
  private async preparedFold(): Promise<Fold> {
    if (!this.fold) {
      const { earliest } = await this.log.bounds('configuration');
      this.fold = new Fold(this.merge, earliest);
    }
    const { head } = this.heads;
    const { through } = this.heads.knowledge;
    if (!head) return this.fold;
    if (this.fold.isAnchored && through > this.fold.nextOffset) this.fold.restartAt(through);
    this.fold.anchor({ kind: 'checkpoint', schema: SCHEMA_NUMBER, through, head });
    return this.fold;
  }

  private note(verdict: Verdict): void {
    if (verdict.kind === 'accepted') {
      this.acceptedSinceCheckpoint += 1;
      this.logger.log('Accepted a publication.', { id: verdict.id, version: verdict.head.version });
    }
    if (verdict.kind === 'refused') {
      this.logger.log('Refused a publication.', { id: verdict.id, reason: verdict.refusal.kind });
    }
  }

  private noteCheckpoint(): void {
    this.lastCheckpointAt = this.clock.now();
    this.acceptedSinceCheckpoint = 0;
  }
}
