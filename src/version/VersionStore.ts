import Emitter from '../common/Emitter';
import type { Disposable, VersionNumber } from '../common/Types';
import BuiltSnapshot from './BuiltSnapshot';
import { SCHEMA_NUMBER } from './configurationSchema';
import { formatFault } from './faults';
import { folderChanges, folderDigest } from './folder';
import InvalidHeadError from './InvalidHeadError';
import type { CurrentVersion, Delta, Folder, Head, Merger, Snapshot } from './Types';

const REMEMBERED_VERSIONS = 16;

/** Holds the version in force and exchanges it whole; it never goes back. */
export default class VersionStore implements CurrentVersion, Disposable {
  private current: Snapshot | undefined;

  private readonly recent = new Map<VersionNumber, Folder>();

  private readonly swap = new Emitter<Snapshot>();

  public readonly onSwap = this.swap.event;

  /** @param merge - Merges and validates a folder. */
  public constructor(private readonly merge: Merger) {}

  public get snapshot(): Snapshot | undefined {
    return this.current;
  }

  public advance(head: Head): boolean {
    if (this.current && head.version <= this.current.head.version) return false;
    const snapshot = this.build(head);
    this.current = snapshot;
    this.remember(head);
    this.swap.fire(snapshot);
    return true;
  }

  public changesSince(base: VersionNumber | null): Delta | undefined {
    if (!this.current) return undefined;
    const { schema, version, publicationId, digest, folder } = this.current.head;
    const before = base === null ? undefined : this.recent.get(base);
    return {
      base: before ? base : null,
      schema,
      version,
      publicationId,
      digest,
      changes: folderChanges(before ?? [], folder),
    };
  }

  public dispose(): void {
    this.swap.dispose();
  }

  private build(head: Head): Snapshot {
    if (head.schema > SCHEMA_NUMBER) {
      throw new InvalidHeadError(head.version, `schema ${head.schema} is not known here`);
    }
    if (folderDigest(head.folder) !== head.digest) {
      throw new InvalidHeadError(head.version, 'its digest differs');
    }
    const merge = this.merge(head.folder);
    if (merge.kind === 'invalid') {
      throw new InvalidHeadError(head.version, formatFault(merge.faults[0]!));
    }
    return new BuiltSnapshot(head, merge.configuration);
  }

  private remember({ version, folder }: Head): void {
    this.recent.set(version, folder);
    if (this.recent.size <= REMEMBERED_VERSIONS) return;
    const oldest = this.recent.keys().next().value;
    if (oldest !== undefined) this.recent.delete(oldest);
  }
}
