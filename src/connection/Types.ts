/**
 * State of connections and peers, stores behind the log service, and messages between daemons.
 *
 * @packageDocumentation
 */
import type {
  Address,
  DaemonId,
  Disposable,
  Event,
  Incarnation,
  InstanceId,
  Offset,
  ServiceName,
  SoftwareVersion,
  VersionNumber,
  ZoneName,
} from '../common/Types';
import type { Delta, Folder, Head } from '../version/Types';

/** Name of a stream of the log service. */
export type StreamName = 'configuration' | 'joins';

/** One record of a stream. */
export interface LogRecord {
  readonly offset: Offset;
  readonly data: string;
}

/** Offsets that a stream retains: `earliest` inclusive to `next` exclusive. */
export interface LogBounds {
  readonly earliest: Offset;
  readonly next: Offset;
}

/**
 * Records read from a stream, in offset order, with the offsets that the stream retained at the
 * time of the read.
 */
export interface LogBatch extends LogBounds {
  readonly records: readonly LogRecord[];
}

/** Client of the platform's append-only log service. */
export interface Log {
  /**
   * Appends one record.
   *
   * @param stream - Stream to append to.
   * @param data - Content of the record.
   * @returns Offset of the new record.
   * @throws LogRefusedError - The log rejected the record; a retry fails too.
   * @throws LogUnavailableError - The record was not appended; a retry may succeed.
   * @throws LogUnknownOutcomeError - The record may have been appended, or may still be.
   */
  append(stream: StreamName, data: string): Promise<Offset>;
  /**
   * Reads records, with long polling at the end of the stream.
   *
   * @param stream - Stream to read.
   * @param from - First offset to return.
   * @param waitMs - Longest wait for a record at `from`, in milliseconds.
   * @param signal - Cancels the read.
   * @returns Records from `from` on; empty if none was appended in time.
   * @throws LogExpiredError - The log no longer retains `from`.
   * @throws LogUnavailableError - The read failed.
   */
  read(stream: StreamName, from: Offset, waitMs: number, signal: AbortSignal): Promise<LogBatch>;
  /**
   * @param stream - Stream to inspect.
   * @returns Offsets that the stream retains.
   * @throws LogUnavailableError - The read failed.
   */
  bounds(stream: StreamName): Promise<LogBounds>;
}

/** A complete configuration read from a store. */
export interface PublishedConfiguration {
  readonly version: VersionNumber;
  readonly folder: Folder;
}

/** Result of one read of a configuration store. */
export interface ConfigurationBatch {
  /** Newest configuration in the range read, if any. */
  readonly configuration: PublishedConfiguration | undefined;
  /** Offset in the store at which the next read starts. */
  readonly next: Offset;
  /** Offset of the newest configuration in the range read if it can't be decoded. */
  readonly unreadableAt?: Offset | undefined;
}

/** A store that always retains the newest complete configuration. */
export interface ConfigurationStore extends Partial<RestorableStore> {
  /**
   * @param signal - Cancels the read.
   * @returns The newest configuration, if any was published.
   * @throws LogUnavailableError - The read failed.
   */
  newest(signal: AbortSignal): Promise<ConfigurationBatch>;
  /**
   * @param from - Offset in the store at which the read starts.
   * @param waitMs - Longest wait for a newer configuration, in milliseconds.
   * @param signal - Cancels the read.
   * @returns The newest configuration published since `from`; none if none was published in time.
   * @throws LogExpiredError - The store no longer retains `from`.
   * @throws LogTimeoutError - The store did not respond in time.
   * @throws LogUnavailableError - The read failed.
   */
  changes(from: Offset, waitMs: number, signal: AbortSignal): Promise<ConfigurationBatch>;
  /** Makes the next read use a new connection; reads under way go on. */
  reconnect(): void;
  /** @param offset - Offset that a peer has read, which tells whether the store was restored since. */
  observe(offset: Offset): void;
  /** Whether the store is known to have come back from a copy at some time; absent if it never can. */
  readonly hasBeenRestored?: boolean;
}

