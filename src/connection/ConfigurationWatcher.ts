import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import runInSlices from '../common/runInSlices';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';
import type { Clock, Disposable, Logger, Offset, Random, VersionNumber } from '../common/Types';
import { applyChanges, digestSteps, folderChanges } from '../version/folder';
import requiredSchema from '../version/requiredSchema';
import type { Head } from '../version/Types';
import type FreshnessProof from './FreshnessProof';
import { PROOF_READ_INTERVAL_MS, PROOF_READ_SHARE } from './FreshnessProof';
import LogError from './LogError';
import LogExpiredError from './LogExpiredError';
import LogTimeoutError from './LogTimeoutError';
import type MemberTable from './MemberTable';
import type {
  ConfigurationBatch,
  ConfigurationStore,
  HeadTracker,
  LogReaderState,
  MemberRecord,
  Moment,
  PublishedConfiguration,
} from './Types';
import type ReaderDoubt from './ReaderDoubt';
import ReaderRole, { type ReaderCounts } from './ReaderRole';

/** Interval at which a daemon that doesn't read the store checks whether it should. */
const ROLE_CHECK_INTERVAL_MS = 100;
/** Delay after a new version is read; of versions published meanwhile, only the last is read. */
const COALESCE_MS = 300;
const READ_BACKOFF: Backoff = { baseMs: 150, capMs: 1_500 };
/**
 * Number of consecutive reads that were turned away or reset after which the next daemon by rank reads the
 * store. A read without a response hands over at once, as its timeout has passed already.
 */
const FAILURES_BEFORE_HANDOVER = 2;
/** Shortest time between two reads on behalf of readers that lost the store, in milliseconds. */
const MIN_CATCH_UP_INTERVAL_MS = 2_000;
/**
 * Time after the store came back from a copy in which its operator may still write again what was lost, in ms;
 * a read proves nothing then.
 */
const RESTORE_SETTLE_MS = 1_000;
/**
 * Share of the revocation bound over which the daemons whose proofs get old begin to read, so that those
 * that read first can pass on their proofs.
 */
const PROOF_READ_JITTER = 1 / 4;

/** Conditions under which a daemon itself reads the configuration store. */
export interface ConfigurationWatcherOptions extends ReaderCounts {
  /**
   * If the configuration has not been confirmed by peers to be the newest for this many ms, a daemon
   * reads the store itself.
   */
  readonly staleMs: number;
}

/** Why a daemon reads the store. */
type ReadReason =
  'start' | 'rank' | 'failed reads' | 'a peer is late' | 'a reader failed' | 'old proof' | 'stale';

/**
 * Watches a store that retains the newest complete configuration. Every daemon reads the store once
 * at startup; afterwards only the first-ranked daemons of some zones read it, and the others receive
 * changes from peers. A daemon whose reads fail sets `readsLog` to false in its member record, and
 * the next daemon by rank takes over; a few more read once, as the cause may concern several daemons. While
 * the readers may be lost themselves, the daemons that notice this read too.
 *
 * While a proof is needed that the version in force is the newest, readers read once a second without waiting,
 * as a read proves nothing about the time after it was sent; so does any daemon whose proof gets old.
 */
export default class ConfigurationWatcher implements Disposable {
  private readonly role: ReaderRole;

  private readonly subscriptions: readonly Disposable[];

  private wakeup = new AbortController();

  /** Offset at which the next read starts; `undefined` to read the newest configuration. */
  private nextOffset: Offset | undefined;

  private reason: ReadReason | undefined;

  private reads = 0;

  private failures = 0;

  private consecutiveFailures = 0;

  private hasConfirmedRead = false;

  /** Whether the next wait is the first of several that all readers begin at the same time. */
  private isFirstWait = true;

  private hasReaderFailed = false;

  private lastCatchUpAt = -Infinity;

  /** Offset of the newest configuration in the store if it can't be decoded. */
  private unreadableAt: Offset | undefined;

  /** Newest version in the records of the store up to `nextOffset`; `undefined` if there is none. */
  private shownVersion: VersionNumber | undefined;

  /** Monotonic time in ms from which on reads of the store prove something. */
  private provesFrom = -Infinity;

  /** Monotonic time in ms of the first read whose proof mattered. */
  private firstReadAt: number | undefined;

  /** Whether it is known what the store held before it came back from a copy. */
  private isPastKnown = false;

  /** Why the last read proved nothing; `undefined` if it did. */
  private proofDoubt: string | undefined;

  /** Monotonic time in ms at which this daemon reads for a younger proof; `undefined` if it isn't old. */
  private proofReadAt: number | undefined;

