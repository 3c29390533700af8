import type { Clock, Disposable, Logger } from '../common/Types';
import withStallAwareTimeout, { stallAwareSleep } from './withStallAwareTimeout';
import type FetchLease from './FetchLease';
import type FreshnessProof from './FreshnessProof';
import type Gossip from './Gossip';
import isSameRecord from './isSameRecord';
import mergeWithdrawals from './mergeWithdrawals';
import type Outbox from './Outbox';
import PeerConnection from './PeerConnection';
import PeerError from './PeerError';
import type ReaderDoubt from './ReaderDoubt';
import RoundTripEstimate from './RoundTripEstimate';
import type SocketMeter from './SocketMeter';
import type {
  DeltaMessage,
  DeltaRequest,
  Heartbeat,
  HeartbeatRequest,
  HeadTracker,
  MemberRecord,
  Membership,
  GossipUpdate,
} from './Types';

const RESPONSE_TIMEOUT_MS = 2_000;
/** Timeout of sending or fetching changes, which may be large and share a slow link, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 10_000;
/**
 * Number of consecutive heartbeats with differing member digests after which a link synchronises
 * both member tables.
 */
const MISMATCHES_BEFORE_SYNC = 2;

/** Current operation of a link, logged when the link fails. */
export type LinkStage = 'connect' | 'sync' | 'wait' | 'beat';

/** Dependencies of a link that all links of a daemon share. */
export interface LinkServices {
  readonly members: Membership;
  readonly heads: HeadTracker;
  readonly gossip: Gossip;
  readonly fetchLease: FetchLease;
  readonly meter: SocketMeter;
  readonly logger: Logger;
  readonly clock: Clock;
  /** Receives the proofs in replies; `undefined` if no revocation bound is set. */
  readonly proof: FreshnessProof | undefined;
  /** Learns when a watched peer is late to answer. */
  readonly doubt: ReaderDoubt;
  /** Interval between heartbeats on a link, in ms; changes are sent without waiting for it. */
  readonly heartbeatIntervalMs: number;
  /** Called with the member records that a peer sent in a synchronisation, once they are merged. */
  readonly onSync: (records: readonly MemberRecord[]) => void;
}

/** An outgoing connection to one peer, with its heartbeats and member synchronisation. */
export default class PeerLink {
  private up = false;

  private connection: PeerConnection | undefined;

  private currentStage: LinkStage = 'connect';

  private digestMismatches = 0;

  private heartbeatRequested = false;

  private readonly outbox: Outbox;

  private readonly roundTrips = new RoundTripEstimate();

  /** Whether this daemon watches the peer, and doubts the readers when it is late to answer. */
  public isWatched = false;

  /**
   * @param peer - Member to connect to.
   * @param services - Dependencies shared by all links.
   */
  public constructor(
    public readonly peer: MemberRecord,
    private readonly services: LinkServices,
  ) {
    this.outbox = services.gossip.openOutbox(peer.id);
  }

  /** Whether the connection is open and the peer has confirmed its identity. */
  public get isUp(): boolean {
    return this.up;
  }

  /** Mean time in ms until the peer responds; `undefined` before its first response. */
  public get roundTripMs(): number | undefined {
    return this.roundTrips.averageMs || undefined;
  }

  /** Current operation of the link, or the last one if the link has ended. */
  public get stage(): LinkStage {
    return this.currentStage;
  }

  /** Makes the link send its next heartbeat without waiting for the heartbeat interval. */
  public requestHeartbeat(): void {
    this.heartbeatRequested = true;
    this.outbox.wake();
  }

  /**
   * Sends this daemon's member record, without waiting for the next heartbeat.
   *
   * @returns Whether the peer confirmed that it received the record.
   */
  public async publishSelf(): Promise<boolean> {
    const { connection } = this;
    if (!connection) return false;
    const { members, gossip } = this.services;
    const update: HeartbeatRequest = {
      records: [members.self],
      beat: gossip.createMemberHeartbeat(),
    };
    try {
      await this.awaitResponse(connection.ended, (signal) =>
        connection.client.beat.mutate(update, { signal }),
      );
      return true;
    } catch {
      // The heartbeats of the link notice that it failed, and log it.
      return false;
    }
  }

