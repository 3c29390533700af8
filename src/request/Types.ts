/**
 * Types for the handling of calls: requests, responses, attempts, upstreams and load reports, and
 * the interfaces between the modules that process them.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import type {
  Address,
  AttemptNumber,
  Branded,
  DaemonId,
  Disposable,
  Incarnation,
  OrganisationName,
  RequestId,
  RouteName,
  ServiceName,
  SoftwareVersion,
  ZoneName,
} from '../common/Types';
import type { Priority } from '../version/Types';
import type { CallFrame, RefusalFrame } from './channelFrames';

/**
 * Position of a request among the pipelined requests of a caller's connection, on which responses are
 * written in the order of the requests.
 */
export interface PipelinePosition {
  /** Number that identifies the caller's connection, unique in this process. */
  readonly connection: number;
  /**
   * Number of earlier pipelined requests on the same connection whose responses hadn't been sent
   * when this request arrived.
   */
  readonly ahead: number;
  /**
   * Waits until the responses to all earlier requests on the connection are sent.
   *
   * @returns True when they were sent, so that this response can be written; false if the connection
   * closed first.
   */
  whenWritable(): Promise<boolean>;
  /**
   * Closes the connection after the response to this request, whose head must not be written yet.
   *
   * @returns False if the connection stays open, as a later request on it was started already.
   */
  closeConnection(): boolean;
  /**
   * Waits until the response is sent.
   *
   * @returns True when the whole response was handed to the network; false if the connection closed
   * first.
   */
  whenSent(): Promise<boolean>;
}

/** Names of the headers exchanged with callers and upstreams, in lower case. */
export interface HeaderNames {
  /** On requests: the caller's request id, forwarded unchanged. On responses: the same id, echoed. */
  readonly requestId: string;
  /** Whether upstreams echo the request id on every response, so that one without it proves nothing. */
  readonly isRequestIdAlwaysEchoed: boolean;
  /** On requests: milliseconds until the sender's deadline. */
  readonly deadlineMs: string;
  /**
   * On requests to upstreams: name of the caller's service, which is that of the upstream beside
   * the daemon to which the caller sent the call.
   */
  readonly callerService: string;
  /** On callers' requests: key that identifies the caller's organisation; never forwarded. */
  readonly apiKey: string;
  /** On requests to upstreams: name of the organisation whose key the caller sent. */
  readonly organisation: string;
  /** On requests to upstreams: id of the only upstream instance that may run the request. */
  readonly expectedInstance: string;
  /** On responses: set by an upstream that did not run the request. */
  readonly notExecuted: string;
  /** On responses: signature of the upstream; `undefined` if upstreams don't sign responses. */
  readonly signature: string | undefined;
}

/** Proof that the version in force was the newest a short time ago, so that none of its keys was revoked before. */
export interface KeyProof {
  /** Whether calls with a key may be accepted. */
  readonly isFresh: boolean;
  /** Time in ms since the version in force is known to have been the newest; infinite if it isn't known. */
  readonly ageMs: number;
}

/** Why a call was refused for its key: it has none, an unknown one, or the proof is too old. */
export type KeyRefusal = 'missing' | 'unknown' | 'proof' | 'closed';

/** Outcome of a call as reported to its caller; `unknown` means that the call may have run. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Identity of one attempt, unique across all daemons and their restarts. */
export interface AttemptId {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  readonly number: AttemptNumber;
}

/** Handles the calls that other daemons send over channels. */
export interface ChannelCallHandler {
  /**
   * Runs a call on the upstream beside this daemon.
   *
   * @param frame - Call of another daemon.
   * @param cancel - Cancels the call.
   * @returns Response of the upstream, with the upstream's load.
   * @throws NotRunError - The call didn't run and never will.
   * @throws UnknownOutcomeError - The call may have run.
   */
  run(frame: CallFrame, cancel: CancelSignal): Promise<Answer>;
  /**
   * Logs the failure of a call and builds the refusal for the daemon that sent it.
   *
   * @param frame - Call of another daemon.
   * @param error - Why the call has no response.
   * @returns Fields of the refusal frame.
   */
  refusalOf(frame: CallFrame, error: Error): Omit<RefusalFrame, 'kind' | 'number'>;
  /**
   * Logs that a channel was closed because of a malformed frame.
   *
   * @param daemon - Daemon that sent the frame.
   * @param error - Why the frame can't be decoded.
   */
  reportInvalidFrame(daemon: DaemonId, error: Error): void;
}

/**
 * State of an attempt according to the daemon beside the upstream. A forbidden attempt hasn't run
 * and never will; the record of a forgotten one was dropped from memory, so its outcome is unknown.
 */
export type AttemptState = 'queued' | 'running' | 'done' | 'forbidden' | 'forgotten';

