import { jitteredPeriod } from '../common/backoff';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Random } from '../common/Types';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import { encodeRecord } from '../version/recordSchema';
import LogError from './LogError';
import type LogTail from './LogTail';
import type { HeadTracker, Log, Membership } from './Types';
import ZoneRank from './ZoneRank';

const CHECK_MS = 500;
const MAX_ACCEPTED_BETWEEN = 64;

/** When checkpoints are due, in milliseconds. */
export interface CheckpointOptions {
  /** Period; a fraction of the log's retention. */
  readonly everyMs: number;
  /** How long each further daemon waits for the ones ranked before it. */
  readonly rankDelayMs: number;
  /** Age of the knowledge past which a daemon may not write one. */
  readonly staleMs: number;
}

/**
 * Appends the head anew before the log drops it. The readers of a zone take turns by rank; a
 * duplicate or a late checkpoint is harmless, as a fold only uses one that covers what it missed.
 */
export default class CheckpointWriter implements Disposable {
  private readonly rank: ZoneRank;

  private written = 0;

  private readonly startedAt: number;

  public constructor(
    private readonly log: Log,
    private readonly tail: LogTail,
    private readonly heads: HeadTracker,
    members: Membership,
    private readonly options: CheckpointOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new ZoneRank(members, 'checkpoint-writer');
    this.startedAt = clock.now();
  }

  /** Checkpoints appended by this daemon. */
  public get count(): number {
    return this.written;
  }

  /** @param signal - Ends the task. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(jitteredPeriod(CHECK_MS, this.random), signal);
      if (!signal.aborted && this.isDue()) await this.write();
    }
  }

  public dispose(): void {
    this.rank.dispose();
  }

  private isDue(): boolean {
    const { reading, anchored, lastCheckpointAt, acceptedSinceCheckpoint } = this.tail.state;
    const { confirmedAt } = this.heads.knowledge;
    const now = this.clock.now();
    if (!reading || !anchored || !this.heads.head) return false;
    if (confirmedAt === undefined || now - confirmedAt > this.options.staleMs) return false;
    const age = now - (lastCheckpointAt ?? this.startedAt);
    const turn = this.rank.value * this.options.rankDelayMs;
    const crowded = acceptedSinceCheckpoint >= MAX_ACCEPTED_BETWEEN;
    return age > turn + (crowded ? 0 : this.options.everyMs);
  }

  private async write(): Promise<void> {
    const { head, knowledge } = this.heads;
    if (!head) return;
    try {
      await this.log.append(
        'configuration',
        encodeRecord({
          kind: 'checkpoint',
          schema: SCHEMA_NUMBER,
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
    // Reading its own record back is what resets the period.
    await sleep(CHECK_MS);
  }
}
