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
  ServiceName,
  ZoneName,
} from '../common/Types';
import type { Priority, Service } from '../version/Types';

/** What a caller is told about its call. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Identity of one attempt, unique over the fleet and over restarts. */
export interface AttemptId {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
  readonly number: AttemptNumber;
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
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** What travels with an attempt beside the request. */
export interface AttemptContext {
  readonly id: AttemptId;
  readonly service: ServiceName;
  readonly priority: Priority;
  /** Monotonic time in ms by which the caller wants the answer. */
  readonly deadline: number;
  /** Attempts made so far on this level and those above it. */
  readonly attempts: number;
}

/** The head of an answer, its body still to be taken. */
export interface Answer extends Disposable {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
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

/** Sends one attempt to one upstream. */
export interface AttemptTransport {
  /**
   * @param upstream - The chosen upstream.
   * @param request - The call.
   * @param context - What travels with it.
   * @param signal - Cancels it.
   * @returns The answer's head.
   * @throws NotRunError - It is proved that the upstream didn't run it.
   * @throws UnknownOutcomeError - It may have run.
   */
  send(
    upstream: Upstream,
    request: CallRequest,
    context: AttemptContext,
    signal: AbortSignal,
  ): Promise<Answer>;
}

/** Chooses among the upstreams of a service and learns from what calls show. */
export interface Balancer {
  /**
   * @param service - The service in its current version.
   * @param exclude - Daemons that this call tried already.
   * @returns An upstream, or `undefined` where none is left.
   */
  choose(service: Service, exclude: ReadonlySet<DaemonId>): Upstream | undefined;
  /** @param upstream - An attempt to it begins. */
  begin(upstream: Upstream): void;
  /**
   * @param upstream - The attempt to it ended.
   * @param result - What it showed.
   */
  end(upstream: Upstream, result: AttemptResult): void;
  /**
   * @param service - Name of the service.
   * @returns Milliseconds that its answers take on average.
   */
  latencyMs(service: ServiceName): number;
}

/** What one attempt showed about its upstream. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly load: number | undefined }
  | { readonly kind: 'refused'; readonly load: number | undefined }
  | { readonly kind: 'failed' }
  | { readonly kind: 'cancelled' };