/** An upstream as a load-balancing target. */
export interface Upstream {
  readonly service: ServiceName;
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Address at which the daemon beside the upstream accepts calls from other daemons. */
  readonly address: Address;
  readonly zone: ZoneName;
  /**
   * Whether a daemon suspects the daemon beside the upstream of having failed; such an upstream is
   * chosen only if no other is left.
   */
  readonly suspect: boolean;
  /** Whether the platform reports the upstream as healthy; results of calls take precedence. */
  readonly healthHint: boolean;
  /** Monotonic time in milliseconds at which this daemon first saw the upstream serving. */
  readonly servingSince: number;
  /**
   * Maximum number of calls that the upstream runs at the same time; `undefined` if the number
   * configured for its service applies.
   */
  readonly slots: number | undefined;
  /** Version of the upstream's software; `undefined` if it reported none. */
  readonly version?: SoftwareVersion | undefined;
}

/** Lists the upstreams of services. */
export interface UpstreamDirectory {
  /**
   * @param service - Name of the service.
   * @returns Upstreams of the service that accept new calls.
   */
  upstreams(service: ServiceName): readonly Upstream[];
}

/** A request, fully buffered so that it can be retried. */
export interface CallRequest {
  readonly method: string;
  /** Path, including the query. */
  readonly path: string;
  /** Request id that the caller sent, if any. */
  readonly requestId: RequestId | undefined;
  /** Names and values of the headers, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** Metadata that is sent with an attempt in addition to the request. */
export interface AttemptContext {
  readonly id: AttemptId;
  readonly service: ServiceName;
  readonly route: RouteName;
  readonly priority: Priority;
  /** Whether the call may run more than once; not transmitted to the receiving daemon. */
  readonly idempotent: boolean;
  /** Monotonic time in milliseconds at which the caller stops waiting. */
  readonly deadline: number;
  /**
   * Latency objective of the call, as a monotonic time in milliseconds. Up to then, a response is
   * as useful as an immediate one.
   */
  readonly objective: number;
  /** Caller's service: that of the upstream beside the daemon to which the caller sent the call. */
  readonly callerService: ServiceName | undefined;
  /** Organisation of the caller; `undefined` if it has none, as for calls of upstreams. */
  readonly organisation: OrganisationName | undefined;
  /** Number of attempts made so far, summed over this call and the calls that led to it. */
  readonly attempts: number;
  /**
   * Whether an upstream may have received an earlier attempt of this call, or of a call that led to it, so
   * that the calls which the upstream makes for it are repeats too.
   */
  readonly isRepeat: boolean;
}

/** What the upstream beside this daemon is running. */
export interface LocalRuns {
  /** Whether the upstream runs nothing. */
  readonly isIdle: boolean;
  /** Share of the recent time in which the upstream ran nothing, 0 to 1. */
  readonly idleShare: number;
  /** Share of repeats among the calls that the upstream is running, 0 to 1. */
  readonly repeatShare: number;
}

/** A response whose head has arrived and whose body can be streamed. */
export interface Answer extends Disposable {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Load that the upstream's daemon reported with the response, if any. */
  readonly load?: UpstreamLoad;
  /** The complete body, if all of it has arrived and it hasn't been piped. */
  readonly completeBody?: Buffer | undefined;
  /** Whether the body was truncated or aborted. */
  readonly isBroken?: boolean;
  /** Number of body bytes received so far. */
  readonly receivedBytes?: number;
  /** @param listener - Called once, when the body is complete, truncated or abandoned. */
  onceClosed?(listener: () => void): void;
  /**
   * Streams the body with backpressure; may be called once.
   *
   * @param sink - Receives the body.
   * @returns Resolves when the body is complete; rejects if it is truncated or aborted.
   */
  pipe(sink: AnswerSink): Promise<void>;
}

/** Receives the body of a response. */
export interface AnswerSink {
  /**
   * @param chunk - Next part of the body.
   * @returns False to pause the source until `onDrain` reports room.
   */
  write(chunk: Buffer): boolean;
  /** @param resume - Called once, when the sink can take more data. */
  onDrain(resume: () => void): void;
}

/** Signals cancellation, with a subset of the interface of `AbortSignal`. Listeners are called once. */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Reason of the cancellation; `undefined` before it. */
  readonly reason: unknown;
  addEventListener(type: 'abort', listener: () => void, options?: { readonly once: true }): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** Sends one attempt to one upstream. */
export interface AttemptTransport {
  /**
   * @param upstream - Target of the attempt.
   * @param request - Request to send.
   * @param context - Metadata of the attempt.
   * @param signal - Cancels the attempt.
   * @param onSilent - Called, possibly several times, while the upstream's daemon is unresponsive but
   * not known to have terminated. The attempt continues and may still be answered.
   * @returns The response, as soon as its head has arrived.
   * @throws NotRunError - The upstream provably didn't run the attempt.
   * @throws UnknownOutcomeError - The upstream may have run the attempt.
   */
  send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    onSilent?: () => void,
  ): Promise<Answer>;
}

