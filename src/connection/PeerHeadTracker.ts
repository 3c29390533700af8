import Emitter from '../common/Emitter';
import type { Clock, DaemonId, Disposable, Logger, Offset, VersionNumber } from '../common/Types';
import { applyChanges } from '../version/folder';
import InvalidHeadError from '../version/InvalidHeadError';
import type { CurrentVersion, Folder, Head } from '../version/Types';
import type { Heartbeat, DeltaMessage, HeadTracker, Knowledge } from './Types';

/**
 * Merges configuration versions from the log and from peers. The version in force, its log offset
 * and the time of its last confirmation never go back.
 */
export default class PeerHeadTracker implements HeadTracker, Disposable {
  private through = 0 as Offset;

  private confirmedAt: number | undefined;

  private rejectedHead: InvalidHeadError | undefined;

  private refusals = 0;

  private newestHeard: VersionNumber | undefined;

  /** Monotonic time in ms at which a version newer than the one in force was first heard of. */
  private behindSince: number | undefined;

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
    const known = Math.max(this.version ?? -1, this.rejectedHead?.version ?? -1);
    return heartbeat.version !== null && heartbeat.version > known;
  }

  public observeHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.version !== null) this.hear(heartbeat.version);
    if (heartbeat.version !== this.version) return;
    if (heartbeat.through > this.through) this.through = heartbeat.through;
    if (heartbeat.ageMs === null) return;
    this.confirm(this.clock.now() - heartbeat.ageMs);
  }

  public applyLogHead(head: Head | undefined, through: Offset, confirmed: boolean): void {
    const advanced = head !== undefined && this.activate(head, 'store', through);
    if (through > this.through) this.through = through;
    if (confirmed) this.confirm(this.clock.now());
    if (advanced) this.advanceEmitter.fire(this.knowledge);
  }

  public applyPeerDelta({ delta, through }: DeltaMessage, peer: DaemonId | undefined): boolean {
    const base = this.baseFolder(delta.base);
    if (!base) return false;
    const { schema, version, publicationId, digest } = delta;
    const folder = applyChanges(base, delta.changes);
    try {
      const head = { schema, version, publicationId, digest, folder };
      if (!this.activate(head, peer ?? 'a peer', through)) return this.version === version;
    } catch (error) {
      if (!(error instanceof InvalidHeadError)) throw error;
      return false;
    }
    if (through > this.through) this.through = through;
    this.advanceEmitter.fire(this.knowledge);
    return true;
  }

  public changesSince(base: VersionNumber | null): DeltaMessage | undefined {
    const delta = this.versions.changesSince(base);
    return delta && { delta, through: this.through };
  }

  public dispose(): void {
    this.advanceEmitter.dispose();
  }

  /**
   * Puts a version in force unless it is no newer than the current one, and logs the result.
   *
   * @throws InvalidHeadError - The version is invalid.
   */
  private activate(head: Head, source: string, through: Offset): boolean {
    const before = this.version;
    const { version } = head;
    this.hear(version);
    const startedAt = this.clock.now();
    try {
      if (!this.versions.activate(head)) return false;
    } catch (error) {
      if (!(error instanceof InvalidHeadError)) throw error;
      this.refusals += 1;
      this.rejectedHead = error;
      this.logger.log('A version was refused.', { version, before, source, reason: error.message });
      throw error;
    }
    const behindMs = Math.round(this.behindMs);
    if (version >= (this.newestHeard ?? version)) this.behindSince = undefined;
    this.logger.log('A version came into force.', {
      version,
      before,
      through,
      source,
      files: head.folder.length,
      behindMs,
      tookMs: Math.round(this.clock.now() - startedAt),
    });
    return true;
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
