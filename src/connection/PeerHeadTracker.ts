import PQueue from 'p-queue';
import Emitter from '../common/Emitter';
import type { Clock, DaemonId, Disposable, Logger, Offset, VersionNumber } from '../common/Types';
import { applyChanges } from '../version/folder';
import InvalidHeadError from '../version/InvalidHeadError';
import { formatIssue } from '../version/validationIssues';
import type { CurrentVersion, Delta, Folder, Head } from '../version/Types';
import { packChanges, unpackChanges } from './packedChanges';
import type {
  DeltaMessage,
  DeltaOutcome,
  DeltaRequest,
  Heartbeat,
  HeadTracker,
  Knowledge,
  PackedDelta,
} from './Types';

/**
 * Merges configuration versions from the log and from peers. The version in force, its log offset
 * and the time of its last confirmation never go back.
 */
export default class PeerHeadTracker implements HeadTracker, Disposable {
  private through = 0 as Offset;

  private confirmedAt: number | undefined;

  private rejectedHead: InvalidHeadError | undefined;

  private refusals = 0;

  /** Newest version that is being validated; its changes needn't be fetched again. */
  private pendingVersion: VersionNumber | undefined;

  /** Validates one version at a time, so that daemons with the same version do the work once. */
  private readonly validationQueue = new PQueue({ concurrency: 1 });

  private newestHeard: VersionNumber | undefined;

  /** Monotonic time in ms at which a version newer than the one in force was first heard of. */
  private behindSince: number | undefined;

  /** Packed changes to the version in force, by the version that they apply to. */
  private readonly packedDeltas = new Map<VersionNumber | null, Promise<PackedDelta>>();

  private readonly advanceEmitter = new Emitter<Knowledge>();

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

  /** Time in ms since a version newer than the one in force was first heard of; 0 if there is none. */
  public get behindMs(): number {
    return this.behindSince === undefined ? 0 : this.clock.now() - this.behindSince;
  }

  public get head(): Head | undefined {
    return this.versions.snapshot?.head;
  }

  public isBehind(heartbeat: Heartbeat): boolean {
    const known = Math.max(
      this.version ?? -1,
      this.pendingVersion ?? -1,
      this.rejectedHead?.version ?? -1,
    );
    return heartbeat.version !== null && heartbeat.version > known;
  }

  public observeHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.version !== null) this.hear(heartbeat.version);
    if (heartbeat.version !== this.version) return;
    if (heartbeat.through > this.through) this.through = heartbeat.through;
    if (heartbeat.ageMs === null) return;
    this.confirm(this.clock.now() - heartbeat.ageMs);
  }

  public async applyLogHead(
    head: Head | undefined,
    through: Offset,
    confirmed: boolean,
  ): Promise<void> {
    const readAt = this.clock.now();
    const advanced = head !== undefined && (await this.putInForce(head, 'store', through));
    if (through > this.through) this.through = through;
    if (confirmed) this.confirm(readAt);
    if (advanced) this.advanceEmitter.fire(this.knowledge);
  }

  public async applyPeerDelta(
    { delta, through }: DeltaMessage,
    peer: DaemonId | undefined,
  ): Promise<DeltaOutcome> {
    const { schema, version, publicationId, digest } = delta;
    if (version <= (this.version ?? -1)) return 'in force';
    this.expect(version);
    try {
      const changes =
        'packedChanges' in delta ? await unpackChanges(delta.packedChanges) : delta.changes;
      const base = this.baseFolder(delta.base);
      if (!base) return 'unknown base';
      const folder = applyChanges(base, changes);
      const head = { schema, version, publicationId, digest, folder };
      if (!(await this.putInForce(head, peer ?? 'a peer', through))) return 'in force';
    } catch (error) {
      if (!(error instanceof InvalidHeadError)) throw error;
      return 'refused';
    } finally {
      this.stopExpecting(version);
    }
    if (through > this.through) this.through = through;
    this.advanceEmitter.fire(this.knowledge);
    return 'in force';
  }

  public async changesSince({ base, packed }: DeltaRequest): Promise<DeltaMessage | undefined> {
    const { through } = this;
    const known = packed ? await this.packedDeltas.get(base) : undefined;
    if (known) return { delta: known, through };
    const delta = this.versions.changesSince(base);
    if (!delta || !packed) return delta && { delta, through };
    const packing = this.pack(delta);
    this.packedDeltas.set(base, packing);
    return { delta: await packing, through };
  }

  public dispose(): void {
    this.advanceEmitter.dispose();
  }

  /**
   * Validates a version and puts it in force, unless one as new has come into force meanwhile.
   *
   * @throws InvalidHeadError - The version is invalid.
   */
  private putInForce(head: Head, source: string, through: Offset): Promise<boolean> {
    this.expect(head.version);
    return this.validationQueue.add(async () => {
      const startedAt = this.clock.now();
      try {
        if (head.version <= (this.version ?? -1)) return false;
        await this.versions.prepare(head);
        return this.activate(head, source, through, startedAt);
      } catch (error) {
        if (error instanceof InvalidHeadError) this.recordRefusal(error, source);
        throw error;
      } finally {
        this.stopExpecting(head.version);
      }
    });
  }

  private activate(head: Head, source: string, through: Offset, startedAt: number): boolean {
    const before = this.version;
    const { version, folder } = head;
    if (!this.versions.activate(head)) return false;
    this.packedDeltas.clear();
    const behindMs = Math.round(this.behindMs);
    if (version >= (this.newestHeard ?? version)) this.behindSince = undefined;
    this.logger.log('A version came into force.', {
      version,
      before,
      through,
      source,
      files: folder.length,
      behindMs,
      tookMs: Math.round(this.clock.now() - startedAt),
    });
    for (const issue of this.versions.snapshot?.leftOut ?? []) {
      this.logger.log('A file of a version was left out.', { version, issue: formatIssue(issue) });
    }
    return true;
  }

  private recordRefusal(error: InvalidHeadError, source: string): void {
    this.refusals += 1;
    this.rejectedHead = error;
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

  private baseFolder(base: VersionNumber | null): Folder | undefined {
    if (base === null) return [];
    return this.head?.version === base ? this.head.folder : undefined;
  }

  private confirm(at: number): void {
    if (this.confirmedAt === undefined || at > this.confirmedAt) this.confirmedAt = at;
  }
}