/** A store that may come back from a copy, which lacks the records of the last seconds. */
export interface RestorableStore {
  /** Fires when it came back: records that were stored shortly before may be lost. */
  readonly onRestore: Event<void>;
}

/** Id and address of a daemon that can supply the member list. */
export interface Contact {
  readonly id: DaemonId;
  readonly address: Address;
}

/** Exchanges member records with daemons to which this daemon has no link. */
export interface Introducer {
  /**
   * @param member - Daemon to contact.
   * @returns Whether it responded.
   */
  introduce(member: Contact): Promise<boolean>;
}

/** Stores the contacts through which a daemon without peers can join the others. */
export interface ContactStore extends Partial<RestorableStore> {
  /** Whether a contact is kept for good, so that it needn't be renewed. */
  readonly isDurable: boolean;
  /**
   * @param signal - Cancels the read.
   * @returns Ids and addresses of daemons that announced themselves.
   * @throws LogError - The read failed.
   */
  contacts(signal: AbortSignal): Promise<readonly Contact[]>;
  /**
   * @param contact - Id and address of this daemon, stored for daemons that join later.
   * @throws LogError - The contact may not have been stored.
   */
  announce(contact: Contact): Promise<void>;
}

/** Counters and state of the reader of the log, shown by the dump command and in metrics. */
export interface LogReaderState {
  /** Whether this daemon currently reads the log itself. */
  readonly reading: boolean;
  /** Whether the reader has a complete configuration to which further records apply. */
  readonly anchored: boolean;
  /** Schema number of a log record that this release can't read; `undefined` if none was found. */
  readonly unknownSchema: number | undefined;
  /** Why reads don't prove that the version in force is the newest; `undefined` if they do. */
  readonly noProofReason?: string | undefined;
  readonly reads: number;
  readonly failures: number;
  /** Monotonic time in ms at which the latest checkpoint was read; `undefined` if none was. */
  readonly lastCheckpointAt: number | undefined;
  /** Number of configuration publications accepted since the latest checkpoint. */
  readonly acceptedSinceCheckpoint: number;
}

/** State of an upstream, as reported by the daemon beside it. */
export type UpstreamState = 'none' | 'warming' | 'serving' | 'draining' | 'gone';

/** Health of a member according to the other daemons' failure detectors. */
export type MemberHealth = 'alive' | 'suspect' | 'dead';

/**
 * An upstream process that drains or has left. Its daemon has acknowledged this, so the process must get no
 * new calls, even after a restart of that daemon.
 */
export interface Withdrawal {
  readonly instance: InstanceId;
  /** Start time of the process, in milliseconds since the epoch; covers earlier processes with its id. */
  readonly startedAt: number;
  /** Sequence number of the announcement with which the process began to drain; null if it left. */
  readonly sequence: number | null;
}

/**
 * A daemon and the upstream beside it. The daemon itself sets every field except `health`, which
 * other daemons also change.
 */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  /** Number that the daemon increments with each change that it makes to its own record. */
  readonly sequence: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Address of the control API for operators. */
  readonly control: Address;
  readonly service: ServiceName | null;
  readonly state: UpstreamState;
  /** Whether the upstream reports itself healthy. */
  readonly healthHint: boolean;
  /** Number of calls that the upstream can run concurrently; null if it did not report this. */
  readonly slots: number | null;
  /** Software version of the upstream; `undefined` if it reported none. */
  readonly version?: SoftwareVersion | undefined;
  /** Whether the daemon's reads of the log currently succeed. */
  readonly readsLog: boolean;
  /** Bandwidth of the VM's link in Mbit/s; `undefined` if its settings don't tell. */
  readonly linkMbps?: number | undefined;
  /** The latest upstream processes on the VM that drained or left; `undefined` if there are none. */
  readonly withdrawals?: readonly Withdrawal[] | undefined;
  readonly health: MemberHealth;
}