  /**
   * Connects and exchanges heartbeats until the connection fails or the signal is aborted.
   *
   * @param signal - Closes the connection and stops the task.
   * @throws PeerError - The connection failed, or the peer did not respond or has another id.
   */
  public async run(signal: AbortSignal): Promise<void> {
    const connection = new PeerConnection(this.peer.address, this.services.meter);
    const end = () => connection.dispose();
    signal.addEventListener('abort', end, { once: true });
    if (signal.aborted) end();
    let subscription: Disposable | undefined;
    try {
      await this.verifyIdentity(connection);
      this.connection = connection;
      this.up = true;
      await this.syncMembers(connection);
      subscription = this.subscribe(connection);
      this.outbox.enqueue([this.services.members.self]);
      const { ended } = connection;
      while (!ended.aborted) {
        this.currentStage = 'wait';
        const woken = await this.outbox.wait(this.services.heartbeatIntervalMs, ended);
        const isHeartbeatDue =
          !woken ||
          this.heartbeatRequested ||
          this.outbox.hasPending(this.services.heads.offer.version) ||
          this.services.gossip.hasRolloutNews(this.peer.id);
        if (!ended.aborted && isHeartbeatDue) await this.exchangeHeartbeats(connection);
      }
      if (!signal.aborted) throw new PeerError(this.peer.id, 'the connection was closed');
    } catch (error) {
      if (error instanceof PeerError) throw error;
      throw new PeerError(this.peer.id, (error as Error).message);
    } finally {
      this.up = false;
      this.connection = undefined;
      signal.removeEventListener('abort', end);
      subscription?.dispose();
      connection.dispose();
      this.services.gossip.closeOutbox(this.outbox);
    }
  }

  /** Awaits a short response until the timeout or the end of the connection, and notes when it is late. */
  private async awaitResponse<Result>(
    ended: AbortSignal,
    sendRequest: (signal: AbortSignal) => Promise<Result>,
  ): Promise<Result> {
    const { clock, doubt } = this.services;
    const sentAt = clock.now();
    const settled = new AbortController();
    void stallAwareSleep(this.roundTrips.lateMs, settled.signal).then(() => {
      if (!settled.signal.aborted && this.isWatched) doubt.recordLate(this.peer.id);
    });
    try {
      const result = await withStallAwareTimeout([ended], RESPONSE_TIMEOUT_MS, sendRequest);
      this.roundTrips.add(clock.now() - sentAt);
      doubt.recordAnswer(this.peer.id);
      return result;
    } finally {
      settled.abort();
    }
  }

  private async verifyIdentity({ client, ended }: PeerConnection): Promise<void> {
    const id = await this.awaitResponse(ended, (signal) =>
      client.identity.query(undefined, { signal }),
    );
    if (id !== this.peer.id) throw new PeerError(this.peer.id, `${id} answers at its address`);
  }

  private async exchangeHeartbeats(connection: PeerConnection): Promise<void> {
    const { gossip, members, proof } = this.services;
    this.currentStage = 'beat';
    this.heartbeatRequested = false;
    const update: HeartbeatRequest = {
      records: this.outbox.drain(),
      beat: gossip.createHeartbeat(),
      rollouts: gossip.rolloutNews(this.peer.id),
    };
    const askedAt = proof?.now();
    const reply = await this.awaitResponse(connection.ended, (signal) =>
      connection.client.beat.mutate(update, { signal }),
    );
    const { proof: stated } = reply.beat;
    if (askedAt && stated) proof?.addFromPeer(stated, askedAt);
    gossip.receiveRollouts(reply.rollouts, this.peer.id);
    await this.catchUp(connection, reply.beat);
    if (reply.wanted) await this.deliverDelta(connection, reply.wanted);
    this.digestMismatches = reply.beat.members === members.digest() ? 0 : this.digestMismatches + 1;
    if (this.digestMismatches >= MISMATCHES_BEFORE_SYNC) await this.syncMembers(connection);
  }

