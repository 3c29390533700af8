import type { Disposable } from '../common/Types';
import MemberRank from './MemberRank';
import type { Membership } from './Types';

/** Number of readers of a fleet with enough daemons, also if its daemons are all in one zone. */
const MIN_READERS = 3;
/** Number of daemons of each zone, next by rank, that look after a reader that lost the store. */
const STANDBYS_PER_ZONE = 2;
/** Longest time in ms between two reads of the store that end, of whichever readers. */
const CONFIRMATION_PERIOD_MS = 667;
/** Longest long poll; of the readers of a fleet, each ends one after the other in this time, in milliseconds. */
const MAX_POLL_WAIT_MS = CONFIRMATION_PERIOD_MS * MIN_READERS;

/** How many daemons watch the store. */
export interface ReaderCounts {
  /** Number of daemons in each zone that watch the store, if there are several zones. */
  readonly readersPerZone: number;
  /** Number of zones whose daemons watch the store; the others learn from their peers. */
  readonly readerZones: number;
}

/**
 * Decides which daemons watch the store, and for how long each of them waits for a newer version. The readers'
 * waits end in turn, so that a cut of all of them from the store shows after a fraction of a wait.
 */
export default class ReaderRole implements Disposable {
  private readonly rank: MemberRank;

  /**
   * @param members - Known members.
   * @param counts - How many daemons watch the store.
   */
  public constructor(
    members: Membership,
    private readonly counts: ReaderCounts,
  ) {
    this.rank = new MemberRank(members, 'log-reader');
  }

  /** Whether this daemon watches the store. */
  public get isReader(): boolean {
    return this.rank.value < this.perZone && this.rank.ofZone < this.counts.readerZones;
  }

  /** Whether this daemon reads the store once when a reader loses it. */
  public get isStandby(): boolean {
    return this.rank.value < this.perZone + STANDBYS_PER_ZONE;
  }

  /**
   * @param isFirst - Whether it is the first wait since all readers began one at the same time, as after a
   * new version.
   * @returns Longest wait of the next read for a newer version, in milliseconds.
   */
  public waitMs(isFirst: boolean): number {
    const count = Math.min(this.perZone * this.zones, this.rank.members);
    const turnMs = Math.min(CONFIRMATION_PERIOD_MS, MAX_POLL_WAIT_MS / count);
    const position = this.rank.ofZone * this.perZone + this.rank.value;
    const turns = isFirst ? Math.min(position + 1, count) : count;
    return Math.round(turns * turnMs);
  }

  /**
   * @param periodMs - Interval between two reads of each reader that don't wait, in milliseconds.
   * @param timeOfDayMs - Time of day, by which the readers take turns, in milliseconds since the epoch.
   * @returns Time until the next turn of this daemon, in milliseconds.
   */
  public untilTurnMs(periodMs: number, timeOfDayMs: number): number {
    const count = Math.max(1, Math.min(this.perZone * this.zones, this.rank.members));
    const position = this.rank.ofZone * this.perZone + this.rank.value;
    const elapsedMs = (timeOfDayMs - (position * periodMs) / count) % periodMs;
    const leftMs = periodMs - elapsedMs;
    // A timer that fires a little early, or a read that took long, must not double the reads.
    return leftMs < periodMs / 4 ? leftMs + periodMs : leftMs;
  }

  public dispose(): void {
    this.rank.dispose();
  }

  private get zones(): number {
    return Math.min(this.rank.zones, this.counts.readerZones);
  }

  private get perZone(): number {
    return Math.max(this.counts.readersPerZone, Math.ceil(MIN_READERS / this.zones));
  }
}
