/**
 * Branded ids, and small interfaces that all parts of the daemon use.
 *
 * @packageDocumentation
 */

declare const brand: unique symbol;

/** A primitive type with a compile-time tag, so that ids of different kinds can't be mixed up. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name };

/** Name of a daemon, unique in the mesh and unchanged by restarts. */
export type DaemonId = Branded<string, 'DaemonId'>;
/** Name of a service, as a `[service.NAME]` table declares it. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of a route, as a `[route.NAME]` table declares it. */
export type RouteName = Branded<string, 'RouteName'>;
/** Name of an organisation, as an `[organisation.NAME]` table declares it. */
export type OrganisationName = Branded<string, 'OrganisationName'>;
/** SHA-256 digest, in hexadecimal, of a key by which callers identify their organisation. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Version of an upstream's software, as the upstream announces it. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** Id of a request, set by the caller. */
export type RequestId = Branded<string, 'RequestId'>;
/** Id of one run of an upstream process; a restart gets a new one. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Name of an availability zone. */
export type ZoneName = Branded<string, 'ZoneName'>;
/** Name of a file in the configuration folder. */
export type FileName = Branded<string, 'FileName'>;
/** `HOST:PORT` of a listening socket. */
export type Address = Branded<string, 'Address'>;
/** Position of a record in a stream of the log service, counted from 0. */
export type Offset = Branded<number, 'Offset'>;
/**
 * Version of the configuration: the offset of the accepted publication that created it. Higher is
 * newer.
 */
export type VersionNumber = Branded<number, 'VersionNumber'>;
/** Random id of a publication; the same each time the publication is appended again. */
export type PublicationId = Branded<string, 'PublicationId'>;
/** SHA-256 digest in hexadecimal. */
export type Digest = Branded<string, 'Digest'>;
/** Number of one run of a daemon's process; among runs on the same VM, higher is newer. */
export type Incarnation = Branded<number, 'Incarnation'>;
/**
 * Sequence number of an attempt to run a call. Increases by one with each attempt that a daemon
 * sends within one incarnation, whatever the call.
 */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;

/** An object that holds resources, such as timers or subscriptions. */
export interface Disposable {
  /** Releases the resources. Further calls have no effect. */
  dispose(): void;
}

/** Subscribes a listener to an event; disposing of the result unsubscribes it. */
export type Event<Value> = (listener: (value: Value) => void) => Disposable;

/** Monotonic clock; tests replace it by one that they advance themselves. */
export interface Clock {
  /** @returns Monotonic time in milliseconds from an arbitrary origin, to measure intervals. */
  now(): number;
}

/** Long work in short steps, so that other work can run in between. */
export type Steps<Result> = Generator<void, Result, void>;

/** Source of random numbers; tests use a fixed seed. */
export interface Random {
  /**
   * @param bound - Exclusive upper bound.
   * @returns A uniformly distributed integer from 0 to `bound - 1`.
   */
  below(bound: number): number;
}

/** Structured fields of a log line, in addition to its message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | object | null | undefined>
>;

/** Writes log lines for one component of the daemon and labels each line with its name. */
export interface Logger {
  /**
   * Writes one line.
   *
   * @param message - A constant sentence, so that lines can be searched by it.
   * @param fields - The data that varies between lines with the same message.
   */
  log(message: string, fields?: LogFields): void;
}
