/**
 * What lives as long as a connection or a peer, and the messages between daemons.
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

/** Offsets that a stream keeps: from `earliest` up to, but without, `next`. */
export interface LogBounds {
  readonly earliest: Offset;
  readonly next: Offset;
}

/** Records of a stream in order, and the bounds at the time of the read. */
export interface LogBatch extends LogBounds {
  readonly records: readonly LogRecord[];
}

/** The platform's log service. */
export interface Log {
  /**
   * @param stream - The stream.
   * @param data - The record.
   * @returns Its offset.
   * @throws LogRefusedError - The log won't take this record.
   * @throws LogUnavailableError - It wasn't taken; another try may succeed.
   * @throws LogUnknownOutcomeError - It may have been taken, now or later.
   */
  append(stream: StreamName, data: string): Promise<Offset>;
  /**
   * @param stream - The stream.
   * @param from - First offset wanted.
   * @param waitMs - How long to wait for a record at `from`.
   * @param signal - Ends the wait.
   * @returns Records from there on; none where nothing came in time.
   * @throws LogExpiredError - The log doesn't keep `from` any more.
   * @throws LogUnavailableError - The read failed.
   */
  read(stream: StreamName, from: Offset, waitMs: number, signal: AbortSignal): Promise<LogBatch>;
  /**
   * @param stream - The stream.
   * @returns What the stream keeps.
   * @throws LogUnavailableError - The read failed.
   */
  bounds(stream: StreamName): Promise<LogBounds>;
}

/** A whole configuration that a store keeps. */
export interface PublishedConfiguration {
  readonly version: VersionNumber;
  readonly folder: Folder;
}

/** What a store had when it was read. */
export interface ConfigurationBatch {
  /** The newest configuration among what was read, if any. */
  readonly configuration: PublishedConfiguration | undefined;
  /** Where to read on. */
  readonly next: Offset;
}

/** A store that keeps the newest whole configuration for ever. */
export interface ConfigurationStore {
  /**
   * @param signal - Ends the read.
   * @returns The newest configuration.
   * @throws LogUnavailableError - The read failed.
   */
  newest(signal: AbortSignal): Promise<ConfigurationBatch>;
  /**
   * @param from - Where to read on.
   * @param waitMs - How long to wait for news.
   * @param signal - Ends the wait.
   * @returns What came; nothing where it didn't come in time.
   * @throws LogExpiredError - The store dropped what came at `from`.
   * @throws LogUnavailableError - The read failed.
   */
  changes(from: Offset, waitMs: number, signal: AbortSignal): Promise<ConfigurationBatch>;
}

/** A daemon that can be asked for the members. */
export interface Contact {
  readonly id: DaemonId;
  readonly address: Address;
}

/** Makes a daemon known to another one that it has no link to. */
export interface Introducer {
  /**
   * @param member - The other one.
   * @returns Whether it answered.
   */
  introduce(member: Contact): Promise<boolean>;
}

/** Keeps contacts where a daemon that knows no other finds them. */
export interface ContactStore {
  /**
   * @param signal - Ends the read.
   * @returns Daemons that announced themselves.
   * @throws LogError - The read failed.
   */
  contacts(signal: AbortSignal): Promise<readonly Contact[]>;
  /**
   * @param contact - This daemon.
   * @throws LogError - It may not have been kept.
   */
  announce(contact: Contact): Promise<void>;
}

/** Counters and state of what reads the log, for dump and metrics. */
export interface LogTailState {
  readonly reading: boolean;
  readonly anchored: boolean;
  readonly unknownSchema: number | undefined;
  readonly reads: number;
  readonly failures: number;
  readonly lastCheckpointAt: number | undefined;
  readonly acceptedSinceCheckpoint: number;
}

/** State of an upstream, as the daemon beside it knows it. */
export type UpstreamState = 'none' | 'warming' | 'serving' | 'draining' | 'gone';

/** What other daemons think of a member. */
export type MemberHealth = 'alive' | 'suspect' | 'dead';

