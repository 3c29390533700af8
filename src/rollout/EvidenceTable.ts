import type { Clock, DaemonId } from '../common/Types';
import { addCounts, COUNTS_LENGTH, emptyCounts, FIRST_BUCKET } from './counts';
import type { Counts, EvidenceEntry, EvidenceWindow, Side } from './Types';

/** Maximum number of routes that are told apart. */
const MAX_ROUTES = 16;
/** Maximum number of runs of daemons whose counts are kept. */
const MAX_ENTRIES = 4_000;
/** Route under which the calls of further routes are counted. */
const OTHER_ROUTES = 'other';
/** Interval of the snapshots from which the counts of a window are computed, in milliseconds. */
const SNAPSHOT_INTERVAL_MS = 1_000;
/** Lengths of the windows in snapshot intervals; a window of everything follows. */
const WINDOW_LENGTHS = [1, 2, 4, 8, 16];
const MAX_SNAPSHOTS = 17;
const SIDES: readonly Side[] = ['old', 'target'];
const CELL_HEADER_LENGTH = 5;

type Cells = ReadonlyMap<string, { readonly old: Counts; readonly target: Counts }>;

interface KnownEntry {
  readonly entry: EvidenceEntry;
  readonly routes: readonly string[];
  readonly cells: Cells;
}

/** Last report of a daemon. */
export interface DaemonReport {
  readonly step: number;
  readonly receivedAt: number;
}

function entryKey({ daemon, run }: Pick<EvidenceEntry, 'daemon' | 'run'>): string {
  return `${daemon} ${run}`;
}

function cellOf(cells: Map<string, { old: number[]; target: number[] }>, route: string) {
  let cell = cells.get(route);
  if (!cell) {
    cell = { old: emptyCounts(), target: emptyCounts() };
    cells.set(route, cell);
  }
  return cell;
}

/** Decodes the cells of an entry; one that is out of range ends them. */
function decodeCells(routes: readonly string[], numbers: readonly number[]): Cells {
  const cells = new Map<string, { old: number[]; target: number[] }>();
  let at = 0;
  while (at + CELL_HEADER_LENGTH <= numbers.length) {
    const [index, failed, broken, first, length] = numbers.slice(at, at + CELL_HEADER_LENGTH);
    const route = routes[Math.floor(index! / 2)];
    const end = at + CELL_HEADER_LENGTH + length!;
    const isInRange =
      first! >= FIRST_BUCKET && first! + length! <= COUNTS_LENGTH && end <= numbers.length;
    if (route === undefined || !isInRange) return cells;
    const counts = cellOf(cells, route)[SIDES[index! % 2]!];
    counts[0] = failed!;
    counts[1] = broken!;
    for (let bucket = 0; bucket < length!; bucket += 1) {
      counts[first! + bucket] = numbers[at + CELL_HEADER_LENGTH + bucket]!;
    }
    at = end;
  }
  return cells;
}

function encodeCell(index: number, counts: Counts): number[] {
  let first = FIRST_BUCKET;
  while (first < COUNTS_LENGTH && counts[first] === 0) first += 1;
  let end = COUNTS_LENGTH;
  while (end > first && counts[end - 1] === 0) end -= 1;
  if (first === COUNTS_LENGTH && counts[0] === 0 && counts[1] === 0) return [];
  if (first === end) return [index, counts[0]!, counts[1]!, FIRST_BUCKET, 0];
  return [index, counts[0]!, counts[1]!, first, end - first, ...counts.slice(first, end)];
}

/**
 * Counts of responses of all daemons, by version and route. A daemon's own counts only grow, and each change
 * raises the sequence number of its entry; merging keeps the newest entry of each daemon and run, so it is
 * commutative and idempotent.
 *
 * Designed for 62 daemons that report each second or two: an entry takes about 100 bytes on the wire.
 */
export default class EvidenceTable {
  private readonly entries = new Map<string, KnownEntry>();

  private readonly reports = new Map<DaemonId, DaemonReport>();

  private readonly ownCells = new Map<string, { old: number[]; target: number[] }>();

  private readonly totals = new Map<string, { old: number[]; target: number[] }>();

  private readonly snapshots: { at: number; totals: Cells }[] = [];

  private sequence = 0;

  private isChanged = false;

  /** @param clock - Monotonic clock. */
  public constructor(private readonly clock: Clock) {}