  public constructor(
    private readonly store: ConfigurationStore,
    private readonly heads: HeadTracker,
    private readonly members: MemberTable,
    private readonly options: ConfigurationWatcherOptions,
    private readonly doubt: ReaderDoubt,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly proof?: FreshnessProof,
  ) {
    this.role = new ReaderRole(members, options);
    this.subscriptions = [
      doubt.onRaise(() => this.wakeup.abort()),
      members.onChange((records) => this.noteFailedReaders(records)),
      ...(store.onRestore ? [store.onRestore(() => this.noteRestore())] : []),
    ];
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
      noProofReason: this.proofDoubt,
      reads: this.reads,
      failures: this.failures,
      lastCheckpointAt: undefined,
      acceptedSinceCheckpoint: 0,
    };
  }

  public dispose(): void {
    for (const subscription of this.subscriptions) subscription.dispose();
    this.role.dispose();
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.store.observe(this.heads.knowledge.through);
      this.updateReason();
      if (!this.reason) {
        await this.awaitReason(signal);
        continue;
      }
      try {
        const isNewVersion = await this.readOnce(signal);
        this.recordSuccess();
        this.isFirstWait = isNewVersion;
        if (this.proof?.isNeeded) {
          await this.awaitTurn(this.proof, signal);
          continue;
        }
        if (isNewVersion) await sleep(COALESCE_MS, signal);
        // Without this delay, all daemons that lose their peers at once would overload the store.
        if (this.reason === 'stale' && this.isStale()) {
          await sleep(jitteredPeriod(this.options.staleMs, this.random), signal);
        }
      } catch (error) {
        if (signal.aborted) return;
        if (!(error instanceof LogError)) throw error;
        this.recordFailure(error);
        await this.awaitRetry(signal);
      }
    }
  }

  private async awaitReason(signal: AbortSignal): Promise<void> {
    await withLinkedSignal([signal, this.wakeup.signal], undefined, (ended) =>
      sleep(ROLE_CHECK_INTERVAL_MS, ended),
    );
    if (this.wakeup.signal.aborted) this.wakeup = new AbortController();
  }

  /** Waits until the next read while a proof is needed. */
  private async awaitTurn(proof: FreshnessProof, signal: AbortSignal): Promise<void> {
    const waitMs =
      this.reason === 'rank'
        ? this.role.untilTurnMs(PROOF_READ_INTERVAL_MS, proof.now().timeOfDayMs)
        : jitteredPeriod(PROOF_READ_INTERVAL_MS, this.random);
    await sleep(waitMs, signal);
  }

  /** Whether this daemon should read the store to get a younger proof than its peers passed on. */
  private isProofDue(): boolean {
    const { proof } = this;
    if (!proof?.isOlderThan(PROOF_READ_SHARE)) {
      this.proofReadAt = undefined;
      return false;
    }
    const now = this.clock.now();
    this.proofReadAt ??= now + this.random.below(Math.ceil(proof.boundMs * PROOF_READ_JITTER));
    return now >= this.proofReadAt;
  }

  /** Waits before a failed read is repeated; the first repetition, on a new connection, comes at once. */
  private async awaitRetry(signal: AbortSignal): Promise<void> {
    const retries = this.consecutiveFailures - 1;
    if (retries > 0) await sleep(jitteredBackoff(READ_BACKOFF, retries, this.random), signal);
  }

  private noteFailedReaders(records: readonly MemberRecord[]): void {
    const { id: own } = this.members.self;
    if (this.reason) return;
    if (records.some(({ id, readsLog }) => id !== own && !readsLog)) this.hasReaderFailed = true;
  }

  /** Whether this daemon should read once, as a reader lost the store. */
  private isCatchUpDue(): boolean {
    if (!this.hasReaderFailed) return false;
    const isSpaced = this.clock.now() - this.lastCatchUpAt >= MIN_CATCH_UP_INTERVAL_MS;
    if (isSpaced && this.role.isStandby) return true;
    this.hasReaderFailed = false;
    return false;
  }

  private reasonToRead(): ReadReason | undefined {
    if (!this.hasConfirmedRead) return 'start';
    if (this.role.isReader) return 'rank';
    if (!this.members.self.readsLog) return 'failed reads';
    if (this.doubt.isRaised) return 'a peer is late';
    if (this.isCatchUpDue()) return 'a reader failed';
    if (this.isProofDue()) return 'old proof';
    return this.isStale() ? 'stale' : undefined;
  }

  private updateReason(): void {
    const before = this.reason;
    this.reason = this.reasonToRead();
    if (this.reason === before) return;
    this.isFirstWait = true;
    // Connections that are open since earlier reads may have gone silent with those to the peers.
    if (this.reason) this.store.reconnect();
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
    if (this.reason === 'a reader failed') {
      this.hasReaderFailed = false;
      this.lastCatchUpAt = this.clock.now();
    }
    const askedAt = this.proof?.now();
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
    this.logFirstRead(batch);
    this.noteUnreadable(batch);
    this.nextOffset = batch.next;
    this.noteShown(batch.configuration?.version);
    this.noteProofDoubt(askedAt);
    // Valid as soon as this version, or a newer one from a peer, is in force.
    const isProof = askedAt && this.proofDoubt === undefined;
    if (isProof && this.shownVersion !== undefined) this.proof?.add(this.shownVersion, askedAt);
    // Peers that read from this offset on find the unreadable configuration themselves.
    return this.apply(batch.configuration, this.unreadableAt ?? batch.next);
  }

  private read(signal: AbortSignal): Promise<ConfigurationBatch> {
    const { head, knowledge } = this.heads;
    // After the first read, an offset confirmed by peers is as reliable as one from the store, unless the store
    // lacks what the peers have in force.
    const isAhead = this.nextOffset !== undefined && knowledge.through > this.nextOffset;
    if (head && isAhead && !this.isStoreBehind) {
      this.nextOffset = knowledge.through;
      this.noteShown(head.version);
    }
    if (this.nextOffset === undefined) return this.store.newest(signal);
    return this.store.changes(this.nextOffset, this.waitMs(), signal);
  }

  private logFirstRead({ configuration, next }: ConfigurationBatch): void {
    if (this.hasConfirmedRead) return;
    this.logger.log('Read the store for the first time.', {
      version: configuration?.version ?? null,
      next,
      newestHeard: this.heads.newestVersionHeard ?? null,
      sinceStartMs: Math.round(this.clock.now()),
    });
  }

  /**
   * A newest configuration that can't be decoded may have removed keys, so while there is one, a read of the
   * store is no proof for the version before it.
   */
  private noteUnreadable({ configuration, unreadableAt }: ConfigurationBatch): void {
    const isWhole = this.nextOffset === undefined;
    if (isWhole || configuration || unreadableAt !== undefined) this.unreadableAt = unreadableAt;
  }

  /** A version that removed a key may be among the records that were lost. */
  private noteRestore(): void {
    this.provesFrom = this.clock.now() + RESTORE_SETTLE_MS;
    this.nextOffset = undefined;
    this.shownVersion = undefined;
  }

  /** Whether the store came back from a copy and shows less than is known of it. */
  private get isStoreBehind(): boolean {
    const known = this.heads.newestVersionHeard ?? -1;
    return this.store.hasBeenRestored === true && known > (this.shownVersion ?? -1);
  }

  /**
   * Whether it is known what the store held before it came back from a copy: this process has read it then, a
   * peer has a proof, or no peer has stated one for as long as a proof can be valid.
   */
  private knowsPast(proof: FreshnessProof): boolean {
    if (!this.store.hasBeenRestored || proof.hasPeerProof) this.isPastKnown = true;
    this.firstReadAt ??= this.clock.now();
    return this.isPastKnown || this.clock.now() - this.firstReadAt >= proof.boundMs;
  }

  /** Notes why a read proves nothing, if it doesn't. */
  private noteProofDoubt(askedAt: Moment | undefined): void {
    const { proof } = this;
    if (!proof || !askedAt) return;
    const before = this.proofDoubt;
    this.proofDoubt = this.findProofDoubt(proof, askedAt);
    if (this.proofDoubt === before) return;
    const { newestVersionHeard = null, knowledge } = this.heads;
    this.logger.log(
      this.proofDoubt
        ? 'Reads of the store prove nothing.'
        : 'Reads of the store are proofs again.',
      {
        reason: this.proofDoubt ?? before,
        shown: this.shownVersion ?? null,
        newestHeard: newestVersionHeard,
        version: knowledge.version,
        next: this.nextOffset,
      },
    );
  }

  private findProofDoubt(proof: FreshnessProof, askedAt: Moment): string | undefined {
    const knowsPast = this.knowsPast(proof);
    if (this.unreadableAt !== undefined) return "its newest configuration can't be decoded";
    if (askedAt.monotonicMs < this.provesFrom) return 'it came back from a copy just now';
    if (!knowsPast) return 'it came back from a copy, and no peer has told yet what it held before';
    if (this.isStoreBehind) return 'it came back from a copy and lacks a version that is known';
    return undefined;
  }

  private noteShown(version: VersionNumber | undefined): void {
    if (version === undefined) return;
    if (version > (this.shownVersion ?? -1)) this.shownVersion = version;
  }

  /** Longest wait of the next read for a newer version, in milliseconds. */
  private waitMs(): number {
    if (this.consecutiveFailures > 0 || this.proof?.isNeeded) return 0;
    if (this.reason === 'rank') return this.role.waitMs(this.isFirstWait);
    // A read that waits costs no more than one that doesn't, and hears of later versions too.
    const isOnBehalf = this.reason === 'a peer is late' || this.reason === 'a reader failed';
    return isOnBehalf ? this.role.waitMs(false) : 0;
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
      schema: requiredSchema(folder),
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
    const isLost =
      error instanceof LogTimeoutError || this.consecutiveFailures >= FAILURES_BEFORE_HANDOVER;
    if (isLost && this.members.self.readsLog) {
      this.members.updateSelf({ readsLog: false });
    }
  }
}
