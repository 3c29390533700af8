/**
 * What lives for one call, and the interfaces it uses.
 *
 * @packageDocumentation
 */
import type { IncomingHttpHeaders } from 'node:http';
import type {
  Address,
  AttemptNumber,
  DaemonId,
  Disposable,
  Incarnation,
  RequestId,
  RouteName,
  ServiceName,
  ZoneName,
} from '../common/Types';
import type { Priority } from '../version/Types';
import type { CallFrame, RefusalFrame } from './channelFrames';

/** The place of a request on its caller's connection, on which answers leave in the order of requests. */
export interface Turn {
  /** Number of the connection, unique in this process. */
  readonly connection: number;
  /** Requests before it whose answers hadn't left when it came. */
  readonly ahead: number;
  /** @returns Whether the answer can be written, once those before it left or the connection closed. */
  due(): Promise<boolean>;
  /**
   * Ends the connection with the answer, whose head isn't written yet.
   *
   * @returns Whether it ends; it doesn't where a request behind it was begun.
   */
  close(): boolean;
  /** @returns Whether the whole answer was handed to the network, once it was or the connection closed. */
  left(): Promise<boolean>;
}

/** Names of the headers that callers and upstreams use, in lower case. */
export interface HeaderNames {
  /** On requests: the caller's id, passed on as it came. On answers: the same id, echoed. */
  readonly requestId: string;
  /** On requests: milliseconds that the sender will wait. */
  readonly deadlineMs: string;
  /** On requests to upstreams: the service beside which the call began. */
  readonly callerService: string;
  /** On requests to upstreams: the only instance that may run the request. */
  readonly expectedInstance: string;
  /** On answers: the upstream says that it did not run the request. */
  readonly notExecuted: string;
  /** On answers: made by the upstream; `undefined` where upstreams don't sign. */
  readonly signature: string | undefined;
}

/** What a caller is told about its call. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Identity of one attempt, unique over the fleet and over restarts. */
export interface AttemptId {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  readonly number: AttemptNumber;
}

/** Runs the calls that other daemons send over channels. */
export interface ChannelCalls {
  /**
   * @param frame - A call of another daemon.
   * @param cancel - Cancels it.
   * @returns The upstream's answer, with its load.
   * @throws NotRunError - It didn't run and never will.
   * @throws UnknownOutcomeError - It may have run.
   */
  run(frame: CallFrame, cancel: CancelSignal): Promise<Answer>;
  /**
   * @param frame - A call.
   * @param error - Why it has no answer; it is logged there.
   * @returns What the other daemon is told.
   */
  refusalOf(frame: CallFrame, error: Error): Omit<RefusalFrame, 'kind' | 'number'>;
  /**
   * @param daemon - Who sent a frame that can't be read.
   * @param error - Why.
   */
  noteBadFrame(daemon: DaemonId, error: Error): void;
}

/** What an upstream's daemon knows about an attempt. */
export type AttemptState = 'queued' | 'running' | 'done' | 'forbidden' | 'forgotten';

/** An upstream as callers' daemons see it. */
export interface Upstream {
  readonly service: ServiceName;
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  /** Where the daemon beside it takes calls from other daemons. */
  readonly address: Address;
  readonly zone: ZoneName;
  /** Whether some daemon lost sight of it; used only where no other is left. */
  readonly suspect: boolean;
  /** What the platform says of its health; a hint that calls outweigh. */
  readonly healthHint: boolean;
  /** Monotonic time in ms since which it serves, as far as this daemon saw. */
  readonly servingSince: number;
  /** Calls that it runs at the same time; `undefined` leaves it to the service's declaration. */
  readonly slots: number | undefined;
}

/** Where calls can go. */
export interface UpstreamDirectory {
  /**
   * @param service - Name of the service.
   * @returns Its upstreams that take new work.
   */
  upstreams(service: ServiceName): readonly Upstream[];
}

