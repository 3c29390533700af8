import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { Address, RequestId } from '../common/Types';
import AnswerFilter from './AnswerFilter';
import ConnectionMeter from './ConnectionMeter';

/** Settings of the connections to an upstream. */
export interface UpstreamConnectionsOptions {
  /** Maximum number of connections. */
  readonly connections: number;
  /** Longest time to establish a connection, in milliseconds. */
  readonly connectMs: number;
  /** Idle timeout of a connection in ms, unless the upstream announces a shorter one. */
  readonly keepAliveMs: number;
  /** Name of the header in which responses echo the request id, in lower case. */
  readonly idHeader: string;
}

/** Most bytes of header names and values in a response; the default of Node.js. */
const MAX_HEADER_BYTES = 16 * 1024;
/**
 * Most bytes that the HTTP client gets at a time. It raises an error for each header beyond its limit, and
 * only what it already has of them can follow after it has closed the connection.
 */
const MAX_READ_BYTES = 4 * 1024;
/**
 * Bytes that are written to find out whether a connection was reset: an empty line, which HTTP
 * servers ignore before a request.
 */
const WRITE_PROBE = '\r\n';

/**
 * One keep-alive connection to an upstream, which is opened again for the next request once it has ended.
 * It carries one request at a time.
 *
 * For a response body that is delimited by the close of its connection, the HTTP client treats a reset
 * as the regular end. The event loop also reports a reset directly after data as a regular end. The
 * listeners of this class run before those of the client. They detect the first case by the error
 * event and the second one by a probe write, which fails only on a connection that was reset.
 */
export default class UpstreamConnection {
  /** HTTP client that sends the requests. */
  public readonly client: Client;

  /** Id of the latest request on this connection that was refused. */
  public refusedId: RequestId | undefined;

  private meter: ConnectionMeter | undefined;

  private filter: AnswerFilter | undefined;

  private socket: Socket | undefined;

  private awaitedId: RequestId | undefined;

  private busy = false;

  private retired = false;

  private wasReset = false;

  private hasEnded = false;

  /**
   * @param address - Address of the upstream.
   * @param options - Timeouts of the connection, and the header by which responses are matched.
   * @param onForeignAnswer - Called with the id of each response that was removed, as it belongs to
   * another request than the one in progress.
   */
  public constructor(
    address: Address,
    private readonly options: UpstreamConnectionsOptions,
    private readonly onForeignAnswer: (echoedId: string) => void,
  ) {
    const connect = buildConnector({ timeout: options.connectMs, allowHalfOpen: true });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: options.keepAliveMs,
      connect: (target, callback) =>
        connect(target, (...result) => {
          // The HTTP client adds its listeners later, so that these run first for each event.
          if (result[1]) this.attach(result[1]);
          callback(...result);
        }),
    });
  }

  /** @param id - Id of the request that is sent next; `undefined` if it has none. */
  public begin(id: RequestId | undefined): void {
    this.busy = true;
    this.awaitedId = id;
    this.filter?.awaitAnswer(id);
  }

  /** Must be called when the request has ended. */
  public end(): void {
    this.busy = false;
  }

  /** Whether a request is in progress. */
  public get isBusy(): boolean {
    return this.busy;
  }

  /** Whether the connection must carry no further request. */
  public get isRetired(): boolean {
    return this.retired;
  }

  /** Lets the connection carry no further request. */
  public retire(): void {
    this.retired = true;
  }

  /** Restarts the count of received bytes that belong to no body. */
  public resetMeter(): void {
    this.meter?.resetCount();
  }

  /**
   * Must be called when the client reports the end of a response, in the same event.
   *
   * @returns Whether the connection that ended with the response was closed gracefully; a promise if a
   * write to the connection is needed to find out.
   */
  public endedGracefully(): boolean | Promise<boolean> {
    const { socket } = this;
    if (this.wasReset) return false;
    if (!this.hasEnded || !socket) return true;
    return new Promise((resolve) => {
      socket.write(WRITE_PROBE, (error) => resolve(!error));
    });
  }

  private attach(socket: Socket): void {
    const meter = new ConnectionMeter(socket);
    const onForeignAnswer = (echoedId: string) => {
      // An upstream that repeats a response may do so again.
      this.retire();
      this.onForeignAnswer(echoedId);
    };
    const filter = new AnswerFilter(this.options.idHeader, onForeignAnswer, (reason) =>
      meter.closeConnection(reason),
    );
    this.socket = socket;
    this.meter = meter;
    this.filter = filter;
    this.wasReset = false;
    this.hasEnded = false;
    filter.awaitAnswer(this.awaitedId);
    UpstreamConnection.filterReads(socket, filter);
    socket.on('readable', () => meter.enforceLimit());
    socket.on('error', () => {
      if (this.socket === socket) this.wasReset = true;
    });
    socket.on('end', () => {
      if (this.socket === socket) this.hasEnded = true;
    });
  }

  /** Makes the HTTP client, which reads a socket by `read`, receive filtered bytes, a few at a time. */
  private static filterReads(socket: Socket, filter: AnswerFilter): void {
    const read = socket.read.bind(socket);
    Object.defineProperty(socket, 'read', {
      value: (size?: number): Buffer | null => {
        // The stream itself reads 0 bytes to start further input.
        if (size !== undefined) return read(size) as Buffer | null;
        while (!socket.destroyed) {
          const available = Math.min(socket.readableLength, MAX_READ_BYTES);
          const chunk = (available > 0 ? read(available) : read()) as Buffer | null;
          const passed = chunk ? filter.filter(chunk) : null;
          if (passed !== undefined) return passed;
        }
        return null;
      },
    });
  }
}
