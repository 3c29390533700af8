/**
 * Moving the calls of a service to upstreams of another software version: orders, evidence, decisions and
 * the messages about them.
 *
 * @packageDocumentation
 */
import type { DaemonId, Event, Offset, ServiceName, SoftwareVersion } from '../common/Types';
import type { Rollout } from '../version/Types';

/** An order with the position that identifies it among the orders for its service. */
export interface RolloutOrder extends Rollout {
  /** Offset of its record in the store, or the configuration version that brought it; higher is newer. */
  readonly number: number;
}

/** Final result of a rollout. */
export type Verdict = 'completed' | 'rolled_back';

/** State of a rollout as the store records it. */
export type RecordedState = 'running' | Verdict;

/** The newest record of a service's rollout in the store. */
export interface StatusRecord {
  readonly service: ServiceName;
  readonly state: RecordedState;
  readonly version: SoftwareVersion;
  readonly offset: Offset;
}

/** The newest records of all rollouts, and the offset that the next record gets. */
export interface StatusSnapshot {
  readonly records: readonly StatusRecord[];
  readonly end: Offset;
}

/** An order as read from the store. */
export interface OrderReading {
  readonly order: RolloutOrder;
  /** Whether the order was written since the previous read, so that it is new. */
  readonly isNew: boolean;
}

/** Holds orders and the recorded states of rollouts. */
export interface RolloutStore {
  /** Fires with orders that a read of the configuration found. */
  readonly onOrders: Event<readonly OrderReading[]>;
  /**
   * @returns The newest record of each rollout.
   * @throws LogError - The read failed.
   */
  readStatus(): Promise<StatusSnapshot>;
  /**
   * Appends a record on the condition that nothing was appended since a read.
   *
   * @param record - Service, state and version.
   * @param end - Offset that the record must get.
   * @returns Whether it was appended; false if another record came first.
   * @throws LogError - The record may or may not have been appended.
   */
  appendStatus(record: Omit<StatusRecord, 'offset'>, end: Offset): Promise<boolean>;
}

/** Side of a rollout on which an upstream stands: the ordered version, or any other one. */
export type Side = 'old' | 'target';

/**
 * Counts of responses: those with a status of 500 or above, those that were broken or missing, then a
 * histogram of the durations of the others.
 */
export type Counts = readonly number[];

/** Counts of both sides on one route. */
export interface SideCounts {
  readonly old: Counts;
  readonly target: Counts;
}

/** Counts of a span of time that ends now, by route. */
export type EvidenceWindow = ReadonlyMap<string, SideCounts>;

/** What a comparison of two versions found. */
export interface Finding {
  /** `suspect` is unknown with signs of a fault: nothing may grow until they have been refuted. */
  readonly outcome: 'good' | 'bad' | 'suspect' | 'unknown';
  /** The evidence that decided, for the log. */
  readonly reason: string;
}

/** Counts of one run of a daemon, as sent to peers. */
export interface EvidenceEntry {
  readonly daemon: DaemonId;
  /** Random number of the run, as a restarted daemon counts from 0 again. */
  readonly run: number;
  /** Number that increases with each change of the entry. */
  readonly sequence: number;
  /** Step of the rollout that the daemon carries out; one step back while calls run at old upstreams. */
  readonly step: number;
  /** For each route and side: index of the route x 2 + side, failed, broken, first bucket, length, buckets. */
  readonly cells: readonly number[];
}

/** What is decided about a rollout; sent when it changed. */
export interface RolloutHead {
  readonly durationMs: number;
  readonly ageMs: number;
  /** Whether the age counts from the order, rather than from when a daemon first read of it. */
  readonly isAgeKnown: boolean;
  /** Offset of the record of state `running`; null if it isn't known to be written. */
  readonly runningOffset: number | null;
  /** Why a daemon rolled it back; null if none did. */
  readonly stop: string | null;
  /** Verdict that the store records, or that was reached where there is no store; null if there is none. */
  readonly verdict: Verdict | null;
  /** Versions of earlier orders that weren't completed; they get no calls. */
  readonly barred: readonly SoftwareVersion[];
}

/** News of one rollout for a peer. */
export interface RolloutMessage {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  readonly number: number;
  /** Missing if the peer has it already. */
  readonly head?: RolloutHead | undefined;
  /** Names of the routes to which the entries refer. */
  readonly routes: readonly string[];
  readonly entries: readonly EvidenceEntry[];
}

/** Limits on the calls that an unproven version gets. */
export interface RolloutLimits {
  /** Share of all calls between order and deadline, from 0 to 1. */
  readonly share: number;
  /** Number of calls in addition to that. */
  readonly slack: number;
}