/** Short key of a zone in load reports. */
export type ZoneKey = Branded<number, 'ZoneKey'>;

/**
 * What a daemon passes on about another upstream, with the load of its own. It is used to decide how many
 * calls leave a zone, not to choose an upstream: daemons with the same reports would crowd on the same one.
 */
export interface RelayedReport {
  /** Key of the daemon beside the upstream. */
  readonly key: number;
  /** Age of the report, in milliseconds. */
  readonly ageMs: number;
  readonly slots: number;
  readonly waiting: number;
  readonly meanMs: number;
  readonly arrivals: readonly number[];
}

/** Load of an upstream, which the daemon beside it reports with responses and refusals. */
export interface UpstreamLoad {
  /** Number of running calls, each of which holds a slot. */
  readonly running: number;
  /** Number of calls that are queued for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** Expected time until a call that arrives now gets a slot, in milliseconds. */
  readonly waitMs: number;
  /**
   * Number of calls on other routes or this one that keep a call of the same route from a slot: those that hold one or
   * would get one before it, and slots that it must leave free; `undefined` from older releases.
   */
  readonly ahead?: number | undefined;
  /**
   * Average duration, in milliseconds, of calls on the same route as the call whose response or
   * refusal carries this report; `undefined` before the first call.
   */
  readonly durationMs: number | undefined;
  /** Share of recent calls that failed at the upstream, 0 to 1. */
  readonly failureShare: number;
  /** Event loop lag of the daemon beside the upstream, in milliseconds. */
  readonly lagMs: number;
  /**
   * Average duration, in milliseconds, of calls of all routes; `undefined` before the first call, and from
   * older releases.
   */
  readonly meanMs?: number | undefined;
  /**
   * Rates at which calls arrive: keys of the zones that they come from and whole calls per second,
   * alternating; `undefined` from older releases.
   */
  readonly arrivals?: readonly number[] | undefined;
  /** A report on another upstream of the service; `undefined` if there is none to pass on. */
  readonly relayed?: RelayedReport | undefined;
}

/** Criteria by which the balancer chooses an upstream for a call. */
export interface PlacementCriteria {
  readonly service: ServiceName;
  readonly route: RouteName;
  /** Number of slots to assume for an upstream that hasn't reported its own number. */
  readonly slots: number;
  /** Milliseconds left until the call misses its latency objective. */
  readonly objectiveMs: number;
  /** Daemons that must not be chosen, as the call tried them already. */
  readonly exclude: ReadonlySet<DaemonId>;
}

/** Load balancer: chooses an upstream for each attempt from load reports and earlier results. */
export interface Balancer {
  /**
   * @param placement - Criteria of the call.
   * @returns An upstream, or `undefined` if all are excluded.
   */
  choose(placement: PlacementCriteria): Upstream | undefined;
  /** @param upstream - Upstream to which an attempt is about to be sent. */
  begin(upstream: Upstream): void;
  /**
   * @param upstream - Upstream whose attempt has ended.
   * @param route - Route of the call.
   * @param result - Result of the attempt.
   */
  end(upstream: Upstream, route: RouteName, result: AttemptResult): void;
  /**
   * @param service - Name of the service.
   * @param route - Route to the service.
   * @returns Average latency of responses in milliseconds; `undefined` before enough were measured.
   */
  latencyMs(service: ServiceName, route: RouteName): number | undefined;
  /**
   * @param upstream - Upstream to look up.
   * @returns Last reported load of the upstream, if any.
   */
  reportedLoad(upstream: Upstream): ReportedLoad | undefined;
  /**
   * Records the traffic of an answered call, from which the cost of leaving the zone follows.
   *
   * @param service - Name of the service.
   * @param route - Route to the service.
   * @param bytes - Size of the bodies of the request and of the response.
   */
  recordBytes?(service: ServiceName, route: RouteName, bytes: number): void;
}

/** The last load report of an upstream, and its age. */
export interface ReportedLoad {
  readonly load: UpstreamLoad;
  /** Time since the report, in milliseconds. */
  readonly ageMs: number;
}

/** How an attempt at an upstream ended, for the comparison of the upstreams' software versions. */
export interface AttemptEnd {
  /** Status of the response; `undefined` if there was none. */
  readonly status: number | undefined;
  /** Whether the caller's daemon gave the attempt up before a response arrived. */
  readonly isCancelled: boolean;
  /** Whether the attempt provably didn't run. */
  readonly isNotRun: boolean;
  readonly elapsedMs: number;
}