/** A moment on the monotonic clock and by the time of day. */
export interface Moment {
  readonly monotonicMs: number;
  /** Milliseconds since the epoch. */
  readonly timeOfDayMs: number;
}

/** Proof that a version was the newest some time ago. */
export interface VersionProof {
  readonly version: VersionNumber;
  /** Milliseconds since the store was asked; rounded up. */
  readonly ageMs: number;
}

/**
 * Content of a heartbeat: the newest configuration version that the sender has received, when the newest
 * was last confirmed, and a digest of the sender's member table.
 */
export interface Heartbeat {
  readonly from: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: VersionNumber | null;
  /** Offset after the last log record that `version` reflects. */
  readonly through: Offset;
  /**
   * Milliseconds since a daemon that reads the log last found no record after `through`; null if
   * never.
   */
  readonly ageMs: number | null;
  /** Digest of the sender's member table. */
  readonly members: string;
  /**
   * Proof for the version in force on the sender, only in replies: nobody can tell how long a request or a
   * pushed update was under way. Null if the sender has none; `undefined` from daemons that don't need any.
   */
  readonly proof?: VersionProof | null | undefined;
}

/** A heartbeat with the member records that changed since the previous one. */
export interface HeartbeatRequest {
  readonly records: readonly MemberRecord[];
  readonly beat: Heartbeat;
  /** News about rollouts; validated by their receiver. */
  readonly rollouts?: readonly unknown[] | undefined;
}

/** Response to a heartbeat. */
export interface HeartbeatReply {
  readonly beat: Heartbeat;
  /**
   * Request for the configuration changes that the responder lacks; null if it lacks none, or is
   * already fetching them from another peer.
   */
  readonly wanted: DeltaRequest | null;
  /** News about rollouts; validated by their receiver. */
  readonly rollouts?: readonly unknown[] | undefined;
}

/**
 * Requests the changes of the configuration since version `base`; null requests the whole
 * configuration.
 */
export interface DeltaRequest {
  readonly base: VersionNumber | null;
  /** Whether the requester can read packed changes; older releases can't. */
  readonly packed?: boolean | undefined;
}

/**
 * Message pushed to a peer: member records that changed since the previous message on its
 * connection, and a heartbeat if the sender has a newer configuration version than the peer.
 */
export interface GossipUpdate {
  readonly records: readonly MemberRecord[];
  readonly beat: Heartbeat | null;
  /** News about rollouts; validated by their receiver. */
  readonly rollouts?: readonly unknown[] | undefined;
}

/** Anti-entropy request: digests of the sender's member table, one for each bucket. */
export interface SyncRequest {
  readonly buckets: readonly string[];
}

/** Anti-entropy response: the differing buckets and the responder's records in them. */
export interface SyncReply {
  readonly differing: readonly number[];
  readonly records: readonly MemberRecord[];
  /** All rollouts that the responder knows, also those that have ended; validated by their receiver. */
  readonly rollouts?: readonly unknown[] | undefined;
}

/** Changes that turn one version into a later one, compressed by `packChanges`. */
export interface PackedDelta extends Omit<Delta, 'changes'> {
  readonly packedChanges: Uint8Array;
}

/** A configuration change sent from one daemon to another. */
export interface DeltaMessage {
  readonly delta: Delta | PackedDelta;
  readonly through: Offset;
  /** Daemon that pushes the changes; older releases leave it out. */
  readonly from?: DaemonId | undefined;
}

/**
 * Result of changes from a peer: they were received and are being validated; this daemon has the version
 * or a newer one already; or it doesn't have the version that the changes apply to.
 */
export type DeltaOutcome = 'received' | 'known' | 'unknown base';

/** Newest configuration version that peers can get from this daemon; it may not be in force yet. */
export interface Offer {
  readonly version: VersionNumber | null;
  /** Offset after the last log record that `version` reflects. */
  readonly through: Offset;
}

/** Configuration version that this daemon has, and when it was last confirmed to be the newest. */
export interface Knowledge {
  readonly version: VersionNumber | null;
  readonly through: Offset;
  /**
   * Monotonic time in ms at which a daemon last read the store and found no newer version;
   * `undefined` if never.
   */
  readonly confirmedAt: number | undefined;
}