  /**
   * Counts one response to a call of this daemon.
   *
   * @param route - Route of the call.
   * @param side - Version of the upstream.
   * @param index - Which count of {@link Counts} grows.
   */
  public record(route: string, side: Side, index: number): void {
    const isKnown = this.ownCells.has(route) || this.ownCells.size < MAX_ROUTES;
    const key = isKnown ? route : OTHER_ROUTES;
    cellOf(this.ownCells, key)[side][index]! += 1;
    cellOf(this.totals, key)[side][index]! += 1;
    this.isChanged = true;
  }

  /** Whether responses were counted since the last own report. */
  public get hasUnreported(): boolean {
    return this.isChanged;
  }

  /**
   * Puts this daemon's counts into its entry.
   *
   * @param daemon - Id of this daemon.
   * @param run - Number of its current run.
   * @param step - Step that it carries out.
   */
  public report(daemon: DaemonId, run: number, step: number): void {
    this.isChanged = false;
    this.sequence += 1;
    const routes = [...this.ownCells.keys()];
    const cells = routes.flatMap((route, index) =>
      SIDES.flatMap((side, offset) =>
        encodeCell(index * 2 + offset, this.ownCells.get(route)![side]),
      ),
    );
    const entry = { daemon, run, sequence: this.sequence, step, cells };
    this.entries.set(entryKey(entry), { entry, routes, cells: new Map() });
    this.reports.set(daemon, { step, receivedAt: this.clock.now() });
  }

  /**
   * @param routes - Names of the routes to which the entry refers.
   * @param entry - Entry of another daemon.
   * @returns Whether it was news.
   */
  public merge(routes: readonly string[], entry: EvidenceEntry): boolean {
    const key = entryKey(entry);
    const known = this.entries.get(key);
    if (known && known.entry.sequence >= entry.sequence) return false;
    if (!known && this.entries.size >= MAX_ENTRIES) return false;
    const cells = decodeCells(routes, entry.cells);
    for (const [route, { old, target }] of known?.cells ?? []) {
      const total = cellOf(this.totals, route);
      total.old = addCounts(total.old, old, -1);
      total.target = addCounts(total.target, target, -1);
    }
    for (const [route, { old, target }] of cells) {
      const isKnown = this.totals.has(route) || this.totals.size < MAX_ROUTES * 2;
      if (!isKnown) continue;
      const total = cellOf(this.totals, route);
      total.old = addCounts(total.old, old);
      total.target = addCounts(total.target, target);
    }
    const { daemon, step } = entry;
    this.entries.set(key, { entry, routes, cells });
    this.reports.set(daemon, { step, receivedAt: this.clock.now() });
    return true;
  }

  /** Takes a snapshot of the counts when one is due; to be called several times a second. */
  public advance(): void {
    const now = this.clock.now();
    const latest = this.snapshots.at(-1);
    if (latest && now - latest.at < SNAPSHOT_INTERVAL_MS) return;
    const totals = new Map(
      [...this.totals].map(([route, { old, target }]) => [
        route,
        { old: [...old], target: [...target] },
      ]),
    );
    this.snapshots.push({ at: now, totals });
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
  }

  /** Counts of several spans of time that end now; the last one is everything since the order. */
  public get windows(): readonly EvidenceWindow[] {
    const recent = WINDOW_LENGTHS.filter((length) => length < this.snapshots.length).map((length) =>
      this.since(this.snapshots.at(-1 - length)!.totals),
    );
    return [...recent, this.totals];
  }

  /** Counts of everything since the order, by route. */
  public get all(): EvidenceWindow {
    return this.totals;
  }

  /**
   * @param daemon - Id of a daemon.
   * @returns Its last report, if any.
   */
  public reportOf(daemon: DaemonId): DaemonReport | undefined {
    return this.reports.get(daemon);
  }

  /** Frees the memory of all but the counts since the order. */
  public close(): void {
    this.entries.clear();
    this.reports.clear();
    this.ownCells.clear();
    this.snapshots.length = 0;
  }

  /** All entries by key, with the routes to which they refer. */
  public get list(): ReadonlyMap<string, Pick<KnownEntry, 'entry' | 'routes'>> {
    return this.entries;
  }

  private since(before: Cells): EvidenceWindow {
    const window = new Map<string, { old: number[]; target: number[] }>();
    for (const [route, { old, target }] of this.totals) {
      const earlier = before.get(route) ?? { old: emptyCounts(), target: emptyCounts() };
      window.set(route, {
        old: addCounts(old, earlier.old, -1),
        target: addCounts(target, earlier.target, -1),
      });
    }
    return window;
  }
}
