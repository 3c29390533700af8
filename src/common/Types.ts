/**
 * Branded ids and the small interfaces that every layer shares.
 *
 * @packageDocumentation
 */

declare const brand: unique symbol;

/** A primitive that only type-checks where the same brand is asked for. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name };

/** Name of a daemon, unique in the fleet; it stays the same over restarts. */
export type DaemonId = Branded<string, 'DaemonId'>;
/** Name of a service, as a `[service.NAME]` table declares it. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of a route, as a `[route.NAME]` table declares it. */
export type RouteName = Branded<string, 'RouteName'>;
/** Id that a caller gave its request. */
export type RequestId = Branded<string, 'RequestId'>;
/** Id of one start of an upstream. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Name of an availability zone. */
export type ZoneName = Branded<string, 'ZoneName'>;
/** Name of a file in the configuration folder. */
export type FileName = Branded<string, 'FileName'>;
/** `HOST:PORT` of a listening socket. */
export type Address = Branded<string, 'Address'>;
/** Position of a record in a log stream. */
export type Offset = Branded<number, 'Offset'>;
/** Offset of the accepted publication that made a configuration; higher is newer. */
export type VersionNumber = Branded<number, 'VersionNumber'>;
/** Random id of one publication, the same over resends. */
export type PublicationId = Branded<string, 'PublicationId'>;
/** SHA-256 in hexadecimal. */
export type Digest = Branded<string, 'Digest'>;
/** Number of a daemon's process among the starts of its VM; higher is newer. */
export type Incarnation = Branded<number, 'Incarnation'>;
/** Number of an attempt, rising by one within one incarnation of the daemon that sent it. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;

/** Releases what an object holds. Calling it twice is harmless. */
export interface Disposable {
  dispose(): void;
}

/** Subscribes a listener and returns the subscription. */
export type Event<Value> = (listener: (value: Value) => void) => Disposable;

/** Source of time, in milliseconds. */
export interface Clock {
  /** Monotonic time, for intervals. */
  now(): number;
}

/** Source of random numbers. */
export interface Random {
  /**
   * @param bound - Exclusive upper bound.
   * @returns An integer from 0 to `bound - 1`.
   */
  below(bound: number): number;
}

/** Fields of a log line, beside its message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | object | null | undefined>
>;

/** Writes the log lines of one part. */
export interface Logger {
  /**
   * @param message - One short sentence.
   * @param fields - What the sentence is about.
   */
  log(message: string, fields?: LogFields): void;
}
