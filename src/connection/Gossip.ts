import type { Clock, DaemonId, Disposable, Logger, VersionNumber } from '../common/Types';
import GossipMeter from './GossipMeter';
import { memberSchema } from './messageSchema';
import Outbox from './Outbox';
import type Rollouts from '../rollout/Rollouts';
import type { Heartbeat, HeadTracker, Membership, MemberRecord } from './Types';

/**
 * Minimum time between announcements of configuration versions to peers, in ms. A single change is
 * announced at once; of many changes only the last in each interval is announced, which also saves
 * the fetches of the versions between.
 */
const MIN_ANNOUNCEMENT_INTERVAL_MS = 400;

/**
 * Distributes member records and version announcements over all open connections, incoming and
 * outgoing, except to peers that already have them.
 */
export default class Gossip implements Disposable {
  /** Counts the links, messages and records of the gossip with all peers. */
  public readonly meter = new GossipMeter();

  private readonly outboxes = new Set<Outbox>();

  private readonly subscriptions: readonly Disposable[];

  private announcedAt = -Infinity;

  private announcementTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly members: Membership,
    private readonly heads: HeadTracker,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly rollouts?: Rollouts,
  ) {
    this.subscriptions = [
      ...(rollouts ? [rollouts.onNews(() => this.wakeForRollouts())] : []),
      members.onChange((records) => this.enqueueRecords(records)),
      heads.onAdvance(() => this.scheduleAnnouncement()),
    ];
  }

  /**
   * @param peer - Peer at the other end of the new connection.
   * @returns Outbox of the connection; must be released with {@link Gossip.closeOutbox}.
   */
  public openOutbox(peer: DaemonId): Outbox {
    this.rollouts?.forget(peer);
    const outbox = new Outbox(peer, this.meter);
    this.outboxes.add(outbox);
    return outbox;
  }

  /** @param heartbeat - Heartbeat of a peer; its version applies to all connections to that peer. */
  public recordPeerVersion(heartbeat: Heartbeat): void {
    for (const outbox of this.outboxes) {
      if (outbox.peer === heartbeat.from) outbox.recordPeerVersion(heartbeat.version);
    }
  }

  /** @param outbox - Outbox of a connection that ended. */
  public closeOutbox(outbox: Outbox): void {
    this.outboxes.delete(outbox);
    // What was sent last may be lost with the connection.
    this.rollouts?.forget(outbox.peer);
  }

  /**
   * @param peer - Receiver of the next message.
   * @returns News of rollouts that it lacks; `undefined` if there are none.
   */
  public rolloutNews(peer: DaemonId): readonly unknown[] | undefined {
    return this.rollouts?.collect(peer);
  }

  /**
   * @param peer - A peer.
   * @returns Whether there is news of rollouts for it.
   */
  public hasRolloutNews(peer: DaemonId): boolean {
    return this.rollouts?.hasNewsFor(peer) ?? false;
  }

  /** What is decided about all rollouts; `undefined` if there are none. */
  public get rolloutHeads(): readonly unknown[] | undefined {
    return this.rollouts?.heads;
  }

  /**
   * @param news - News of rollouts in a message, if any; not validated yet.
   * @param source - Id of the sender.
   */
  public receiveRollouts(news: readonly unknown[] | undefined, source: DaemonId): void {
    if (news) this.rollouts?.receive(news, source);
  }

  /**
   * Merges member records from a peer, and removes the same records from the outboxes to that peer.
   * Each record is validated by itself, so that an odd one doesn't hide the others.
   *
   * @param received - Member records, not validated yet.
   * @param source - Id of the sender.
   */
  public receive(received: readonly unknown[], source: DaemonId): void {
    const records = received.flatMap((record) => this.validate(record, source));
    const changed = this.members.merge(records);
    this.meter.add('recordsReceived', records.length);
    this.meter.add('recordsNews', changed.length);
    for (const outbox of this.outboxes) if (outbox.peer === source) outbox.discard(records);
  }

  /** @returns Heartbeat with the current state of this daemon. */
  public createHeartbeat(): Heartbeat {
    const { version, through } = this.heads.offer;
    const { confirmedAt } = this.heads.knowledge;
    const { id, incarnation } = this.members.self;
    const ageMs = confirmedAt === undefined ? null : Math.round(this.clock.now() - confirmedAt);
    return { from: id, incarnation, version, through, ageMs, members: this.members.digest() };
  }

  /** @returns Heartbeat that announces no version, for senders that won't deliver its changes. */
  public createMemberHeartbeat(): Heartbeat {
    return { ...this.createHeartbeat(), version: null };
  }

  public dispose(): void {
    clearTimeout(this.announcementTimer);
    for (const subscription of this.subscriptions) subscription.dispose();
    this.outboxes.clear();
  }

  private validate(record: unknown, source: DaemonId): MemberRecord[] {
    const result = memberSchema.safeParse(record);
    if (result.success) return [result.data];
    const { path, message: reason } = result.error.issues[0]!;
    this.logger.log('Ignored a member record that failed validation.', {
      peer: source,
      key: path.join('.'),
      reason,
    });
    return [];
  }

  private wakeForRollouts(): void {
    for (const outbox of this.outboxes) if (this.hasRolloutNews(outbox.peer)) outbox.wake();
  }

  private enqueueRecords(records: readonly MemberRecord[]): void {
    for (const outbox of this.outboxes) outbox.enqueue(records);
  }

  private scheduleAnnouncement(): void {
    const waitMs = this.announcedAt + MIN_ANNOUNCEMENT_INTERVAL_MS - this.clock.now();
    if (waitMs <= 0) this.announceVersion(this.heads.offer.version);
    else {
      this.announcementTimer ??= setTimeout(
        () => this.announceVersion(this.heads.offer.version),
        waitMs,
      );
    }
  }

  /** Wakes the outboxes to peers that aren't known to have this configuration version. */
  private announceVersion(version: VersionNumber | null): void {
    clearTimeout(this.announcementTimer);
    this.announcementTimer = undefined;
    this.announcedAt = this.clock.now();
    for (const outbox of this.outboxes) if (outbox.isNewerThanPeer(version)) outbox.wake();
  }
}
