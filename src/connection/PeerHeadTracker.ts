import PQueue from 'p-queue';
import Emitter from '../common/Emitter';
import type { Clock, DaemonId, Disposable, Logger, Offset, VersionNumber } from '../common/Types';
import runInSlices from '../common/runInSlices';
import { applyChanges, digestSteps } from '../version/folder';
import FolderHistory from '../version/FolderHistory';
import InvalidHeadError from '../version/InvalidHeadError';
import { formatIssue } from '../version/validationIssues';
import type { CurrentVersion, Delta, Head } from '../version/Types';
import { packChanges, unpackChanges } from './packedChanges';
import type {
  DeltaMessage,
  DeltaOutcome,
  DeltaRequest,
  Heartbeat,
  HeadTracker,
  Knowledge,
  Offer,
  PackedDelta,
} from './Types';

/** Maximum number of entries and of faults of a version that a log line names. */
const MAX_LOGGED_ENTRIES = 20;

/**
 * Merges configuration versions from the log and from peers. The version in force, its log offset
 * and the time of its last confirmation never go back.
 */
export default class PeerHeadTracker implements HeadTracker, Disposable {
  private through = 0 as Offset;

  private readonly history = new FolderHistory();

  /** Offset after the last log record that the newest received version reflects. */
  private offeredThrough = 0 as Offset;

  private confirmedAt: number | undefined;

  private rejectedHead: InvalidHeadError | undefined;

  private refusals = 0;

  /** Newest version whose changes are being unpacked; they needn't be fetched again. */
  private pendingVersion: VersionNumber | undefined;

  /** Validates one version at a time. */
  private readonly validationQueue = new PQueue({ concurrency: 1 });

  private newestHeard: VersionNumber | undefined;

  /** Monotonic time in ms at which a version newer than the one in force was first heard of. */
  private behindSince: number | undefined;

  /** Packed changes to the newest version received, by the version that they apply to. */
  private readonly packedDeltas = new Map<VersionNumber | null, Promise<PackedDelta>>();

  private readonly advanceEmitter = new Emitter<Offer>();

  public readonly onAdvance = this.advanceEmitter.event;

