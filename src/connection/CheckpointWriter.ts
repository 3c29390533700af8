import { jitteredPeriod } from '../common/backoff';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Random } from '../common/Types';
import { COMMON_SCHEMA_NUMBER } from '../version/configurationSchema';
import { encodeRecord } from '../version/recordSchema';
import LogError from './LogError';
import type LogTailer from './LogTailer';
import type { HeadTracker, Log, Membership } from './Types';
import MemberRank from './MemberRank';

const CHECK_INTERVAL_MS = 500;
/**
 * Number of accepted publications after which a checkpoint is written although its interval has not
 * passed.
 */
const MAX_PUBLICATIONS_BETWEEN_CHECKPOINTS = 64;

/** When a daemon appends a configuration checkpoint to the log; times in milliseconds. */
export interface CheckpointOptions {
  /** Interval between checkpoints; a fraction of the log's retention time. */
  readonly intervalMs: number;
  /** Additional delay of a checkpoint for each daemon of the zone that ranks before this one. */
  readonly rankDelayMs: number;
  /**
   * A daemon writes no checkpoint if its configuration was last confirmed to be the newest longer
   * ago than this.
   */
  readonly staleMs: number;
}

/**
 * Appends the configuration head as a checkpoint before the log expires its records. The rank in the
 * zone decides which reader writes first; a duplicate or late checkpoint is harmless, because a reader
 * only uses a checkpoint that covers records it missed.
 */
export default class CheckpointWriter implements Disposable {
  private readonly rank: MemberRank;

  private written = 0;

  private readonly startedAt: number;

  public constructor(
    private readonly log: Log,
    private readonly logTailer: LogTailer,
    private readonly heads: HeadTracker,
    members: Membership,
    private readonly options: CheckpointOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new MemberRank(members, 'checkpoint-writer');
    this.startedAt = clock.now();
  }

  /** Number of checkpoints appended by this daemon. */
  public get count(): number {
    return this.written;
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(jitteredPeriod(CHECK_INTERVAL_MS, this.random), signal);
      if (!signal.aborted && this.isDue()) await this.write();
    }
  }

  public dispose(): void {
    this.rank.dispose();
  }

  private isDue(): boolean {
    const { reading, anchored, lastCheckpointAt, acceptedSinceCheckpoint } = this.logTailer.state;
    const { confirmedAt } = this.heads.knowledge;
    const now = this.clock.now();
    if (!reading || !anchored || !this.heads.head) return false;
    if (confirmedAt === undefined || now - confirmedAt > this.options.staleMs) return false;
    const age = now - (lastCheckpointAt ?? this.startedAt);
    const rankDelay = this.rank.value * this.options.rankDelayMs;
    const hasManyPublications = acceptedSinceCheckpoint >= MAX_PUBLICATIONS_BETWEEN_CHECKPOINTS;
    return age > rankDelay + (hasManyPublications ? 0 : this.options.intervalMs);
  }

  private async write(): Promise<void> {
    const { head, knowledge } = this.heads;
    if (!head) return;
    try {
      await this.log.append(
        'configuration',
        encodeRecord({
          kind: 'checkpoint',
          schema: Math.max(COMMON_SCHEMA_NUMBER, head.schema),
          through: knowledge.through,
          head,
        }),
      );
      this.written += 1;
      this.logger.log('Wrote a checkpoint.', { version: head.version, through: knowledge.through });
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      this.logger.log('Could not write a checkpoint.', { reason: error.message });
    }
    // The interval to the next checkpoint starts when the log reader reads this one from the log.
    await sleep(CHECK_INTERVAL_MS);
  }
}
