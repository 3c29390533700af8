/**
 * What a version of the configuration consists of, and the records that carry it in the log.
 *
 * @packageDocumentation
 */
import type {
  Digest,
  Event,
  FileName,
  Offset,
  PublicationId,
  RouteName,
  ServiceName,
  VersionNumber,
} from '../common/Types';

/** One file of a configuration folder. */
export interface FolderFile {
  readonly name: FileName;
  readonly content: string;
}

/** The files of a folder, in the byte order of their names. */
export type Folder = readonly FolderFile[];

/** A file that a publication sets, or removes where `content` is null. */
export interface FileChange {
  readonly name: FileName;
  readonly content: string | null;
}

/** What is wrong in a folder and where. */
export interface Fault {
  readonly file: FileName | undefined;
  readonly line: number | undefined;
  /** Dotted path within the file, such as `route.stock.timeout`. */
  readonly key: string | undefined;
  readonly found: string;
  readonly expected: string;
}

/** Rank of a route's calls when slots are taken: 0 goes first. */
export type Priority = number;

/** One of the services that share a route's calls. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Share of the calls, relative to the other weights of the route. */
  readonly weight: number;
}

/** Bounds on what a caller may send, and on how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for a request's head to come in, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a connection may stay idle between requests, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A `[service.NAME]` table with its defaults filled in. */
export interface Service {
  readonly name: ServiceName;
  /** Calls that one upstream runs at the same time. */
  readonly slots: number;
  /** Connections that one upstream accepts. */
  readonly connections: number;
  /** Calls that may wait for a slot of one upstream. */
  readonly queue: number;
  /** Milliseconds over which a new upstream's share ramps up. */
  readonly warmUpMs: number;
  /** Path at which an upstream tells whether it is sound; `undefined` where none does. */
  readonly health: string | undefined;
}

/** A `[route.NAME]` table with its defaults filled in. */
export interface Route {
  readonly name: RouteName;
  /** Host that the route is for; `undefined` matches every host. */
  readonly host: string | undefined;
  /** Where calls go; at least one entry, several for a weighted split. */
  readonly targets: readonly WeightedService[];
  /** Matches this path and everything below it; with a final slash, only what is below it. */
  readonly path: string;
  readonly methods: readonly string[];
  /** Milliseconds that a call may take as a whole. */
  readonly timeoutMs: number;
  /** Milliseconds within which an answer is as useful as an immediate one. */
  readonly objectiveMs: number;
  /** `undefined` leaves it to the method, as HTTP defines it. */
  readonly idempotent: boolean | undefined;
  readonly priority: Priority;
  /** Sends a second attempt after a learned delay; only for idempotent calls. */
  readonly hedge: boolean;
  /** Further attempts after the first. */
  readonly retries: number;
}

/** Where a merged value comes from. */
export interface Provenance {
  /** `service.NAME`, `route.NAME` or `defaults.KEY`. */
  readonly key: string;
  readonly file: FileName;
  /** Earlier files whose value this one replaced, in name order. */
  readonly overrode: readonly FileName[];
}

/** A whole merged configuration. */
export interface Configuration {
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly routes: ReadonlyMap<RouteName, Route>;
  /** Share of calls that may be retried or hedged, 0 to 1. */
  readonly retryBudget: number;
  /** `undefined` leaves the limits of the settings in force. */
  readonly limits: CallerLimits | undefined;
  readonly provenance: readonly Provenance[];
}

/** Result of merging a folder. */
export type Merge =
  | { readonly kind: 'valid'; readonly configuration: Configuration }
  | { readonly kind: 'invalid'; readonly faults: readonly Fault[] };

/** A change of the folder that an operator appends to the log. */
export interface Publication {
  readonly kind: 'publication';
  readonly schema: number;
  readonly id: PublicationId;
  /** Version that the author started from; null for the first publication of a stream. */
  readonly base: VersionNumber | null;
  readonly changes: readonly FileChange[];
  /** Digest of the whole folder after the changes. */
  readonly digest: Digest;
}

/** An accepted configuration together with its place in the stream. */
export interface Head {
  /** Schema number under which it was validated. */
  readonly schema: number;
  readonly version: VersionNumber;
  readonly publicationId: PublicationId;
  readonly digest: Digest;
  readonly folder: Folder;
}

/** Claims that `head` is what the records before `through` fold to. */
export interface Checkpoint {
  readonly kind: 'checkpoint';
  readonly schema: number;
  readonly through: Offset;
  readonly head: Head;
}

/** What the configuration stream holds. */
export type ConfigurationRecord = Publication | Checkpoint;

/** Why a publication was refused. */
export type Refusal =
  | { readonly kind: 'base'; readonly head: VersionNumber | null }
  | { readonly kind: 'invalid'; readonly faults: readonly Fault[] }
  | { readonly kind: 'digest' };

/** What became of one record of the stream. */
export type Verdict =
  | { readonly kind: 'accepted'; readonly id: PublicationId; readonly head: Head }
  | { readonly kind: 'refused'; readonly id: PublicationId; readonly refusal: Refusal }
  /** Can't be judged before a checkpoint says what came before the first record read. */
  | { readonly kind: 'deferred'; readonly id: PublicationId }
  | { readonly kind: 'ignored' };

/** Merges and validates a folder. */
export type Merger = (folder: Folder) => Merge;

/** One version, built whole before it is put in force. */
export interface Snapshot {
  readonly head: Head;
  readonly configuration: Configuration;
  /** Shortest objective of all routes, in milliseconds. */
  readonly shortestObjectiveMs: number;
  /**
   * @param method - HTTP method.
   * @param host - Host header.
   * @param path - Path without the query.
   * @returns The route of that host, or of every host, with the longest matching path that allows
   * the method.
   */
  match(method: string, host: string, path: string): Route | undefined;
}

/** The version in force on this daemon. */
export interface CurrentVersion {
  readonly snapshot: Snapshot | undefined;
  readonly onSwap: Event<Snapshot>;
  /**
   * Builds, validates and puts a head in force, unless it isn't newer than the one in force.
   *
   * @param head - The candidate.
   * @returns Whether it was put in force.
   * @throws InvalidHeadError - The folder doesn't validate; what was in force stays.
   */
  advance(head: Head): boolean;
  /**
   * @param base - Version that the asking side has, if any.
   * @returns Changes from there to the version in force; the whole folder where the base is not
   * remembered.
   */
  changesSince(base: VersionNumber | null): Delta | undefined;
}

/** Difference between two accepted versions. */
export interface Delta {
  /** The version to which the changes apply; null for an empty folder. */
  readonly base: VersionNumber | null;
  readonly schema: number;
  readonly version: VersionNumber;
  readonly publicationId: PublicationId;
  readonly digest: Digest;
  readonly changes: readonly FileChange[];
}
