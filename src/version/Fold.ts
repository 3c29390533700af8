import type { Offset } from '../common/Types';
import { SCHEMA_NUMBER } from './configurationSchema';
import { applyChanges, folderDigest } from './folder';
import { decodeRecord } from './recordSchema';
import type { Checkpoint, Head, Merger, Publication, Refusal, Verdict } from './Types';

/** A publication that was read before the reader knew what it builds on. */
interface Deferred {
  readonly offset: Offset;
  readonly publication: Publication;
}

const MAX_DEFERRED = 10_000;
const IGNORED: Verdict = { kind: 'ignored' };

/**
 * Folds the configuration stream to its head. Readers that see the same records come to the same
 * verdicts, wherever they begin: a reader that begins after the first record defers its verdicts
 * until a checkpoint tells what the records before it folded to.
 */
export default class Fold {
  private head: Head | undefined;

  /** Offset from which this reader has seen every record. */
  private from: Offset;

  private next: Offset;

  private anchored: boolean;

  private deferred: Deferred[] = [];

  private unknown: number | undefined;

  /**
   * @param merge - Judges whether a folder is valid.
   * @param from - Offset of the first record that will be applied.
   */
  public constructor(
    private readonly merge: Merger,
    from: Offset,
  ) {
    this.from = from;
    this.next = from;
    this.anchored = from === 0;
  }

  /** The newest accepted configuration that this reader can vouch for. */
  public get current(): Head | undefined {
    return this.head;
  }

  /** Offset of the next record to apply. */
  public get nextOffset(): Offset {
    return this.next;
  }

  /** Whether every record before {@link Fold.nextOffset} is accounted for. */
  public get isAnchored(): boolean {
    return this.anchored;
  }

  /** Schema number of a record that this release can't read, while that blocks the fold. */
  public get unknownSchema(): number | undefined {
    return this.unknown;
  }

  /**
   * Applies the next record.
   *
   * @param offset - Its offset; not below {@link Fold.nextOffset}.
   * @param text - The record as the log holds it.
   * @returns The verdicts that it brought, in the order of the stream.
   */
  public apply(offset: Offset, text: string): readonly Verdict[] {
    if (offset < this.next) return [IGNORED];
    if (offset > this.next) this.restartAt(offset);
    this.next = (offset + 1) as Offset;
    const decoded = decodeRecord(text, SCHEMA_NUMBER);
    if (decoded.kind === 'malformed') return [IGNORED];
    if (decoded.kind === 'unknown schema') {
      this.restartAt(this.next);
      this.unknown = decoded.schema;
      return [IGNORED];
    }
    const { record } = decoded;
    return record.kind === 'checkpoint'
      ? this.anchor(record)
      : [this.judge({ offset, publication: record })];
  }

  /**
   * Takes what the records before `checkpoint.through` fold to from someone who read them.
   * Harmless when late or repeated.
   *
   * @param checkpoint - From the stream or from a peer.
   * @returns The verdicts on the publications that had to wait for it.
   */
  public anchor(checkpoint: Checkpoint): readonly Verdict[] {
    if (this.anchored || checkpoint.through < this.from) return [IGNORED];
    if (this.head && checkpoint.head.version < this.head.version) return [IGNORED];
    if (folderDigest(checkpoint.head.folder) !== checkpoint.head.digest) return [IGNORED];
    this.head = checkpoint.head;
    this.anchored = true;
    this.unknown = undefined;
    if (checkpoint.through > this.next) this.next = checkpoint.through;
    const waiting = this.deferred.filter(({ offset }) => offset >= checkpoint.through);
    this.deferred = [];
    return waiting.map((entry) => this.judge(entry));
  }

  /**
   * Goes on at a later offset because the records before it are gone or can't be read.
   *
   * @param offset - The next record that will be applied.
   */
  public restartAt(offset: Offset): void {
    this.from = offset;
    this.next = offset;
    this.anchored = false;
    this.deferred = [];
  }

  private judge(entry: Deferred): Verdict {
    const { publication, offset } = entry;
    if (!this.anchored) {
      if (this.deferred.length < MAX_DEFERRED) this.deferred.push(entry);
      else this.restartAt(this.next);
      return { kind: 'deferred', id: publication.id };
    }
    const refusal = this.refusal(publication);
    if (refusal) return { kind: 'refused', id: publication.id, refusal };
    this.head = {
      schema: publication.schema,
      version: offset as number as Head['version'],
      publicationId: publication.id,
      digest: publication.digest,
      folder: applyChanges(this.head?.folder ?? [], publication.changes),
    };
    return { kind: 'accepted', id: publication.id, head: this.head };
  }

  private refusal(publication: Publication): Refusal | undefined {
    const head = this.head?.version ?? null;
    if (publication.base !== head) return { kind: 'base', head };
    const folder = applyChanges(this.head?.folder ?? [], publication.changes);
    if (folderDigest(folder) !== publication.digest) return { kind: 'digest' };
    const merge = this.merge(folder);
    return merge.kind === 'invalid' ? { kind: 'invalid', faults: merge.faults } : undefined;
  }
}
