import type { Clock, DaemonId, Disposable, VersionNumber } from '../common/Types';
import GossipMeter from './GossipMeter';
import Outbox from './Outbox';
import type { Beat, HeadTracker, Membership, MemberRecord } from './Types';

/**
 * Least time between two announcements of versions, in milliseconds. A single change is announced
 * at once; in a storm of them only the last of each interval is, which spares its fetches too.
 */
const ANNOUNCE_GAP_MS = 400;

/**
 * Spreads member records over every open connection, whoever opened it, except to peers that know
 * them already.
 */
export default class Gossip implements Disposable {
  /** Counts what is exchanged. */
  public readonly meter = new GossipMeter();

  private readonly outboxes = new Set<Outbox>();

  private readonly subscriptions: readonly Disposable[];

  private announcedAt = -Infinity;

  private pending: NodeJS.Timeout | undefined;

  public constructor(
    private readonly members: Membership,
    private readonly heads: HeadTracker,
    private readonly clock: Clock,
  ) {
    this.subscriptions = [
      members.onChange((records) => this.spread(records)),
      heads.onAdvance(() => this.scheduleAnnouncement()),
    ];
  }

  /**
   * @param peer - Whom the connection leads to.
   * @returns The outbox of a new connection; dispose of it with {@link Gossip.close}.
   */
  public open(peer: DaemonId): Outbox {
    const outbox = new Outbox(peer, this.meter);
    this.outboxes.add(outbox);
    return outbox;
  }

  /** @param beat - What a peer has, over whichever connection it came. */
  public noteBeat(beat: Beat): void {
    for (const outbox of this.outboxes) {
      if (outbox.peer === beat.from) outbox.noteVersion(beat.version);
    }
  }

  /** @param outbox - Of a connection that ended. */
  public close(outbox: Outbox): void {
    this.outboxes.delete(outbox);
  }

  /**
   * Takes in what a peer knows. It isn't told the same in turn, also where it still waits to be.
   *
   * @param records - Member records.
   * @param source - The peer.
   */
  public receive(records: readonly MemberRecord[], source: DaemonId): void {
    const news = this.members.merge(records);
    this.meter.add('recordsReceived', records.length);
    this.meter.add('recordsNews', news.length);
    for (const outbox of this.outboxes) if (outbox.peer === source) outbox.discard(records);
  }

  /** @returns What this daemon knows, for a heartbeat. */
  public beat(): Beat {
    const { version, through, confirmedAt } = this.heads.knowledge;
    const { id, incarnation } = this.members.self;
    const ageMs = confirmedAt === undefined ? null : Math.round(this.clock.now() - confirmedAt);
    return { from: id, incarnation, version, through, ageMs, members: this.members.digest() };
  }

  public dispose(): void {
    clearTimeout(this.pending);
    for (const subscription of this.subscriptions) subscription.dispose();
    this.outboxes.clear();
  }

  private spread(records: readonly MemberRecord[]): void {
    for (const outbox of this.outboxes) outbox.put(records);
  }

  private scheduleAnnouncement(): void {
    const waitMs = this.announcedAt + ANNOUNCE_GAP_MS - this.clock.now();
    if (waitMs <= 0) this.announce(this.heads.knowledge.version);
    else {
      this.pending ??= setTimeout(() => this.announce(this.heads.knowledge.version), waitMs);
    }
  }

  /** Peers that told of a version themselves needn't be told of it. */
  private announce(version: VersionNumber | null): void {
    clearTimeout(this.pending);
    this.pending = undefined;
    this.announcedAt = this.clock.now();
    for (const outbox of this.outboxes) if (outbox.isNews(version)) outbox.wake();
  }
}