/** A daemon and the upstream beside it. All but `health` comes from the daemon itself. */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  /** Rises with each change that the daemon makes to its record. */
  readonly sequence: number;
  readonly zone: ZoneName;
  readonly address: Address;
  /** Where operators reach it. */
  readonly control: Address;
  readonly service: ServiceName | null;
  readonly state: UpstreamState;
  /** What the upstream says of its own health. */
  readonly healthHint: boolean;
  /** Calls that the upstream runs at the same time; null where it didn't say. */
  readonly slots: number | null;
  /** Whether the daemon's reads of the log succeed. */
  readonly readsLog: boolean;
  readonly health: MemberHealth;
}

/** What a daemon knows of the log's head, as sent with every heartbeat. */
export interface Beat {
  readonly from: DaemonId;
  readonly incarnation: Incarnation;
  readonly version: VersionNumber | null;
  /** `version` is what the records before this offset fold to. */
  readonly through: Offset;
  /** Milliseconds since a reader found nothing after `through`; null where never. */
  readonly ageMs: number | null;
  /** Digest of the member table. */
  readonly members: string;
}

/** A heartbeat, and what changed since the last one. */
export interface BeatRequest {
  readonly records: readonly MemberRecord[];
  readonly beat: Beat;
}

/** Answer to a heartbeat. */
export interface BeatReply {
  readonly beat: Beat;
  /** Set by a daemon that lies behind and has no other fetch under way. */
  readonly wanted: WantedChanges | null;
}

/** Asks for the changes since a version. */
export interface WantedChanges {
  readonly base: VersionNumber | null;
}

/** What changed since the last message on a link. */
export interface Update {
  readonly records: readonly MemberRecord[];
  readonly beat: Beat | null;
}

/** Compares member tables, one digest for each bucket. */
export interface SyncRequest {
  readonly buckets: readonly string[];
}

/** Records of the buckets that differ. */
export interface SyncReply {
  readonly differing: readonly number[];
  readonly records: readonly MemberRecord[];
}

/** A configuration on its way from peer to peer. */
export interface DeltaMessage {
  readonly delta: Delta;
  readonly through: Offset;
}

/** What this daemon knows of the head, and how sure it is. */
export interface Knowledge {
  readonly version: VersionNumber | null;
  readonly through: Offset;
  /** Monotonic time in ms at which a reader last found nothing newer; `undefined` where never. */
  readonly confirmedAt: number | undefined;
}

/** Every daemon known, this one included. */
export interface Membership {
  readonly self: MemberRecord;
  readonly onChange: Event<readonly MemberRecord[]>;
  /** @returns Members that aren't dead or gone, this one included. */
  live(): readonly MemberRecord[];
  get(id: DaemonId): MemberRecord | undefined;
  /**
   * Takes in what a peer knows.
   *
   * @param records - From a peer.
   * @returns The records that were news.
   */
  merge(records: readonly MemberRecord[]): readonly MemberRecord[];
  /** @param id - A member that neither this daemon nor others on its behalf could reach. */
  suspect(id: DaemonId): void;
  digest(): string;
  buckets(): readonly string[];
  bucketRecords(buckets: readonly number[]): readonly MemberRecord[];
}

/** The head of the configuration, fed by the log and by peers. */
export interface HeadTracker {
  readonly knowledge: Knowledge;
  /** Fires when the version or the offset it is known through moves. */
  readonly onAdvance: Event<Knowledge>;
  /** @param beat - What a peer knows; confirms what this daemon knows where both agree. */
  observe(beat: Beat): void;
  /**
   * Takes a head from a reader of the log.
   *
   * @param head - Head of the fold, if any.
   * @param through - Offset up to which it was folded.
   * @param confirmed - Whether the log held nothing more at that time.
   */
  fromLog(head: Head | undefined, through: Offset, confirmed: boolean): void;
  /**
   * @param message - Changes from a peer.
   * @returns Whether they could be applied.
   */
  fromPeer(message: DeltaMessage): boolean;
  /** @param base - Version that a peer has. */
  changesSince(base: VersionNumber | null): DeltaMessage | undefined;
  /** Whether a peer with this beat has a version that this daemon lacks. */
  isBehind(beat: Beat): boolean;
  /** The version in force. */
  readonly head: Head | undefined;
}