/** Holds the withdrawals of this daemon outside of its process. */
export interface WithdrawalStore extends RestorableStore, Disposable {
  /** Fires with the withdrawals that an earlier process of this daemon stored, when they are read. */
  readonly onRecall: Event<readonly Withdrawal[]>;
  /**
   * @param withdrawals - All withdrawals of this daemon; they replace the stored ones.
   * @returns Resolves once they are stored.
   * @throws LogError - They may not have been stored.
   */
  storeWithdrawals(withdrawals: readonly Withdrawal[]): Promise<void>;
}

/** Sends this daemon's member record to peers. */
export interface RecordPublisher {
  /**
   * @param count - Number of peers that should confirm it; fewer if there are fewer live peers.
   * @returns Whether so many peers confirmed that they received the current record; true without peers.
   */
  publishSelf(count: number): Promise<boolean>;
}

/** The known daemons, including this one. */
export interface Membership {
  readonly self: MemberRecord;
  readonly onChange: Event<readonly MemberRecord[]>;
  /** Fires with the withdrawals in a record of this daemon that a peer sent, such as that of an earlier process. */
  readonly onRecall: Event<readonly Withdrawal[]>;
  /** @returns Members that are neither dead nor gone, including this one. */
  live(): readonly MemberRecord[];
  /** @returns All known members, including those that are dead or gone. */
  all(): readonly MemberRecord[];
  get(id: DaemonId): MemberRecord | undefined;
  /**
   * Merges records received from a peer.
   *
   * @param records - Records from the peer.
   * @returns The records that changed this table.
   */
  merge(records: readonly MemberRecord[]): readonly MemberRecord[];
  /** @param id - Member to mark as suspect; it failed both direct and indirect probes. */
  suspect(id: DaemonId): void;
  /** @returns Digest of the whole table; equal tables have equal digests. */
  digest(): string;
  /** @returns Digests of the buckets of the member table, by bucket index. */
  buckets(): readonly string[];
  /** @param buckets - Indexes of the buckets whose records are returned. */
  bucketRecords(buckets: readonly number[]): readonly MemberRecord[];
}

/** Tracks the newest configuration version from the log and from peers. */
export interface HeadTracker {
  readonly knowledge: Knowledge;
  readonly offer: Offer;
  /** Fires when a newer version of the configuration is received. */
  readonly onAdvance: Event<Offer>;
  /** Newest version that the store or a peer is known to have; `undefined` if none. */
  readonly newestVersionHeard: VersionNumber | undefined;
  /** @param heartbeat - Heartbeat of a peer; confirms the local version if both are the same. */
  observeHeartbeat(heartbeat: Heartbeat): void;
  /**
   * Applies a head that was read from the log.
   *
   * @param head - Newest configuration version in the records read, if any.
   * @param through - Offset after the last record read.
   * @param confirmed - Whether the log held no further records at the time of the read.
   * @returns Resolves once the head is in force or was refused.
   */
  applyLogHead(head: Head | undefined, through: Offset, confirmed: boolean): Promise<void>;
  /**
   * @param message - Changes from a peer.
   * @param peer - The peer, for the log; `undefined` if it isn't known.
   * @returns Resolves once peers can get the changes from this daemon; they are validated after that.
   */
  applyPeerDelta(message: DeltaMessage, peer: DaemonId | undefined): Promise<DeltaOutcome>;
  /**
   * @param request - Configuration version that the peer has, and whether it reads packed changes.
   * @returns The changes; `undefined` if no version is in force.
   */
  changesSince(request: DeltaRequest): Promise<DeltaMessage | undefined>;
  /** @returns Whether the sender of this heartbeat has a newer version than this daemon. */
  isBehind(heartbeat: Heartbeat): boolean;
  /** The configuration version in force; `undefined` if there is none. */
  readonly head: Head | undefined;
}
