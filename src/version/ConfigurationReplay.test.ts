import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FileName, Offset, PublicationId, VersionNumber } from '../common/Types';
import { applyChanges, folderChanges, folderDigest } from './folder';
import ConfigurationReplay from './ConfigurationReplay';
import { encodeRecord } from './recordSchema';
import type { Checkpoint, Folder, Head, MergeResult, Publication, RecordOutcome } from './Types';

const HISTORY_COUNT = 12_000;
const SEED = 20_261_204;

/** A cheap stand-in for `mergeFolder`: a folder is invalid only if a file's content is `bad`. */
function merge(folder: Folder): MergeResult {
  const isInvalid = folder.some(({ content }) => content === 'bad');
  return isInvalid ? { kind: 'invalid', issues: [] } : ({ kind: 'valid' } as MergeResult);
}

/** Reference model: keeps all records of the stream, and the newest accepted version after each. */
class ReferenceHistory {
  public readonly records: string[] = [];

  public readonly heads: (Head | undefined)[] = [undefined];

  public readonly outcomes = new Map<number, RecordOutcome['kind']>();

  public earliest = 0;

  public get head(): Head | undefined {
    return this.heads.at(-1);
  }

  public append(record: Publication | Checkpoint | string): void {
    const offset = this.records.length;
    this.records.push(typeof record === 'string' ? record : encodeRecord(record));
    this.heads.push(this.headAfter(offset, record));
  }

  private headAfter(offset: number, record: Publication | Checkpoint | string): Head | undefined {
    const { head } = this;
    if (typeof record === 'string' || record.kind !== 'publication') return head;
    const folder = applyChanges(head?.folder ?? [], record.changes);
    const accepted =
      record.base === (head?.version ?? null) &&
      merge(folder).kind === 'valid' &&
      folderDigest(folder) === record.digest;
    this.outcomes.set(offset, accepted ? 'accepted' : 'refused');
    if (!accepted) return head;
    const version = offset as VersionNumber;
    return { schema: 1, version, publicationId: record.id, digest: record.digest, folder };
  }
}

/** A reader of the configuration stream under test, with the highest version that it reported. */
class Reader {
  private highestVersion = -1;

  public constructor(public readonly replay: ConfigurationReplay) {}

  /** Records the reader's version and returns whether it is older than one recorded before. */
  public recordRegression(): boolean {
    const version = this.replay.head?.version ?? -1;
    const isRegression = version < this.highestVersion;
    this.highestVersion = Math.max(this.highestVersion, version);
    return isRegression;
  }
}

/** A step of a random history: an operation on the log or on one of its readers. */
type Step =
  | { kind: 'publish'; base: 'head' | 'stale' | 'none'; content: string }
  | { kind: 'repeat'; index: number }
  | { kind: 'garbage' }
  | { kind: 'take checkpoint'; reader: number }
  | { kind: 'append checkpoint' }
  | { kind: 'expire'; keep: number }
  | { kind: 'join' }
  | { kind: 'read'; reader: number; count: number }
  | { kind: 'ask peer'; reader: number; peer: number };

const index = fc.nat(7);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('publish' as const),
      base: fc.constantFrom('head' as const, 'head' as const, 'stale' as const, 'none' as const),
      content: fc.constantFrom('a', 'b', 'c', 'bad'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('repeat' as const), index: fc.nat(20) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'garbage' as const }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('take checkpoint' as const), reader: index }),
  },
  { weight: 3, arbitrary: fc.constant({ kind: 'append checkpoint' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('expire' as const), keep: fc.nat(6) }) },
  { weight: 3, arbitrary: fc.constant({ kind: 'join' as const }) },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('read' as const),
      reader: index,
      count: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('ask peer' as const), reader: index, peer: index }),
  },
);

/** Creates the next publication. It changes one of three files, so that folders grow and shrink. */
function publication(
  history: ReferenceHistory,
  { base, content }: Extract<Step, { kind: 'publish' }>,
): Publication {
  const number = history.records.length;
  const baseHead =
    base === 'head' ? history.head : history.heads[Math.floor(history.heads.length / 2)];
  const start = base === 'none' ? undefined : baseHead;
  const name = `${number % 3}.toml` as FileName;
  const folder = applyChanges(start?.folder ?? [], [{ name, content }]);
  return {
    kind: 'publication',
    schema: 1,
    id: `p${number}` as PublicationId,
    base: start?.version ?? null,
    changes: folderChanges(start?.folder ?? [], folder),
    digest: folderDigest(folder),
  };
}

function checkpointOf(reader: Reader): Checkpoint | undefined {
  const { replay } = reader;
  if (!replay.isComplete || !replay.head) return undefined;
  return { kind: 'checkpoint', schema: 1, through: replay.nextOffset, head: replay.head };
}

