/**
 * The configuration model: folders, the services and routes merged from them, the records of the
 * configuration stream, and the versions that those records produce.
 *
 * @packageDocumentation
 */
import type {
  Digest,
  Event,
  FileName,
  KeyDigest,
  Offset,
  OrganisationName,
  PublicationId,
  RouteName,
  ServiceName,
  SoftwareVersion,
  Steps,
  VersionNumber,
} from '../common/Types';

/** One TOML file of a configuration folder. */
export interface FolderFile {
  readonly name: FileName;
  readonly content: string;
}

/** All files of a configuration folder, sorted by the UTF-8 bytes of their names. */
export type Folder = readonly FolderFile[];

/**
 * A change of one file in a folder: creates or replaces the file; removes it if `content` is null.
 */
export interface FileChange {
  readonly name: FileName;
  readonly content: string | null;
}

/** A validation error: where it is, what was found there and what was expected. */
export interface ValidationIssue {
  /** File that contains the error; `undefined` if the issue concerns the whole folder. */
  readonly file: FileName | undefined;
  /** Line in the file, counted from 1; `undefined` if it can't be located. */
  readonly line: number | undefined;
  /** Dotted path of the invalid value within the file, such as `route.stock.timeout`. */
  readonly key: string | undefined;
  readonly found: string;
  readonly expected: string;
}

/** Order in which queued calls get a free slot of an upstream: lower values first, 0 the first. */
export type Priority = number;

/** A service that receives a share of a route's calls. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Share of the calls, relative to the other weights of the route. */
  readonly weight: number;
}

