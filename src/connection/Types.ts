/**
 * State of connections and peers, stores behind the log service, and messages between daemons.
 *
 * @packageDocumentation
 */
import type {
  Address,
  DaemonId,
  Event,
  Incarnation,
  Offset,
  ServiceName,
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

/** Records of a stream in offset order, with the stream bounds at the time of the read. */
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
  /** Offset at which the next read starts. */
  readonly next: Offset;
}

/** A store that always retains the newest complete configuration. */
export interface ConfigurationStore {
  /**
   * @param signal - Cancels the read.
   * @returns The newest configuration, if any was published.
   * @throws LogUnavailableError - The read failed.
   */
  newest(signal: AbortSignal): Promise<ConfigurationBatch>;
  /**
   * @param from - Offset to continue from.
   * @param waitMs - Longest wait for a newer configuration, in milliseconds.
   * @param signal - Cancels the read.
   * @returns The newest configuration published since `from`; none if none was published in time.
   * @throws LogExpiredError - The store no longer retains `from`.
   * @throws LogUnavailableError - The read failed.
   */
  changes(from: Offset, waitMs: number, signal: AbortSignal): Promise<ConfigurationBatch>;
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

/** Stores contacts through which a daemon that has no peers can join. */
export interface ContactStore {
  /**
   * @param signal - Cancels the read.
   * @returns Daemons that announced themselves.
   * @throws LogError - The read failed.
   */
  contacts(signal: AbortSignal): Promise<readonly Contact[]>;
  /**
   * @param contact - Contact of this daemon.
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
  /** Schema number of a record that this release can't read; `undefined` if there is none. */
  readonly unknownSchema: number | undefined;
  readonly reads: number;
  readonly failures: number;
  /** Monotonic time in ms at which the latest checkpoint was read; `undefined` if none was. */
  readonly lastCheckpointAt: number | undefined;
  /** Publications accepted since the latest checkpoint. */
  readonly acceptedSinceCheckpoint: number;
}

/** State of an upstream, as reported by the daemon beside it. */
export type UpstreamState = 'none' | 'warming' | 'serving' | 'draining' | 'gone';

/** Health of a member according to the other daemons' failure detectors. */
export type MemberHealth = 'alive' | 'suspect' | 'dead';

/**
 * A daemon and the upstream beside it. The daemon itself sets every field except `health`, which
 * other daemons also change.
 */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  /** Incremented by each change that the daemon makes to its own record. */
  readonly sequence: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Address of the control API for operators. */
  readonly control: Address;
  readonly service: ServiceName | null;
  readonly state: UpstreamState;
  /** Whether the upstream reports itself healthy. */
  readonly healthHint: boolean;
  /** Calls that the upstream can run concurrently; null if the upstream did not report it. */
  readonly slots: number | null;
  /** Whether the daemon's reads of the log currently succeed. */
  readonly readsLog: boolean;
  readonly health: MemberHealth;
}

/** Summary of a daemon's knowledge of the configuration head, sent with every heartbeat. */
export interface Heartbeat {
  readonly from: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: VersionNumber | null;
  /** Exclusive end of the log records that `version` reflects. */
  readonly through: Offset;
  /** Milliseconds since a reader last found no record after `through`; null if never. */
  readonly ageMs: number | null;
  /** Digest of the sender's member table. */
  readonly members: string;
}

/** A heartbeat with the member records that changed since the previous one. */
export interface HeartbeatRequest {
  readonly records: readonly MemberRecord[];
  readonly beat: Heartbeat;
}

/** Response to a heartbeat. */
export interface HeartbeatReply {
  readonly beat: Heartbeat;
  /** Set if the responder has an older version and no other fetch in progress. */
  readonly wanted: DeltaRequest | null;
}

/** Requests the changes since version `base`; null requests the whole configuration. */
export interface DeltaRequest {
  readonly base: VersionNumber | null;
}

/** Changes pushed to a peer since the previous message on its connection. */
export interface GossipUpdate {
  readonly records: readonly MemberRecord[];
  readonly beat: Heartbeat | null;
}

/** Anti-entropy request: digests of the sender's member table, one for each bucket. */
export interface SyncRequest {
  readonly buckets: readonly string[];
}

/** Anti-entropy response: the differing buckets and the responder's records in them. */
export interface SyncReply {
  readonly differing: readonly number[];
  readonly records: readonly MemberRecord[];
}

/** A configuration change sent from one daemon to another. */
export interface DeltaMessage {
  readonly delta: Delta;
  readonly through: Offset;
}

/** What this daemon knows of the configuration head, and when that was last confirmed. */
export interface Knowledge {
  readonly version: VersionNumber | null;
  readonly through: Offset;
  /** Monotonic time in ms at which a reader last found nothing newer; `undefined` if never. */
  readonly confirmedAt: number | undefined;
}

/** The known daemons, including this one. */
export interface Membership {
  readonly self: MemberRecord;
  readonly onChange: Event<readonly MemberRecord[]>;
  /** @returns Members that are neither dead nor gone, including this one. */
  live(): readonly MemberRecord[];
  get(id: DaemonId): MemberRecord | undefined;
  /**
   * Merges records received from a peer.
   *
   * @param records - Records from the peer.
   * @returns The records that changed this table.
   */
  merge(records: readonly MemberRecord[]): readonly MemberRecord[];
  /** @param id - Member that failed both direct and indirect probes. */
  suspect(id: DaemonId): void;
  /** @returns Digest of the whole table; equal tables have equal digests. */
  digest(): string;
  /** @returns Digest of each bucket. */
  buckets(): readonly string[];
  /** @param buckets - Indexes of the buckets whose records are returned. */
  bucketRecords(buckets: readonly number[]): readonly MemberRecord[];
}

/** Tracks the newest configuration version from the log and from peers. */
export interface HeadTracker {
  readonly knowledge: Knowledge;
  /** Fires when a newer version is put in force. */
  readonly onAdvance: Event<Knowledge>;
  /** @param heartbeat - Heartbeat of a peer; if its version equals the local one, it confirms that one. */
  observeHeartbeat(heartbeat: Heartbeat): void;
  /**
   * Applies a head that was read from the log.
   *
   * @param head - Newest head in the records read, if any.
   * @param through - Exclusive end of the records read.
   * @param confirmed - Whether the log held no further records at that time.
   */
  applyLogHead(head: Head | undefined, through: Offset, confirmed: boolean): void;
  /**
   * @param message - Changes from a peer.
   * @returns Whether this daemon now has the version that they lead to.
   */
  applyPeerDelta(message: DeltaMessage): boolean;
  /** @param base - Version that the peer has; null for none. */
  changesSince(base: VersionNumber | null): DeltaMessage | undefined;
  /** @returns Whether the sender of this heartbeat has a newer version than this daemon. */
  isBehind(heartbeat: Heartbeat): boolean;
  /** The version in force. */
  readonly head: Head | undefined;
}
