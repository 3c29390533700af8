import type { Disposable, Logger } from '../common/Types';
import answeredInTime from './answeredInTime';
import type FetchSlot from './FetchSlot';
import type Gossip from './Gossip';
import isSameRecord from './isSameRecord';
import type Outbox from './Outbox';
import PeerConnection from './PeerConnection';
import PeerError from './PeerError';
import type SocketMeter from './SocketMeter';
import type { Beat, BeatRequest, HeadTracker, MemberRecord, Membership, Update } from './Types';

const ANSWER_TIMEOUT_MS = 2_000;
const BEATS_BEFORE_SYNC = 2;

/** What a link last began to do, for the log of its end. */
export type LinkStage = 'connect' | 'sync' | 'wait' | 'beat';

/** What a link uses of its daemon. */
export interface LinkServices {
  readonly members: Membership;
  readonly heads: HeadTracker;
  readonly gossip: Gossip;
  readonly fetchSlot: FetchSlot;
  readonly meter: SocketMeter;
  readonly logger: Logger;
  /** Longest time between two heartbeats, in milliseconds. */
  readonly beatMs: number;
}

/** Waits for an answer no longer than a live peer needs, or until the connection has ended. */
function answered<Answer>(
  ended: AbortSignal,
  ask: (signal: AbortSignal) => Promise<Answer>,
): Promise<Answer> {
  return answeredInTime([ended], ANSWER_TIMEOUT_MS, ask);
}

/** The connection that this daemon opened to one peer, and the task that keeps it in use. */
export default class PeerLink {
  private up = false;

  private doing: LinkStage = 'connect';

  private mismatches = 0;

  private forced = false;

  private readonly outbox: Outbox;

  /**
   * @param peer - Whom to reach.
   * @param services - What the link uses.
   */
  public constructor(
    public readonly peer: MemberRecord,
    private readonly services: LinkServices,
  ) {
    this.outbox = services.gossip.open(peer.id);
  }

  /** Whether the peer answered on this connection. */
  public get isUp(): boolean {
    return this.up;
  }

  /** What it last began to do. */
  public get stage(): LinkStage {
    return this.doing;
  }

  /** Sends a heartbeat at once. */
  public wake(): void {
    this.forced = true;
    this.outbox.wake();
  }

  /**
   * Connects and exchanges heartbeats until the connection fails or the signal ends it.
   *
   * @param signal - Ends the task.
   * @throws PeerError - The peer stopped answering, or never did.
   */
  public async run(signal: AbortSignal): Promise<void> {
    const connection = new PeerConnection(this.peer.address, this.services.meter);
    const end = () => connection.dispose();
    signal.addEventListener('abort', end, { once: true });
    if (signal.aborted) end();
    let subscription: Disposable | undefined;
    try {
      await this.verify(connection);
      this.up = true;
      await this.sync(connection);
      subscription = this.subscribe(connection);
      this.outbox.put([this.services.members.self]);
      const { ended } = connection;
      while (!ended.aborted) {
        this.doing = 'wait';
        const woken = await this.outbox.wait(this.services.beatMs, ended);
        const due =
          !woken || this.forced || this.outbox.hasNews(this.services.heads.knowledge.version);
        if (!ended.aborted && due) await this.beat(connection);
      }
      if (!signal.aborted) throw new PeerError(this.peer.id, 'the connection was closed');
    } catch (error) {
      if (error instanceof PeerError) throw error;
      throw new PeerError(this.peer.id, (error as Error).message);
    } finally {
      this.up = false;
      signal.removeEventListener('abort', end);
      subscription?.dispose();
      connection.dispose();
      this.services.gossip.close(this.outbox);
    }
  }

  private async verify({ client, ended }: PeerConnection): Promise<void> {
    const id = await answered(ended, (signal) => client.identity.query(undefined, { signal }));
    if (id !== this.peer.id) throw new PeerError(this.peer.id, `${id} answers at its address`);
  }

  private async beat(connection: PeerConnection): Promise<void> {
    const { gossip, members } = this.services;
    this.doing = 'beat';
    this.forced = false;
    const update: BeatRequest = { records: this.outbox.drain(), beat: gossip.beat() };
    const reply = await answered(connection.ended, (signal) =>
      connection.client.beat.mutate(update, { signal }),
    );
    await this.follow(connection, reply.beat);
    if (reply.wanted) await this.deliver(connection, reply.wanted.base);
    this.mismatches = reply.beat.members === members.digest() ? 0 : this.mismatches + 1;
    if (this.mismatches >= BEATS_BEFORE_SYNC) await this.sync(connection);
  }

  /** Fetches what the peer has and this daemon lacks. */
  private async follow({ client, ended }: PeerConnection, beat: Beat): Promise<void> {
    const { heads, fetchSlot, gossip } = this.services;
    gossip.noteBeat(beat);
    if (heads.isBehind(beat) && fetchSlot.take()) {
      const { version } = heads.knowledge;
      const ask = (base: Beat['version']) =>
        answered(ended, (signal) => client.changes.query({ base }, { signal }));
      const message = await ask(version);
      if (message && !heads.fromPeer(message)) {
        const whole = await ask(null);
        if (whole) heads.fromPeer(whole);
      }
      fetchSlot.free();
    }
    heads.observe(beat);
  }

  private async deliver({ client, ended }: PeerConnection, base: Beat['version']): Promise<void> {
    const message = this.services.heads.changesSince(base);
    if (message) await answered(ended, (signal) => client.deliver.mutate(message, { signal }));
  }

  /** Exchanges the member records in which both sides differ. */
  private async sync({ client, ended }: PeerConnection): Promise<void> {
    const { members, gossip } = this.services;
    this.doing = 'sync';
    const request = { buckets: members.buckets() };
    gossip.meter.add('syncs');
    const { differing, records } = await answered(ended, (signal) =>
      client.sync.mutate(request, { signal }),
    );
    gossip.receive(records, this.peer.id);
    const theirs = new Map(records.map((record) => [record.id, record]));
    const news = members
      .bucketRecords(differing)
      .filter((own) => !isSameRecord(own, theirs.get(own.id)));
    this.outbox.put(news);
    this.mismatches = 0;
  }

  private subscribe(connection: PeerConnection): Disposable {
    const subscription = connection.client.updates.subscribe(this.services.members.self.id, {
      onData: (update) => void this.receive(connection, update),
      onError: () => connection.dispose(),
    });
    return { dispose: () => subscription.unsubscribe() };
  }

  private async receive(connection: PeerConnection, { records, beat }: Update): Promise<void> {
    this.services.gossip.receive(records, this.peer.id);
    if (!beat) return;
    try {
      await this.follow(connection, beat);
    } catch (error) {
      this.services.logger.log('Fetch from a peer failed.', {
        peer: this.peer.id,
        reason: (error as Error).message,
      });
      connection.dispose();
    }
  }
}
