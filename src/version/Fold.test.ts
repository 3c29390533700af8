import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FileName, Offset, PublicationId, VersionNumber } from '../common/Types';
import { applyChanges, folderChanges, folderDigest } from './folder';
import Fold from './Fold';
import { encodeRecord } from './recordSchema';
import type { Checkpoint, Folder, Head, Merge, Publication, Verdict } from './Types';

const HISTORIES = 12_000;
const SEED = 20_261_204;

/** A merger that only knows one mistake, so that histories are cheap to judge. */
function merge(folder: Folder): Merge {
  const bad = folder.some(({ content }) => content === 'bad');
  return bad ? { kind: 'invalid', faults: [] } : ({ kind: 'valid' } as Merge);
}

/** Reads every record from the first one on and never forgets: the naive version. */
class WholeHistory {
  public readonly records: string[] = [];

  public readonly heads: (Head | undefined)[] = [undefined];

  public readonly verdicts = new Map<number, Verdict['kind']>();

  public earliest = 0;

  public get head(): Head | undefined {
    return this.heads.at(-1);
  }

  public append(record: Publication | Checkpoint | string): void {
    const offset = this.records.length;
    this.records.push(typeof record === 'string' ? record : encodeRecord(record));
    this.heads.push(this.judge(offset, record));
  }

  private judge(offset: number, record: Publication | Checkpoint | string): Head | undefined {
    const { head } = this;
    if (typeof record === 'string' || record.kind !== 'publication') return head;
    const folder = applyChanges(head?.folder ?? [], record.changes);
    const accepted =
      record.base === (head?.version ?? null) &&
      merge(folder).kind === 'valid' &&
      folderDigest(folder) === record.digest;
    this.verdicts.set(offset, accepted ? 'accepted' : 'refused');
    if (!accepted) return head;
    const version = offset as VersionNumber;
    return { schema: 1, version, publicationId: record.id, digest: record.digest, folder };
  }
}

class Reader {
  private highest = -1;

  public constructor(public readonly fold: Fold) {}

  /** Notes the version and tells whether it went back. */
  public steppedBack(): boolean {
    const version = this.fold.current?.version ?? -1;
    const back = version < this.highest;
    this.highest = Math.max(this.highest, version);
    return back;
  }
}

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

/** Makes the next publication; file names take turns so that folders grow and shrink. */
function publication(
  history: WholeHistory,
  { base, content }: Extract<Step, { kind: 'publish' }>,
): Publication {
  const number = history.records.length;
  const from = base === 'head' ? history.head : history.heads[Math.floor(history.heads.length / 2)];
  const start = base === 'none' ? undefined : from;
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
  const { fold } = reader;
  if (!fold.isAnchored || !fold.current) return undefined;
  return { kind: 'checkpoint', schema: 1, through: fold.nextOffset, head: fold.current };
}

/** Runs one history against both versions and lists where they differ. */
function differences(steps: readonly Step[], createFold: (from: Offset) => Fold): string[] {
  const history = new WholeHistory();
  const readers: Reader[] = [new Reader(createFold(0 as Offset))];
  const taken: Checkpoint[] = [];
  const found: string[] = [];

  function compare(reader: Reader, verdicts: readonly Verdict[]): void {
    for (const verdict of verdicts) {
      if (verdict.kind !== 'accepted') continue;
      if (history.verdicts.get(verdict.head.version) !== 'accepted') {
        found.push(`accepted ${verdict.id}`);
      }
    }
    const { current, isAnchored, nextOffset } = reader.fold;
    const version = current?.version ?? -1;
    if (reader.steppedBack()) found.push(`went back to ${version}`);
    const naive = history.heads[nextOffset];
    if (isAnchored && naive?.version !== current?.version) {
      found.push(`head ${version} at ${nextOffset}`);
    }
    if (isAnchored && naive?.digest !== current?.digest) found.push(`digest at ${nextOffset}`);
  }

  function read(reader: Reader, count: number): void {
    const { fold } = reader;
    if (fold.nextOffset < history.earliest) fold.restartAt(history.earliest as Offset);
    const end = Math.min(history.records.length, fold.nextOffset + count);
    for (let offset = fold.nextOffset; offset < end; offset = fold.nextOffset) {
      compare(reader, fold.apply(offset, history.records[offset]!));
    }
  }

  for (const current of steps) {
    const reader = readers['reader' in current ? current.reader % readers.length : 0]!;
    switch (current.kind) {
      case 'publish':
        history.append(publication(history, current));
        break;
      case 'repeat':
        if (history.records.length > 0) {
          const record = history.records[current.index % history.records.length]!;
          history.append(record.startsWith('{') ? (JSON.parse(record) as Publication) : record);
        }
        break;
      case 'garbage':
        history.append('no record');
        break;
      case 'take checkpoint': {
        const checkpoint = checkpointOf(reader);
        if (checkpoint) taken.push(checkpoint);
        break;
      }
      case 'append checkpoint': {
        const late = taken.shift();
        if (late) history.append(late);
        break;
      }
      case 'expire':
        history.earliest = Math.max(history.earliest, history.records.length - current.keep);
        break;
      case 'join':
        readers.push(new Reader(createFold(history.earliest as Offset)));
        break;
      case 'read':
        read(reader, current.count);
        break;
      case 'ask peer': {
        const known = checkpointOf(readers[current.peer % readers.length]!);
        if (known && !reader.fold.isAnchored) compare(reader, reader.fold.anchor(known));
        break;
      }
      default:
    }
  }
  for (const reader of readers) read(reader, Infinity);
  return found;
}

function failingHistories(createFold: (from: Offset) => Fold): number {
  let failing = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
      if (differences(steps, createFold).length > 0) failing += 1;
    }),
    { seed: SEED, numRuns: HISTORIES },
  );
  return failing;
}

/** Believes every checkpoint, however late it was appended. */
class CredulousFold extends Fold {
  public override anchor(checkpoint: Checkpoint): readonly Verdict[] {
    return super.anchor({
      ...checkpoint,
      through: Math.max(checkpoint.through, this.nextOffset) as Offset,
    });
  }
}

test('every reader folds to what the whole history gives', () => {
  assert.is(
    failingHistories((from) => new Fold(merge, from)),
    0,
  );
});

test('a fold that believes late checkpoints is found out', () => {
  assert.ok(failingHistories((from) => new CredulousFold(merge, from)) > 0);
});

test('a record of an unknown schema holds the fold back until a checkpoint covers it', () => {
  const fold = new Fold(merge, 0 as Offset);
  const history = new WholeHistory();
  const lines: string[] = [];
  const apply = (text: string) => {
    const verdicts = fold.apply(fold.nextOffset, text).map(({ kind }) => kind);
    lines.push(
      `${verdicts.join(',')} head=${fold.current?.version ?? 'none'} anchored=${fold.isAnchored} unknown=${fold.unknownSchema ?? 'none'}`,
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