/** Limits on callers' requests and connections: sizes in bytes, and timeouts; the settings' if `undefined`. */
export interface CallerLimits {
  readonly maxHeaderBytes: number | undefined;
  readonly maxBodyBytes: number | undefined;
  /** Maximum time to receive the header of a request, in milliseconds. */
  readonly headerTimeoutMs: number | undefined;
  /** Time after which a caller's idle connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number | undefined;
}

/** A service, as its `[service.NAME]` table declares it, with defaults applied. */
export interface Service {
  readonly name: ServiceName;
  /** Maximum number of calls that one upstream runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections to one upstream. */
  readonly connections: number;
  /** Maximum number of calls that wait for a slot of one upstream. */
  readonly queue: number;
  /** Slow start: time over which a new upstream's usable slots ramp up to `slots`, in ms. */
  readonly warmUpMs: number;
  /** Path of the upstream's health check; `undefined` if it has none. */
  readonly health: string | undefined;
}

/** A route, as its `[route.NAME]` table declares it, with defaults applied. */
export interface Route {
  readonly name: RouteName;
  /** Host name in the request that the route matches; `undefined` matches every host name. */
  readonly host: string | undefined;
  /** Services that receive the calls: one, or several for a weighted split. */
  readonly targets: readonly WeightedService[];
  /**
   * Path that the route matches, along with all paths below it; with a trailing slash, the route
   * matches only the paths below. Empty for a closed route that matches the paths of no other route of its host.
   */
  readonly path: string;
  readonly methods: readonly string[];
  /** Deadline of a call, including all its attempts, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: a response within this many milliseconds is fast enough. */
  readonly objectiveMs: number;
  /** Whether calls may be repeated; `undefined` derives it from the HTTP method. */
  readonly idempotent: boolean | undefined;
  readonly priority: Priority;
  /**
   * Whether a second attempt of a slow call is sent, after a delay learned from past latencies;
   * idempotent calls only.
   */
  readonly hedge: boolean;
  /** Maximum number of attempts after the first. */
  readonly retries: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Why its calls are refused; `undefined` if they aren't. */
  readonly closed: string | undefined;
}

/** Limit on the calls of an organisation, over all daemons together. */
export interface Quota {
  /** Calls per second. */
  readonly rate: number;
  /** Calls that may come at once in addition to the rate. */
  readonly burst: number;
}

/** An organisation, as its `[organisation.NAME]` table declares it. */
export interface Organisation {
  readonly name: OrganisationName;
  /** Digests of the keys by which its callers identify themselves. */
  readonly keys: readonly KeyDigest[];
  /** Priority of its calls; `undefined` if that of the route applies. */
  readonly priority: Priority | undefined;
  /** Limit on its calls; `undefined` if there is none. */
  readonly quota: Quota | undefined;
  /** Whether it has further keys, which aren't known here. */
  readonly isIncomplete: boolean;
  /** Why calls with its keys are refused; `undefined` if they aren't. */
  readonly closed: string | undefined;
}

/** An operator's order to move the calls of a service to upstreams of another software version. */
export interface Rollout {
  readonly service: ServiceName;
  /** Software version of the upstreams that are to receive all calls in the end. */
  readonly version: SoftwareVersion;
  /** Time within which the calls are to be moved, in milliseconds. */
  readonly durationMs: number;
}

/** Decides which calls the hosts of routes match; both sides are compared by the keys that it returns. */
export interface HostMatching {
  /**
   * @param host - Host of a route.
   * @returns Its key.
   */
  routeKey(host: string): string;
  /**
   * @param host - Host header of a call.
   * @returns Keys of the hosts whose routes the call may take; the first that has routes decides.
   */
  callKeys(host: string): readonly string[];
}

/** The file that a merged entry comes from. */
export interface Provenance {
  /**
   * Name of the entry: `service.NAME`, `route.NAME`, `organisation.NAME`, `rollout.SERVICE`,
   * `defaults.KEY`, `limits` or `access`.
   */
  readonly key: string;
  readonly file: FileName;
  /** Earlier files whose entry this file replaced, in name order. */
  readonly overrode: readonly FileName[];
}

/** The result of merging all files of a valid folder. */
export interface Configuration {
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly routes: ReadonlyMap<RouteName, Route>;
  readonly organisations: ReadonlyMap<OrganisationName, Organisation>;
  /** Whether calls on routes that aren't public need the key of an organisation, even if there is none. */
  readonly keysRequired: boolean;
  /** Keys that several organisations hold, so that it can't be told whose calls they are. */
  readonly sharedKeys: ReadonlySet<KeyDigest>;
  readonly rollouts: ReadonlyMap<ServiceName, Rollout>;
  /** Maximum number of retries and hedges, as a share of the number of all calls, from 0 to 1. */
  readonly retryBudget: number;
  /**
   * Limits on callers' requests; `undefined` if the folder has no `[limits]`: the daemon's settings
   * apply.
   */
  readonly limits: CallerLimits | undefined;
  readonly provenance: readonly Provenance[];
}

/** An entry that matches calls and has them refused. */
export interface ClosedEntry {
  /** Name of the entry, such as `route.stock`. */
  readonly entry: string;
  readonly reason: string;
}

/** Result of merging and validating a folder. */
export type MergeResult =
  | {
      readonly kind: 'valid';
      readonly configuration: Configuration;
      /** Issues of the entries that are closed or left out. */
      readonly faults: readonly ValidationIssue[];
    }
  | { readonly kind: 'invalid'; readonly issues: readonly ValidationIssue[] };

/** A change of the configuration folder, appended to the log by an operator. */
export interface Publication {
  readonly kind: 'publication';
  readonly schema: number;
  readonly id: PublicationId;
  /** Version that the changes apply to; null for the first publication of a stream. */
  readonly base: VersionNumber | null;
  readonly changes: readonly FileChange[];
  /** Digest of the whole folder after the changes are applied. */
  readonly digest: Digest;
}

/** An accepted version: the whole folder and its position in the configuration stream. */
export interface Head {
  /** Schema number that the folder was validated with. */
  readonly schema: number;
  readonly version: VersionNumber;
  readonly publicationId: PublicationId;
  readonly digest: Digest;
  readonly folder: Folder;
}

/**
 * A record which states that applying all records before the offset `through` results in `head`. It
 * lets a reader start at `through` without the earlier records, which the log may have dropped.
 */
export interface Checkpoint {
  readonly kind: 'checkpoint';
  readonly schema: number;
  readonly through: Offset;
  readonly head: Head;
}

/** A record of the configuration stream. */
export type ConfigurationRecord = Publication | Checkpoint;

/**
 * Why a publication was refused: its base is not the newest version, the resulting folder is
 * invalid, or the resulting folder doesn't have the stated digest.
 */
export type PublicationRefusal =
  | { readonly kind: 'base'; readonly head: VersionNumber | null }
  | { readonly kind: 'invalid'; readonly issues: readonly ValidationIssue[] }
  | { readonly kind: 'digest' };

/** Result of applying one record of the configuration stream. */
export type RecordOutcome =
  | { readonly kind: 'accepted'; readonly id: PublicationId; readonly head: Head }
  | { readonly kind: 'refused'; readonly id: PublicationId; readonly refusal: PublicationRefusal }
  /**
   * A publication that can't be evaluated yet: the reader lacks earlier records and waits for a
   * checkpoint.
   */
  | { readonly kind: 'deferred'; readonly id: PublicationId }
  /** A record that is not a publication, is unreadable, or was applied before. */
  | { readonly kind: 'ignored' };

/** Function that merges the files of a configuration folder and validates the result. */
export type FolderMerger = (folder: Folder) => MergeResult;

/** Function that does the same in steps. */
export type StepwiseMerger = (folder: Folder) => Steps<MergeResult>;

/**
 * A version with its merged configuration and an index of its routes, both built before the version
 * is put in force.
 */
export interface Snapshot {
  readonly head: Head;
  readonly configuration: Configuration;
  /** Issues of the entries that are closed or left out. */
  readonly faults: readonly ValidationIssue[];
  /** Entries whose calls are refused. */
  readonly closed: readonly ClosedEntry[];
  /** Whether some organisation has keys that aren't known here. */
  readonly hasIncompleteOrganisation: boolean;
  /** Lowest latency objective of all routes, in milliseconds. */
  readonly shortestObjectiveMs: number;
  /**
   * @param method - HTTP method.
   * @param host - Host header.
   * @param path - Path without the query.
   * @returns The route with the longest matching path that allows the method. Routes for `host`
   * take precedence over routes for every host.
   */
  match(method: string, host: string, path: string): Route | undefined;
  /**
   * @param key - Digest of the key of a caller.
   * @returns The organisation that holds the key, if any.
   */
  organisationOf(key: KeyDigest): Organisation | undefined;
}

/** The configuration version in force on this daemon. */
export interface CurrentVersion {
  /** The version in force; `undefined` until the daemon has received its first one. */
  readonly snapshot: Snapshot | undefined;
  /** Fires after a new version was put in force. */
  readonly onActivate: Event<Snapshot>;
  /**
   * Validates a version in slices, so that putting it in force takes no long turn of the event loop.
   *
   * @param head - The new version; its digest has been verified.
   * @throws InvalidHeadError - The version is invalid.
   */
  prepare(head: Head): Promise<void>;
  /**
   * Validates a version, unless it was prepared, and puts it in force. Does nothing unless it is newer
   * than the current one.
   *
   * @param head - The new version.
   * @returns Whether it was put in force.
   * @throws InvalidHeadError - The version is invalid; the current one stays in force.
   */
  activate(head: Head): boolean;
}

/** The changes that turn one accepted version into a later one, as peers send them. */
export interface Delta {
  /** Version that the changes apply to; null if they apply to an empty folder. */
  readonly base: VersionNumber | null;
  readonly schema: number;
  readonly version: VersionNumber;
  readonly publicationId: PublicationId;
  readonly digest: Digest;
  readonly changes: readonly FileChange[];
}
