import Emitter from '../common/Emitter';
import runAtOnce from '../common/runAtOnce';
import runInSlices from '../common/runInSlices';
import type { Clock, Disposable, Steps, VersionNumber } from '../common/Types';
import IndexedSnapshot from './IndexedSnapshot';
import { SCHEMA_NUMBER } from './configurationSchema';
import { formatIssue } from './validationIssues';
import { digestSteps, folderChanges } from './folder';
import InvalidHeadError from './InvalidHeadError';
import type { CurrentVersion, Delta, Folder, Head, Snapshot, StepwiseMerger } from './Types';

/**
 * Number of past folders that are kept, so that a peer with one of them can be sent only the
 * changes.
 */
const MAX_REMEMBERED_FOLDERS = 16;

/** Validates a version and builds its snapshot, in steps. */
function* snapshotSteps(head: Head, merge: StepwiseMerger): Steps<Snapshot> {
  if (head.schema > SCHEMA_NUMBER) {
    throw new InvalidHeadError(head.version, `schema ${head.schema} is not known here`);
  }
  if ((yield* digestSteps(head.folder)) !== head.digest) {
    throw new InvalidHeadError(head.version, 'its digest differs');
  }
  const result = yield* merge(head.folder);
  if (result.kind === 'invalid') {
    throw new InvalidHeadError(head.version, formatIssue(result.issues[0]!));
  }
  return new IndexedSnapshot(head, result.configuration, result.leftOut);
}

/**
 * Holds the configuration version in force and replaces it atomically. Never goes back to an older
 * version, even if versions arrive out of order.
 */
export default class VersionStore implements CurrentVersion, Disposable {
  private current: Snapshot | undefined;

  /** The version that was prepared last, until it is put in force. */
  private prepared: Snapshot | undefined;

  private readonly recentFolders = new Map<VersionNumber, Folder>();

  private readonly swapEmitter = new Emitter<Snapshot>();

  public readonly onActivate = this.swapEmitter.event;

  /**
   * @param merge - Merges and validates a folder.
   * @param clock - Monotonic clock, to validate in slices.
   */
  public constructor(
    private readonly merge: StepwiseMerger,
    private readonly clock: Clock,
  ) {}

  public get snapshot(): Snapshot | undefined {
    return this.current;
  }

  public async prepare(head: Head): Promise<void> {
    this.prepared = await runInSlices(snapshotSteps(head, this.merge), this.clock);
  }

  public activate(head: Head): boolean {
    if (this.current && head.version <= this.current.head.version) return false;
    const { prepared } = this;
    const snapshot =
      prepared?.head === head ? prepared : runAtOnce(snapshotSteps(head, this.merge));
    this.prepared = undefined;
    this.current = snapshot;
    this.remember(head);
    this.swapEmitter.fire(snapshot);
    return true;
  }

  public changesSince(base: VersionNumber | null): Delta | undefined {
    if (!this.current) return undefined;
    const { schema, version, publicationId, digest, folder } = this.current.head;
    const baseFolder = base === null ? undefined : this.recentFolders.get(base);
    return {
      base: baseFolder ? base : null,
      schema,
      version,
      publicationId,
      digest,
      changes: folderChanges(baseFolder ?? [], folder),
    };
  }

  public dispose(): void {
    this.swapEmitter.dispose();
  }

  private remember({ version, folder }: Head): void {
    this.recentFolders.set(version, folder);
    if (this.recentFolders.size <= MAX_REMEMBERED_FOLDERS) return;
    const oldest = this.recentFolders.keys().next().value;
    if (oldest !== undefined) this.recentFolders.delete(oldest);
  }
}
