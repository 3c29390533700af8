import type { Offset } from '../common/Types';
import { SCHEMA_NUMBER } from './configurationSchema';
import { applyChanges, folderDigest } from './folder';
import { decodeRecord } from './recordSchema';
import type {
  Checkpoint,
  Head,
  FolderMerger,
  Publication,
  PublicationRefusal,
  RecordOutcome,
} from './Types';

/** A publication that can't be accepted or refused yet, as the records before it are unknown. */
interface PendingPublication {
  readonly offset: Offset;
  readonly publication: Publication;
}

/**
 * Maximum number of publications that wait for a checkpoint. Bounds their memory; a reader with
 * more drops them all.
 */
const MAX_PENDING_PUBLICATIONS = 10_000;
const IGNORED: RecordOutcome = { kind: 'ignored' };

/**
 * Applies the records of the configuration stream in order and computes the head, which is the
 * newest accepted version. The result is deterministic: all readers accept and refuse the same
 * publications, whatever offset they start at. A reader that starts after the first record doesn't
 * evaluate publications until a checkpoint supplies the state that the earlier records result in.
 */
export default class ConfigurationReplay {
  private latest: Head | undefined;

  /**
   * Offset from which on no record was missed, unreadable or dropped. Only a checkpoint that covers
   * all records before this offset completes the state.
   */
  private contiguousFrom: Offset;

  private next: Offset;

  private complete: boolean;

  private pending: PendingPublication[] = [];

  private blockingSchema: number | undefined;

  /**
   * @param merge - Validates the folder that a publication results in.
   * @param from - Offset of the first record to apply; at 0 no checkpoint is needed.
   */
  public constructor(
    private readonly merge: FolderMerger,
    from: Offset,
  ) {
    this.contiguousFrom = from;
    this.next = from;
    this.complete = from === 0;
  }

  /** The newest accepted version, as far as this reader has applied the stream. */
  public get head(): Head | undefined {
    return this.latest;
  }

  /** Offset of the next record to apply. */
  public get nextOffset(): Offset {
    return this.next;
  }

  /**
   * Whether the state covers every record before `nextOffset`, through a checkpoint or because this
   * reader applied them all. While it doesn't, publications are deferred.
   */
  public get isComplete(): boolean {
    return this.complete;
  }

  /**
   * Schema number of a record that this release is too old to read. Set until a checkpoint that
   * covers the record arrives; `undefined` otherwise.
   */
  public get unknownSchema(): number | undefined {
    return this.blockingSchema;
  }

  /**
   * Applies the next record.
   *
   * @param offset - Offset of the record. A record below `nextOffset` is ignored. After a gap,
   * publications are deferred until the next checkpoint.
   * @param text - Text of the record in the log.
   * @returns The result for the record, or for all deferred publications if it is a checkpoint that
   * was needed, in stream order.
   */
  public apply(offset: Offset, text: string): readonly RecordOutcome[] {
    if (offset < this.next) return [IGNORED];
    if (offset > this.next) this.restartAt(offset);
    this.next = (offset + 1) as Offset;
    const decoded = decodeRecord(text, SCHEMA_NUMBER);
    if (decoded.kind === 'malformed') return [IGNORED];
    if (decoded.kind === 'unknown schema') {
      this.restartAt(this.next);
      this.blockingSchema = decoded.schema;
      return [IGNORED];
    }
    const { record } = decoded;
    return record.kind === 'checkpoint'
      ? this.restore(record)
      : [this.evaluate({ offset, publication: record })];
  }

  /**
   * Restores the state from a checkpoint if this reader lacks earlier records, and then evaluates
   * the deferred publications. Ignores a checkpoint that isn't needed, is too old, or has a wrong
   * digest.
   *
   * @param checkpoint - A checkpoint from the stream or from a peer.
   * @returns The results for the deferred publications that the checkpoint doesn't cover.
   */
  public restore(checkpoint: Checkpoint): readonly RecordOutcome[] {
    if (this.complete || checkpoint.through < this.contiguousFrom) return [IGNORED];
    if (this.latest && checkpoint.head.version < this.latest.version) return [IGNORED];
    if (folderDigest(checkpoint.head.folder) !== checkpoint.head.digest) return [IGNORED];
    this.latest = checkpoint.head;
    this.complete = true;
    this.blockingSchema = undefined;
    if (checkpoint.through > this.next) this.next = checkpoint.through;
    const uncovered = this.pending.filter(({ offset }) => offset >= checkpoint.through);
    this.pending = [];
    return uncovered.map((entry) => this.evaluate(entry));
  }

  /**
   * Continues at a later offset because the records before it were dropped or can't be read. Keeps
   * the head, but defers publications until the next checkpoint.
   *
   * @param offset - Offset of the next record to apply.
   */
  public restartAt(offset: Offset): void {
    this.contiguousFrom = offset;
    this.next = offset;
    this.complete = false;
    this.pending = [];
  }

  private evaluate(entry: PendingPublication): RecordOutcome {
    const { publication, offset } = entry;
    if (!this.complete) {
      if (this.pending.length < MAX_PENDING_PUBLICATIONS) this.pending.push(entry);
      else this.restartAt(this.next);
      return { kind: 'deferred', id: publication.id };
    }
    const refusal = this.refusalOf(publication);
    if (refusal) return { kind: 'refused', id: publication.id, refusal };
    this.latest = {
      schema: publication.schema,
      version: offset as number as Head['version'],
      publicationId: publication.id,
      digest: publication.digest,
      folder: applyChanges(this.latest?.folder ?? [], publication.changes),
    };
    return { kind: 'accepted', id: publication.id, head: this.latest };
  }

  private refusalOf(publication: Publication): PublicationRefusal | undefined {
    const head = this.latest?.version ?? null;
    if (publication.base !== head) return { kind: 'base', head };
    const folder = applyChanges(this.latest?.folder ?? [], publication.changes);
    if (folderDigest(folder) !== publication.digest) return { kind: 'digest' };
    const result = this.merge(folder);
    return result.kind === 'invalid' ? { kind: 'invalid', issues: result.issues } : undefined;
  }
}