/** Runs one random history and lists where the readers differ from the reference model. */
function differences(
  steps: readonly Step[],
  createReplay: (from: Offset) => ConfigurationReplay,
): string[] {
  const history = new ReferenceHistory();
  const readers: Reader[] = [new Reader(createReplay(0 as Offset))];
  const unappendedCheckpoints: Checkpoint[] = [];
  const errors: string[] = [];

  function compare(reader: Reader, outcomes: readonly RecordOutcome[]): void {
    for (const outcome of outcomes) {
      if (outcome.kind !== 'accepted') continue;
      if (history.outcomes.get(outcome.head.version) !== 'accepted') {
        errors.push(`accepted ${outcome.id}`);
      }
    }
    const { head, isComplete, nextOffset } = reader.replay;
    const version = head?.version ?? -1;
    if (reader.recordRegression()) errors.push(`went back to ${version}`);
    const model = history.heads[nextOffset];
    if (isComplete && model?.version !== head?.version) {
      errors.push(`head ${version} at ${nextOffset}`);
    }
    if (isComplete && model?.digest !== head?.digest) errors.push(`digest at ${nextOffset}`);
  }

  function read(reader: Reader, count: number): void {
    const { replay } = reader;
    if (replay.nextOffset < history.earliest) replay.restartAt(history.earliest as Offset);
    const end = Math.min(history.records.length, replay.nextOffset + count);
    for (let offset = replay.nextOffset; offset < end; offset = replay.nextOffset) {
      compare(reader, replay.apply(offset, history.records[offset]!));
    }
  }

  for (const operation of steps) {
    const reader = readers['reader' in operation ? operation.reader % readers.length : 0]!;
    switch (operation.kind) {
      case 'publish':
        history.append(publication(history, operation));
        break;
      case 'repeat':
        if (history.records.length > 0) {
          const record = history.records[operation.index % history.records.length]!;
          history.append(record.startsWith('{') ? (JSON.parse(record) as Publication) : record);
        }
        break;
      case 'garbage':
        history.append('no record');
        break;
      case 'take checkpoint': {
        const checkpoint = checkpointOf(reader);
        if (checkpoint) unappendedCheckpoints.push(checkpoint);
        break;
      }
      case 'append checkpoint': {
        const late = unappendedCheckpoints.shift();
        if (late) history.append(late);
        break;
      }
      case 'expire':
        history.earliest = Math.max(history.earliest, history.records.length - operation.keep);
        break;
      case 'join':
        readers.push(new Reader(createReplay(history.earliest as Offset)));
        break;
      case 'read':
        read(reader, operation.count);
        break;
      case 'ask peer': {
        const known = checkpointOf(readers[operation.peer % readers.length]!);
        if (known && !reader.replay.isComplete) compare(reader, reader.replay.restore(known));
        break;
      }
      default:
    }
  }
  for (const reader of readers) read(reader, Infinity);
  return errors;
}

/** Runs random histories and returns how many of them have a mismatch. */
function failingHistories(createReplay: (from: Offset) => ConfigurationReplay): number {
  let failing = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
      if (differences(steps, createReplay).length > 0) failing += 1;
    }),
    { seed: SEED, numRuns: HISTORY_COUNT },
  );
  return failing;
}

/**
 * A faulty variant of the code under test: takes a checkpoint as the state at the offset where the
 * checkpoint was appended, although it covers only the records before its own `through`.
 */
class UncheckedReplay extends ConfigurationReplay {
  public override restore(checkpoint: Checkpoint): readonly RecordOutcome[] {
    return super.restore({
      ...checkpoint,
      through: Math.max(checkpoint.through, this.nextOffset) as Offset,
    });
  }
}

test('every reader computes the same head as a reader of the whole history', () => {
  assert.is(
    failingHistories((from) => new ConfigurationReplay(merge, from)),
    0,
  );
});

test('the comparison detects a reader that misplaces checkpoints that were appended late', () => {
  assert.ok(failingHistories((from) => new UncheckedReplay(merge, from)) > 0);
});

test('a record of an unknown schema blocks a reader until a checkpoint covers it', () => {
  const replay = new ConfigurationReplay(merge, 0 as Offset);
  const history = new ReferenceHistory();
  const lines: string[] = [];
  const apply = (text: string) => {
    const outcomes = replay.apply(replay.nextOffset, text).map(({ kind }) => kind);
    lines.push(
      `${outcomes.join(',')} head=${replay.head?.version ?? 'none'} anchored=${replay.isComplete} unknown=${replay.unknownSchema ?? 'none'}`,
    );
  };
  const first = publication(history, { kind: 'publish', base: 'head', content: 'a' });
  apply(encodeRecord(first));
  apply(JSON.stringify({ ...first, schema: 9 }));
  const second = { ...first, id: 'later' as PublicationId, base: 7 as VersionNumber };
  apply(encodeRecord(second));
  const head: Head = {
    schema: 1,
    version: 1 as VersionNumber,
    publicationId: first.id,
    digest: first.digest,
    folder: applyChanges([], first.changes),
  };
  apply(encodeRecord({ kind: 'checkpoint', schema: 1, through: 3 as Offset, head }));
  assert.snapshot(
    lines.join('\n'),
    `accepted head=0 anchored=true unknown=none
ignored head=0 anchored=false unknown=9
deferred head=0 anchored=false unknown=9
 head=1 anchored=true unknown=none`,
  );
});

test.run();
