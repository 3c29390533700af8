/**
 * Types of the daemon's process: its inspection and the registration of its upstream.
 *
 * @packageDocumentation
 */
import type {
  Address,
  DaemonId,
  Incarnation,
  InstanceId,
  ServiceName,
  SoftwareVersion,
  ZoneName,
} from '../common/Types';
import type { GossipCounts } from '../connection/GossipMeter';
import type { LinkState } from '../connection/Overlay';
import type { QuotaState } from '../connection/QuotaExchange';
import type { LogReaderState, MemberRecord } from '../connection/Types';
import type { SlotCounts } from '../request/LocalUpstream';
import type { QuotaUse } from '../request/QuotaClient';
import type { RolloutState } from '../rollout/Rollout';
import type { Organisation, Provenance, Route, Service } from '../version/Types';

/** Version in force on a daemon, as reported by the command `status`. */
export interface DaemonStatus {
  readonly id: DaemonId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly version: number | null;
  readonly digest: string | null;
  /** Milliseconds since this version was last confirmed to be the newest in the log; null if never. */
  readonly knowledgeAgeMs: number | null;
  /** Age in ms of the proof that this version is recent; null if there is none or no bound of revocation. */
  readonly proofAgeMs: number | null;
  /** Reasons why the version may be outdated; empty if no problem is known. */
  readonly problems: readonly string[];
  /** Quotas of the organisations that have sent calls here lately; older releases leave them out. */
  readonly quotas?: readonly QuotaUse[];
  /** Rollouts without a verdict, and why they stand where they stand. */
  readonly rollouts: readonly RolloutState[];
}

/** A route and whether it is in force on this daemon. */
export interface RouteState extends Route {
  readonly inForce: boolean;
  /** Why the route isn't in force; null if it is. */
  readonly reason: string | null;
}

/** An organisation, without its keys. */
export interface OrganisationState extends Omit<Organisation, 'keys'> {
  /** Number of its keys. */
  readonly keys: number;
}

/** Complete state of a daemon, as reported by the command `dump`. */
export interface DaemonDump {
  readonly status: DaemonStatus;
  readonly uptimeMs: number;
  readonly settings: unknown;
  readonly configuration: {
    readonly files: readonly string[];
    readonly services: readonly Service[];
    readonly routes: readonly RouteState[];
    readonly organisations: readonly OrganisationState[];
    readonly provenance: readonly Provenance[];
  } | null;
  /** All rollouts, including those that have ended. */
  readonly rollouts: readonly RolloutState[];
  readonly log: LogReaderState & { readonly checkpointsWritten: number };
  readonly members: readonly MemberRecord[];
  readonly links: readonly LinkState[];
  readonly gossip: GossipCounts;
  readonly calls: { readonly open: number; readonly rememberedAttempts: number };
  readonly quotas: QuotaState;
  readonly upstream: UpstreamStatus | null;
  readonly controlBytes: { readonly received: number; readonly sent: number };
  readonly memory: { readonly residentBytes: number; readonly heapBytes: number };
}

/** State that an upstream reports to the daemon on its VM; each report renews its lease. */
export interface Announcement {
  readonly service: ServiceName;
  readonly address: Address;
  readonly state: 'warming' | 'serving' | 'draining';
  readonly healthy: boolean;
  /** Maximum number of concurrent calls; `undefined` to use that of the service's configuration. */
  readonly slots?: number;
  /** Id of the upstream process; `undefined` if it reports none. */
  readonly instance?: InstanceId;
  /**
   * Start time of the process, in milliseconds since the epoch; distinguishes processes that reuse
   * an instance id.
   */
  readonly startedAt?: number;
  /** Sequence number, which increases with each announcement of one upstream process. */
  readonly sequence?: number;
  /** Version of the upstream's software; `undefined` if it reports none. */
  readonly version?: SoftwareVersion;
  /** Remaining warm-up time of the upstream, in which it is slower, in milliseconds. */
  readonly coldMs?: number;
}

/** An upstream process that leaves the mesh. */
export interface Departure {
  readonly instance: InstanceId;
  /** Start time of the upstream process, in milliseconds since the epoch, if known. */
  readonly startedAt: number | undefined;
}

/** The upstream on a daemon's VM, and the use of its slots. */
export interface UpstreamStatus extends SlotCounts {
  readonly service: ServiceName;
  readonly address: Address;
  readonly state: string;
}

/** How a call would be routed, as reported by the command `explain`. */
export interface RouteExplanation {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly version: number | null;
  readonly route: Route | null;
  readonly files: readonly Provenance[];
  /** The service that the route leads to, or the first one if the route splits its traffic. */
  readonly service: Service | null;
  readonly services: readonly Service[];
  readonly idempotent: boolean | null;
  /** Whether the call needs the key of one of the organisations. */
  readonly needsKey: boolean;
  readonly organisations: readonly OrganisationState[];
  readonly proofAgeMs: number | null;
  readonly upstreams: readonly unknown[];
  /** Why the call would be rejected; null if it would not. */
  readonly refusal: string | null;
}