  /**
   * @param versions - Holds the version in force and validates newer ones.
   * @param clock - Monotonic clock.
   * @param logger - Logs each version that comes into force or is refused.
   */
  public constructor(
    private readonly versions: CurrentVersion,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  public get knowledge(): Knowledge {
    return { version: this.version, through: this.through, confirmedAt: this.confirmedAt };
  }

  public get offer(): Offer {
    const version = this.history.newest?.version ?? null;
    return { version, through: this.offeredThrough };
  }

  /**
   * Validation error of the last configuration version that this daemon could not put in force, while
   * no newer one is in force.
   */
  public get refusedHead(): InvalidHeadError | undefined {
    const { rejectedHead } = this;
    return rejectedHead && rejectedHead.version > (this.version ?? -1) ? rejectedHead : undefined;
  }

  /** Number of versions that this daemon received and could not put in force. */
  public get refusedCount(): number {
    return this.refusals;
  }

  /** Newest version that the store or a peer is known to have; `undefined` if none. */
  public get newestVersionHeard(): VersionNumber | undefined {
    return this.newestHeard;
  }

  /** Whether the newest known version is neither in force here nor refused. */
  public get awaitsNewerVersion(): boolean {
    const settled = Math.max(this.version ?? -1, this.rejectedHead?.version ?? -1);
    return (this.newestHeard ?? -1) > settled;
  }

  /** Time in ms since a version newer than the one in force was first heard of; 0 if there is none. */
  public get behindMs(): number {
    return this.behindSince === undefined ? 0 : this.clock.now() - this.behindSince;
  }

  public get head(): Head | undefined {
    return this.versions.snapshot?.head;
  }

  public isBehind(heartbeat: Heartbeat): boolean {
    const known = Math.max(
      this.offer.version ?? -1,
      this.pendingVersion ?? -1,
      this.rejectedHead?.version ?? -1,
    );
    return heartbeat.version !== null && heartbeat.version > known;
  }

  public observeHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.version !== null) this.hear(heartbeat.version);
    if (heartbeat.version !== this.version) return;
    if (heartbeat.through > this.through) this.through = heartbeat.through;
    if (this.offer.version === this.version) this.offeredThrough = this.through;
    if (heartbeat.ageMs === null) return;
    this.confirm(this.clock.now() - heartbeat.ageMs);
  }

  public async applyLogHead(
    head: Head | undefined,
    through: Offset,
    confirmed: boolean,
  ): Promise<void> {
    const readAt = this.clock.now();
    if (head && head.version > (this.version ?? -1)) {
      this.receive(head, through);
      await this.validate(head, 'store', through);
    }
    // The head may have been refused, or replaced by a newer one that is still being validated. The
    // offset and the confirmation belong to the version in force: a checkpoint holds both.
    if (head && head.version > (this.version ?? -1)) return;
    // Peers that read from this offset on would never see a refused version before it, and take the one in
    // force for the newest.
    if (through > this.through && !this.refusedHead) this.through = through;
    if (this.offer.version === this.version) this.offeredThrough = this.through;
    if (confirmed) this.confirm(readAt);
  }

  public async applyPeerDelta(
    { delta, through }: DeltaMessage,
    peer: DaemonId | undefined,
  ): Promise<DeltaOutcome> {
    const { schema, version, publicationId, digest } = delta;
    if (!this.isNewer(version)) return 'known';
    this.expect(version);
    try {
      const changes =
        'packedChanges' in delta ? await unpackChanges(delta.packedChanges) : delta.changes;
      const base = this.history.folderOf(delta.base);
      if (!base) return 'unknown base';
      const folder = applyChanges(base, changes);
      const source = peer ?? 'a peer';
      if ((await runInSlices(digestSteps(folder), this.clock)) !== digest) {
        this.recordRefusal(new InvalidHeadError(version, 'its digest differs'), source);
        return 'received';
      }
      if (!this.isNewer(version)) return 'known';
      const head = { schema, version, publicationId, digest, folder };
      this.receive(head, through);
      if ('packedChanges' in delta) this.packedDeltas.set(delta.base, Promise.resolve(delta));
      void this.validate(head, source, through);
      return 'received';
    } finally {
      this.stopExpecting(version);
    }
  }

  public async changesSince({ base, packed }: DeltaRequest): Promise<DeltaMessage | undefined> {
    const through = this.offeredThrough;
    const known = packed ? await this.packedDeltas.get(base) : undefined;
    if (known) return { delta: known, through };
    const delta = this.history.changesSince(base);
    if (!delta || !packed) return delta && { delta, through };
    const packing = this.pack(delta);
    this.packedDeltas.set(base, packing);
    return { delta: await packing, through };
  }

  public dispose(): void {
    this.advanceEmitter.dispose();
  }

  private isNewer(version: VersionNumber): boolean {
    return version > (this.history.newest?.version ?? -1);
  }

  /**
   * Offers a version to peers before it is validated here, so that the daemons validate it at the same
   * time instead of one after the other.
   */
  private receive(head: Head, through: Offset): void {
    this.hear(head.version);
    if (!this.isNewer(head.version)) return;
    this.history.add(head);
    this.packedDeltas.clear();
    this.offeredThrough = through;
    this.advanceEmitter.fire(this.offer);
  }

  /** Validates a version and puts it in force, unless a newer one has been received meanwhile. */
  private validate(head: Head, source: string, through: Offset): Promise<void> {
    return this.validationQueue.add(async () => {
      const isSuperseded = head.version < (this.history.newest?.version ?? -1);
      if (isSuperseded || head.version <= (this.version ?? -1)) return;
      const startedAt = this.clock.now();
      try {
        await this.versions.prepare(head);
        this.activate(head, source, through, startedAt);
      } catch (error) {
        if (!(error instanceof InvalidHeadError)) throw error;
        this.recordRefusal(error, source);
      }
    });
  }

  private activate(head: Head, source: string, through: Offset, startedAt: number): void {
    const before = this.version;
    const { version, folder } = head;
    if (!this.versions.activate(head)) return;
    if (through > this.through) this.through = through;
    const behindMs = Math.round(this.behindMs);
    const { confirmedAt } = this;
    if (version >= (this.newestHeard ?? version)) this.behindSince = undefined;
    this.logger.log('A version came into force.', {
      version,
      before,
      through,
      source,
      files: folder.length,
      behindMs,
      // Null if no daemon has told since the start that the version before was the newest.
      confirmedAgoMs: confirmedAt === undefined ? null : Math.round(startedAt - confirmedAt),
      tookMs: Math.round(this.clock.now() - startedAt),
    });
    this.logFaults(version);
  }

  private logFaults(version: VersionNumber): void {
    const { closed = [], faults = [] } = this.versions.snapshot ?? {};
    if (closed.length === 0 && faults.length === 0) return;
    this.logger.log('Entries of a version are closed or left out.', {
      version,
      closed: closed.length,
      entries: closed.slice(0, MAX_LOGGED_ENTRIES).map(({ entry }) => entry),
      faults: faults.length,
      issues: faults.slice(0, MAX_LOGGED_ENTRIES).map(formatIssue),
    });
  }

  private recordRefusal(error: InvalidHeadError, source: string): void {
    this.refusals += 1;
    this.rejectedHead = error;
    if (error.version === this.history.newest?.version) {
      this.history.resetTo(this.head);
      this.packedDeltas.clear();
      this.offeredThrough = this.through;
    }
    const { version, message: reason } = error;
    this.logger.log('A version was refused.', { version, before: this.version, source, reason });
  }

  private async pack({ changes, ...fields }: Delta): Promise<PackedDelta> {
    return { ...fields, packedChanges: await packChanges(changes) };
  }

  private expect(version: VersionNumber): void {
    this.hear(version);
    if (version > (this.pendingVersion ?? -1)) this.pendingVersion = version;
  }

  private stopExpecting(version: VersionNumber): void {
    if (this.pendingVersion === version) this.pendingVersion = undefined;
  }

  private hear(version: VersionNumber): void {
    if (version <= (this.newestHeard ?? -1)) return;
    this.newestHeard = version;
    if (version > (this.version ?? -1)) this.behindSince ??= this.clock.now();
  }

  private get version(): VersionNumber | null {
    return this.head?.version ?? null;
  }

  private confirm(at: number): void {
    if (this.confirmedAt === undefined || at > this.confirmedAt) this.confirmedAt = at;
  }
}