  /** Fetches the configuration changes that the peer has and this daemon lacks. */
  private async catchUp({ client, ended }: PeerConnection, heartbeat: Heartbeat): Promise<void> {
    const { heads, fetchLease, gossip } = this.services;
    gossip.recordPeerVersion(heartbeat);
    if (heads.isBehind(heartbeat) && fetchLease.tryAcquire()) {
      const { version } = heads.offer;
      const applyChangesSince = async (base: Heartbeat['version']) => {
        const message = await withStallAwareTimeout([ended], TRANSFER_TIMEOUT_MS, (signal) =>
          client.changes.query({ base, packed: true }, { signal }),
        );
        // tRPC infers the types of JSON, but the codec of these frames keeps byte arrays.
        return message && heads.applyPeerDelta(message as DeltaMessage, this.peer.id);
      };
      try {
        if ((await applyChangesSince(version)) === 'unknown base') await applyChangesSince(null);
      } finally {
        fetchLease.release();
      }
    }
    heads.observeHeartbeat(heartbeat);
  }

  private async deliverDelta(
    { client, ended }: PeerConnection,
    request: DeltaRequest,
  ): Promise<void> {
    const { heads, members } = this.services;
    const changes = await heads.changesSince(request);
    if (!changes) return;
    const message = { ...changes, from: members.self.id };
    await withStallAwareTimeout([ended], TRANSFER_TIMEOUT_MS, (signal) =>
      client.deliver.mutate(message, { signal }),
    );
  }

  /** Anti-entropy: exchanges the member records in which both tables differ. */
  private async syncMembers({ client, ended }: PeerConnection): Promise<void> {
    const { members, gossip } = this.services;
    this.currentStage = 'sync';
    const request = { buckets: members.buckets() };
    gossip.meter.add('syncs');
    const { differing, records, rollouts } = await this.awaitResponse(ended, (signal) =>
      client.sync.mutate(request, { signal }),
    );
    gossip.receiveRollouts(rollouts, this.peer.id);
    gossip.receive(records, this.peer.id);
    this.services.onSync(records);
    const peerRecords = new Map(records.map((record) => [record.id, record]));
    const differingRecords = members
      .bucketRecords(differing)
      .filter((own) => !isSameRecord(own, peerRecords.get(own.id)));
    this.outbox.enqueue(differingRecords);
    const peer = members.get(this.peer.id);
    const known = peerRecords.get(this.peer.id)?.withdrawals;
    // The peer may have restarted and not know what it acknowledged before.
    if (peer && mergeWithdrawals(known, peer.withdrawals) !== known) this.outbox.enqueue([peer]);
    this.digestMismatches = 0;
  }

  private subscribe(connection: PeerConnection): Disposable {
    const subscription = connection.client.updates.subscribe(this.services.members.self.id, {
      onData: (update) => void this.receiveUpdate(connection, update),
      onError: () => connection.dispose(),
    });
    return { dispose: () => subscription.unsubscribe() };
  }

  private async receiveUpdate(
    connection: PeerConnection,
    { records, beat, rollouts }: GossipUpdate,
  ): Promise<void> {
    this.services.gossip.receiveRollouts(rollouts, this.peer.id);
    this.services.gossip.receive(records, this.peer.id);
    if (!beat) return;
    try {
      await this.catchUp(connection, beat);
    } catch (error) {
      this.services.logger.log('Fetching a configuration change from a peer failed.', {
        peer: this.peer.id,
        reason: (error as Error).message,
      });
      connection.dispose();
    }
  }
}
