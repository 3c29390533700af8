/**
 * What lives as long as the daemon's process.
 *
 * @packageDocumentation
 */
import type {
  Address,
  DaemonId,
  Incarnation,
  InstanceId,
  ServiceName,
  ZoneName,
} from '../common/Types';
import type { GossipCounts } from '../connection/GossipMeter';
import type { LinkState } from '../connection/Overlay';
import type { LogTailState, MemberRecord } from '../connection/Types';
import type { Provenance, Route, Service } from '../version/Types';

/** Version in force on a daemon, as `status` shows it. */
export interface DaemonStatus {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly version: number | null;
  readonly digest: string | null;
  /** Milliseconds since the log's head was last known to be this version; null where never. */
  readonly knowledgeAgeMs: number | null;
  /** Why the daemon may lag; empty where nothing is known to be wrong. */
  readonly problems: readonly string[];
}

/** A route and whether it is in force on this daemon. */
export interface RouteState extends Route {
  readonly inForce: boolean;
  readonly reason: string | null;
}

/** The whole state of a daemon. */
export interface Dump {
  readonly status: DaemonStatus;
  readonly uptimeMs: number;
  readonly settings: unknown;
  readonly configuration: {
    readonly files: readonly string[];
    readonly services: readonly Service[];
    readonly routes: readonly RouteState[];
    readonly provenance: readonly Provenance[];
  } | null;
  readonly log: LogTailState & { readonly checkpointsWritten: number };
  readonly members: readonly MemberRecord[];
  readonly links: readonly LinkState[];
  readonly gossip: GossipCounts;
  readonly calls: { readonly open: number; readonly rememberedAttempts: number };
  readonly upstream: UpstreamStatus | null;
  readonly controlBytes: { readonly received: number; readonly sent: number };
  readonly memory: { readonly residentBytes: number; readonly heapBytes: number };
}

/** What the upstream beside a daemon says of itself, again and again. */
export interface Announcement {
  readonly service: ServiceName;
  readonly address: Address;
  readonly state: 'warming' | 'serving' | 'draining';
  readonly healthy: boolean;
  /** Calls that it runs at the same time; `undefined` leaves it to the service's declaration. */
  readonly slots?: number;
  /** Id of this start; `undefined` where upstreams tell none. */
  readonly instance?: InstanceId;
  /** Start in milliseconds since the epoch; tells starts of one id apart. */
  readonly startedAt?: number;
  /** Rises with each announcement of one start. */
  readonly sequence?: number;
  /** How much longer it is slow after its start, in milliseconds. */
  readonly coldMs?: number;
}

/** A start of an upstream that leaves. */
export interface Departure {
  readonly instance: InstanceId;
  readonly startedAt: number | undefined;
}

/** The upstream beside a daemon. */
export interface UpstreamStatus {
  readonly service: ServiceName;
  readonly address: Address;
  readonly state: string;
  readonly running: number;
  readonly waiting: number;
}

/** What a caller of `explain` is told. */
export interface Explanation {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly version: number | null;
  readonly route: Route | null;
  readonly files: readonly Provenance[];
  /** The only service of the route, or the first of its split. */
  readonly service: Service | null;
  readonly services: readonly Service[];
  readonly idempotent: boolean | null;
  readonly upstreams: readonly unknown[];
  /** Why the call would be refused; null where it wouldn't. */
  readonly refusal: string | null;
}
