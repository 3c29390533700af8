import Emitter from '../common/Emitter';
import runAtOnce from '../common/runAtOnce';
import runInSlices from '../common/runInSlices';
import type { Clock, Disposable, Steps } from '../common/Types';
import IndexedSnapshot from './IndexedSnapshot';
import { SCHEMA_NUMBER } from './configurationSchema';
import { formatIssue } from './validationIssues';
import { folderDigest } from './folder';
import InvalidHeadError from './InvalidHeadError';
import type { CurrentVersion, Head, Snapshot, StepwiseMerger } from './Types';

/** Validates a version and builds its snapshot, in steps. */
function* snapshotSteps(head: Head, merge: StepwiseMerger): Steps<Snapshot> {
  if (head.schema > SCHEMA_NUMBER) {
    throw new InvalidHeadError(head.version, `schema ${head.schema} is not known here`);
  }
  const result = yield* merge(head.folder);
  if (result.kind === 'invalid') {
    throw new InvalidHeadError(head.version, formatIssue(result.issues[0]!));
  }
  return new IndexedSnapshot(head, result.configuration, result.faults);
}

/**
 * Holds the configuration version in force and replaces it atomically. Never goes back to an older
 * version, even if versions arrive out of order.
 */
export default class VersionStore implements CurrentVersion, Disposable {
  private current: Snapshot | undefined;

  /** The version that was prepared last, until it is put in force. */
  private prepared: Snapshot | undefined;

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
    const snapshot = this.prepared?.head === head ? this.prepared : this.buildSnapshot(head);
    this.prepared = undefined;
    this.current = snapshot;
    this.swapEmitter.fire(snapshot);
    return true;
  }

  public dispose(): void {
    this.swapEmitter.dispose();
  }

  private buildSnapshot(head: Head): Snapshot {
    if (folderDigest(head.folder) !== head.digest) {
      throw new InvalidHeadError(head.version, 'its digest differs');
    }
    return runAtOnce(snapshotSteps(head, this.merge));
  }
}
