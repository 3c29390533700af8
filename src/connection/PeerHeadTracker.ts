import Emitter from '../common/Emitter';
import type { Clock, Disposable, Offset, VersionNumber } from '../common/Types';
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

  private readonly advanceEmitter = new Emitter<Knowledge>();

  public readonly onAdvance = this.advanceEmitter.event;

  /**
   * @param versions - Holds the version in force and validates newer ones.
   * @param clock - Monotonic clock.
   */
  public constructor(
    private readonly versions: CurrentVersion,
    private readonly clock: Clock,
  ) {}

  public get knowledge(): Knowledge {
    return { version: this.version, through: this.through, confirmedAt: this.confirmedAt };
  }

  /**
   * Validation error of the last configuration version from a peer that this daemon could not put in
   * force.
   */
  public get refusedHead(): InvalidHeadError | undefined {
    return this.rejectedHead;
  }

  public get head(): Head | undefined {
    return this.versions.snapshot?.head;
  }

  public isBehind(heartbeat: Heartbeat): boolean {
    const known = Math.max(this.version ?? -1, this.rejectedHead?.version ?? -1);
    return heartbeat.version !== null && heartbeat.version > known;
  }

  public observeHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.version !== this.version) return;
    if (heartbeat.through > this.through) this.through = heartbeat.through;
    if (heartbeat.ageMs === null) return;
    this.confirm(this.clock.now() - heartbeat.ageMs);
  }

  public applyLogHead(head: Head | undefined, through: Offset, confirmed: boolean): void {
    const advanced = head !== undefined && this.versions.activate(head);
    if (through > this.through) this.through = through;
    if (confirmed) this.confirm(this.clock.now());
    if (advanced) this.advanceEmitter.fire(this.knowledge);
  }

  public applyPeerDelta({ delta, through }: DeltaMessage): boolean {
    const base = this.baseFolder(delta.base);
    if (!base) return false;
    const { schema, version, publicationId, digest } = delta;
    const folder = applyChanges(base, delta.changes);
    try {
      const advanced = this.versions.activate({ schema, version, publicationId, digest, folder });
      if (!advanced) return this.version === version;
    } catch (error) {
      if (!(error instanceof InvalidHeadError)) throw error;
      this.rejectedHead = error;
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