/** A request held whole, so that it can be sent again. */
export interface CallRequest {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  /** The caller's id; `undefined` where it sent none. */
  readonly requestId: RequestId | undefined;
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** What travels with an attempt beside the request. */
export interface AttemptContext {
  readonly id: AttemptId;
  readonly service: ServiceName;
  readonly route: RouteName;
  readonly priority: Priority;
  /** Whether it may run more than once; known to the daemon that sends it only. */
  readonly idempotent: boolean;
  /** Monotonic time in ms by which the caller wants the answer. */
  readonly deadline: number;
  /** Monotonic time in ms by which the answer is as useful as an immediate one. */
  readonly objective: number;
  /** Service beside which the call began. */
  readonly callerService: ServiceName | undefined;
  /** Attempts made so far on this level and those above it. */
  readonly attempts: number;
}

/** The head of an answer, its body still to be taken. */
export interface Answer extends Disposable {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Load of the upstream, where its daemon told it. */
  readonly load?: UpstreamLoad;
  /** The body, where all of it is here and nobody has taken it. */
  readonly whole?: Buffer | undefined;
  /** Whether the body broke off, or was given up. */
  readonly broken?: boolean;
  /**
   * Hands the body over with backpressure, once.
   *
   * @param sink - Receives the body.
   * @returns Resolves when the body is complete and rejects when it breaks off.
   */
  pipe(sink: AnswerSink): Promise<void>;
}

/** Receives the body of an answer. */
export interface AnswerSink {
  /**
   * @param chunk - Next part of the body.
   * @returns False to pause until `onDrain`.
   */
  write(chunk: Buffer): boolean;
  /** @param resume - Called once, when more can be written. */
  onDrain(resume: () => void): void;
}

/** Tells work in progress that it was cancelled; each listener is called once. */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Why, once it was cancelled. */
  readonly reason: unknown;
  addEventListener(type: 'abort', listener: () => void, options?: { readonly once: true }): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** Sends one attempt to one upstream. */
export interface AttemptTransport {
  /**
   * @param upstream - The chosen upstream.
   * @param request - The call.
   * @param context - What travels with it.
   * @param signal - Cancels it.
   * @param onSilent - Called, perhaps again and again, while the upstream's daemon gives no sign of
   * life though it isn't known to have ended. The attempt goes on and may still be answered.
   * @returns The answer's head.
   * @throws NotRunError - It is proved that the upstream didn't run it.
   * @throws UnknownOutcomeError - It may have run.
   */
  send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: CancelSignal,
    onSilent?: () => void,
  ): Promise<Answer>;
}

/** What the daemon beside an upstream tells of it, with answers and refusals; milliseconds. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** What a call that arrives now would wait for a slot. */
  readonly waitMs: number;
  /** What calls of the route take at it; `undefined` before any was seen. */
  readonly durationMs: number | undefined;
  /** Share of the latest calls that it failed, 0 to 1. */
  readonly failureShare: number;
  /** How late the daemon beside it gets to its work. */
  readonly lagMs: number;
}

/** What a call is placed by. */
export interface Placement {
  readonly service: ServiceName;
  readonly route: RouteName;
  /** Slots of an upstream that hasn't told its own. */
  readonly slots: number;
  /** Milliseconds that are left until the answer is late. */
  readonly objectiveMs: number;
  /** Daemons that this call tried already. */
  readonly exclude: ReadonlySet<DaemonId>;
}

/** Chooses among the upstreams of a service and learns from what calls show. */
export interface Balancer {
  /**
   * @param placement - What the call is placed by.
   * @returns An upstream, or `undefined` where none is left.
   */
  choose(placement: Placement): Upstream | undefined;
  /** @param upstream - An attempt to it begins. */
  begin(upstream: Upstream): void;
  /**
   * @param upstream - The attempt to it ended.
   * @param route - Route of the call.
   * @param result - What it showed.
   */
  end(upstream: Upstream, route: RouteName, result: AttemptResult): void;
  /**
   * @param service - Name of the service.
   * @param route - A route to it.
   * @returns Milliseconds that its answers take on average; `undefined` before enough were seen.
   */
  latencyMs(service: ServiceName, route: RouteName): number | undefined;
  /**
   * @param upstream - An upstream.
   * @returns What was last heard of its load and how many milliseconds ago, for the log.
   */
  known(upstream: Upstream): KnownLoad | undefined;
}

/** A load as it was last heard of. */
export interface KnownLoad {
  readonly load: UpstreamLoad;
  readonly ageMs: number;
}

/** What one attempt showed about its upstream. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly load?: UpstreamLoad }
  | { readonly kind: 'refused'; readonly load?: UpstreamLoad }
  | { readonly kind: 'failed' }
  | { readonly kind: 'cancelled' };

/**
 * What a probe of a daemon showed. A silent one takes connections, so it lives: it is too busy to
 * answer, or frozen. With an unconnected one no connection came about in time: its queue of new
 * connections is full, so that opening packets are dropped; or it lost power, or is cut off. An
 * unreachable one refuses connections: its process has ended, and what was under way there with it.
 */
export type ProbeResult = 'answers' | 'silent' | 'unconnected' | 'unreachable';

/** Is told of a daemon whose answer is awaited. */
export interface PeerWatcher {
  /** It gives no sign of life, and may yet answer; called again as long as that is so. */
  onSilent(): void;
  /**
   * No answer of it is to be expected; called again as long as that is so.
   *
   * @param reason - What shows that.
   */
  onUnreachable(reason: string): void;
}

/** Watches whether other daemons answer at all. */
export interface Liveness {
  /**
   * @param address - Of a daemon.
   * @returns Whether it was found not to answer and hasn't answered since.
   */
  isUnresponsive(address: Address): boolean;
  /** @param address - A daemon that has just answered something. */
  heard(address: Address): void;
  /** @param address - A daemon that refused a connection, so that its process has ended. */
  refused(address: Address): void;
  /** @param address - A daemon to which the network knows no way now. */
  unconnected(address: Address): void;
  /**
   * Watches a daemon while an answer of it is awaited.
   *
   * @param address - The daemon.
   * @param watcher - Told what is found.
   * @returns Ends the watch.
   */
  watch(address: Address, watcher: PeerWatcher): Disposable;
}