/** Result of one attempt, with the measurements that the balancer uses for later choices. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly load?: UpstreamLoad }
  | { readonly kind: 'refused'; readonly load?: UpstreamLoad }
  | { readonly kind: 'failed' }
  | { readonly kind: 'cancelled' };

/**
 * Result of probing a daemon.
 *
 * - `answers`: it responded to the probe.
 * - `silent`: it accepts connections but doesn't respond, so its process exists but is overloaded or
 *   frozen.
 * - `unconnected`: no connection was established in time. Its accept queue is full, so that SYN packets
 *   are dropped, or its VM lost power or is partitioned from the network.
 * - `unreachable`: it refuses connections, so its process has terminated, along with its calls.
 */
export type ProbeResult = 'answers' | 'silent' | 'unconnected' | 'unreachable';

/** Callbacks about the state of a daemon from which a call awaits a response. */
export interface PeerWatcher {
  /** The daemon is silent but may still respond; called repeatedly while this state lasts. */
  onSilent(): void;
  /**
   * No response can be expected from the daemon; called repeatedly while this state lasts.
   *
   * @param reason - Evidence that the daemon is unreachable, used in error messages.
   */
  onUnreachable(reason: string): void;
}

/** Failure detector for other daemons. */
export interface Liveness {
  /**
   * @param address - Address of a daemon.
   * @returns Whether the daemon was found unresponsive and hasn't responded since.
   */
  isUnresponsive(address: Address): boolean;
  /** @param address - Address of a daemon that has just responded. */
  reportResponse(address: Address): void;
  /** @param address - Address of a daemon that refused a connection, as its process has terminated. */
  reportConnectionRefused(address: Address): void;
  /** @param address - Address of a daemon to which the network currently has no route. */
  reportNoRoute(address: Address): void;
  /**
   * Watches a daemon while a call awaits a response from it.
   *
   * @param address - Address of the daemon.
   * @param watcher - Notified of the daemon's state.
   * @returns Handle that ends the watch when it is disposed.
   */
  watch(address: Address, watcher: PeerWatcher): Disposable;
}

/** What the bound on the calls of an organisation tolerates beyond its rate and burst. */
export interface QuotaTolerance {
  /** Length of the window in which calls are counted, in milliseconds. */
  readonly windowMs: number;
  /** Tolerated share beyond rate and burst, 0 to 1. */
  readonly over: number;
  /** Tolerated number of calls beyond that. */
  readonly slack: number;
}

/** Credits of one organisation in a {@link QuotaRequest}; a credit permits one call. */
export interface QuotaClaim {
  readonly organisation: OrganisationName;
  /** Credits that the sender holds, without those that it returns. */
  readonly held: number;
  /** Credits that the sender returns unspent. */
  readonly returned: number;
  /** Credits for calls that wait. */
  readonly needed: number;
  /** Credits for calls that are expected within a second. */
  readonly wanted: number;
}

/** Message of a daemon to the owner of a credit pool. */
export interface QuotaRequest {
  readonly from: DaemonId;
  /** Random number of the sender's process. */
  readonly session: number;
  readonly pool: number;
  /** Increases with each request of the sender's process to any owner of the pool. */
  readonly sequence: number;
  /** Number of daemons that the sender knows, including those it can't reach. */
  readonly known: number;
  /**
   * The owner's process and clock reading, from its latest reply. The sender lends its part of the rate to
   * the owner until a fixed time after that reading; null: the sender lends nothing yet.
   */
  readonly lent: { readonly session: number; readonly stamp: number } | null;
  /** Whether the sender takes its part of the rate back. */
  readonly release: boolean;
  readonly claims: readonly QuotaClaim[];
}

/** Reply to one claim. */
export interface QuotaGrant {
  readonly granted: number;
  /** Whether the lifetime of the held credits starts anew. */
  readonly renewed: boolean;
  /** Milliseconds until the owner expects to have a credit. */
  readonly waitMs: number;
}

/** Reply of the owner of a credit pool. */
export interface QuotaReply {
  /** Random number of the owner's process. */
  readonly session: number;
  /** The owner's clock, in milliseconds. */
  readonly stamp: number;
  /** Whether the sender's part of the rate is lent to the owner. */
  readonly lent: boolean;
  /** Share of the rate that is lent to the owner, 0 to 1. */
  readonly share: number;
  /** After a release: milliseconds until the sender may lend its part to another owner. */
  readonly freeAfterMs: number;
  /** Replies to the claims, in their order; empty if the request was outdated or lends nothing. */
  readonly grants: readonly QuotaGrant[];
}
