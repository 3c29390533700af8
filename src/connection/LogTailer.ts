import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import sleep from '../common/sleep';
import type { Clock, Disposable, Logger, Random } from '../common/Types';
import ConfigurationReplay from '../version/ConfigurationReplay';
import { SCHEMA_NUMBER } from '../version/configurationSchema';
import type { FolderMerger, RecordOutcome } from '../version/Types';
import type FreshnessProof from './FreshnessProof';
import { PROOF_READ_INTERVAL_MS, PROOF_READ_SHARE } from './FreshnessProof';
import LogError from './LogError';
import LogExpiredError from './LogExpiredError';
import type { HeadTracker, Log, LogBatch, LogReaderState, Membership } from './Types';
import LogUnavailableError from './LogUnavailableError';
import MemberRank from './MemberRank';
import type ReaderDoubt from './ReaderDoubt';

/** Longest wait of a read at the end of the configuration stream for a further record. */
const LONG_POLL_WAIT_MS = 2_000;
/** Interval at which a daemon that doesn't read the log checks whether it should. */
const ROLE_CHECK_INTERVAL_MS = 500;
const READ_BACKOFF: Backoff = { baseMs: 200, capMs: 5_000 };

/** Conditions under which a daemon itself reads the configuration stream of the log. */
export interface LogTailerOptions {
  /** Number of daemons in each zone that tail the log. */
  readonly readersPerZone: number;
  /**
   * If the configuration has not been confirmed by peers to be the newest for this many ms, a daemon
   * reads the log itself.
   */
  readonly staleMs: number;
}

/**
 * Tails the configuration stream while this daemon is one of the designated readers of its zone, or
 * while no peer has confirmed the head recently or the readers may be lost. Readers are chosen by rank without
 * consensus: an inconsistent view of the members only causes additional reads.
 */
export default class LogTailer implements Disposable {
  private readonly rank: MemberRank;

  private replay: ConfigurationReplay | undefined;

  private reading = false;

  private reads = 0;

  private failures = 0;

  private lastCheckpointAt: number | undefined;

  private acceptedSinceCheckpoint = 0;

  public constructor(
    private readonly log: Log,
    private readonly heads: HeadTracker,
    members: Membership,
    private readonly merge: FolderMerger,
    private readonly options: LogTailerOptions,
    private readonly doubt: ReaderDoubt,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly proof?: FreshnessProof,
  ) {
    this.rank = new MemberRank(members, 'log-reader');
  }

  public get state(): LogReaderState {
    return {
      reading: this.reading,
      anchored: this.replay?.isComplete ?? false,
      unknownSchema: this.replay?.unknownSchema,
      reads: this.reads,
      failures: this.failures,
      lastCheckpointAt: this.lastCheckpointAt,
      acceptedSinceCheckpoint: this.acceptedSinceCheckpoint,
    };
  }

  /** @returns Whether this daemon is one of the designated readers of its zone. */
  public isReader(): boolean {
    return this.rank.value < this.options.readersPerZone;
  }

  public dispose(): void {
    this.rank.dispose();
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    let consecutiveFailures = 0;
    while (!signal.aborted) {
      const isProofOld = this.proof?.isOlderThan(PROOF_READ_SHARE) ?? false;
      if (!this.isReader() && !this.doubt.isRaised && !this.isStale() && !isProofOld) {
        this.reading = false;
        await sleep(ROLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      this.reading = true;
      try {
        await this.readOnce(signal);
        consecutiveFailures = 0;
      } catch (error) {
        if (!(error instanceof LogError)) throw error;
        if (signal.aborted) return;
        consecutiveFailures += 1;
        this.failures += 1;
        this.logger.log('Reading the configuration stream failed.', { reason: error.message });
        await sleep(jitteredBackoff(READ_BACKOFF, consecutiveFailures, this.random), signal);
      }
      if (this.proof?.isNeeded) {
        await sleep(jitteredPeriod(PROOF_READ_INTERVAL_MS, this.random), signal);
        continue;
      }
      // Without this delay, all daemons that lose their peers at once would overload the log.
      if (!this.isReader() && !this.doubt.isRaised) {
        await sleep(jitteredPeriod(this.options.staleMs, this.random), signal);
      }
    }
  }

  private isStale(): boolean {
    const { confirmedAt } = this.heads.knowledge;
    return confirmedAt === undefined || this.clock.now() - confirmedAt > this.options.staleMs;
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const replay = await this.prepareReplay();
    const mayWait = (this.isReader() || this.doubt.isRaised) && !this.proof?.isNeeded;
    const waitMs = mayWait ? LONG_POLL_WAIT_MS : 0;
    this.reads += 1;
    const askedAt = this.proof?.now();
    let batch: LogBatch;
    try {
      batch = await this.log.read('configuration', replay.nextOffset, waitMs, signal);
    } catch (error) {
      if (!(error instanceof LogExpiredError)) throw error;
      this.logger.log('The log expired records before they were read.', {
        earliest: error.earliest,
      });
      replay.restartAt(error.earliest);
      return;
    }
    if (batch.next < replay.nextOffset) {
      throw new LogUnavailableError(`the log ends at ${batch.next}, before ${replay.nextOffset}`);
    }
    for (const { offset, data } of batch.records) {
      for (const outcome of replay.apply(offset, data)) this.logOutcome(outcome);
      if (data.startsWith('{"kind":"checkpoint"')) this.recordCheckpoint();
    }
    if (!replay.isComplete) {
      // Publications can't be accepted or refused before a checkpoint or a peer supplies the
      // configuration that they change.
      if (batch.records.length === 0) {
        await sleep(jitteredPeriod(ROLE_CHECK_INTERVAL_MS, this.random), signal);
      }
      return;
    }
    const isAtEnd = replay.nextOffset >= batch.next;
    if (askedAt && isAtEnd && replay.head) this.proof?.add(replay.head.version, askedAt);
    await this.heads.applyLogHead(replay.head, replay.nextOffset, isAtEnd);
  }

  /**
   * Creates the replay of the configuration stream, and moves it forward if peers know a later
   * offset.
   */
  private async prepareReplay(): Promise<ConfigurationReplay> {
    if (!this.replay) {
      const { earliest } = await this.log.bounds('configuration');
      this.replay = new ConfigurationReplay(this.merge, earliest);
    }
    const { head } = this.heads;
    const { through } = this.heads.knowledge;
    if (!head) return this.replay;
    if (this.replay.isComplete && through > this.replay.nextOffset) this.replay.restartAt(through);
    this.replay.restore({ kind: 'checkpoint', schema: SCHEMA_NUMBER, through, head });
    return this.replay;
  }

  private logOutcome(outcome: RecordOutcome): void {
    if (outcome.kind === 'accepted') {
      this.acceptedSinceCheckpoint += 1;
      this.logger.log('Accepted a publication.', { id: outcome.id, version: outcome.head.version });
    }
    if (outcome.kind === 'refused') {
      this.logger.log('Refused a publication.', { id: outcome.id, reason: outcome.refusal.kind });
    }
  }

  private recordCheckpoint(): void {
    this.lastCheckpointAt = this.clock.now();
    this.acceptedSinceCheckpoint = 0;
  }
}
