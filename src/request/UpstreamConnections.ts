import type { Socket } from 'node:net';
import { buildConnector, Pool } from 'undici';
import type { Address } from '../common/Types';
import ConnectionMeter from './ConnectionMeter';

/** Size and timeouts of the pool of connections to one upstream. */
export interface UpstreamConnectionsOptions {
  /** Maximum number of connections that are open at the same time. */
  readonly connections: number;
  /** Longest time to establish a connection, in milliseconds. */
  readonly connectMs: number;
  /** Idle timeout of a connection in ms, unless the upstream announces a shorter one. */
  readonly keepAliveMs: number;
}

/** Most bytes of header names and values in a response; the default of Node.js. */
const MAX_HEADER_BYTES = 16 * 1024;
/**
 * Bytes that are written to find out whether a connection was reset: an empty line, which HTTP
 * servers ignore before a request.
 */
const WRITE_PROBE = '\r\n';

/**
 * The pool of keep-alive connections to one upstream.
 *
 * For a response body that is delimited by the close of its connection, the HTTP client treats a reset
 * as the regular end. The event loop also reports a reset directly after data as a regular end. The
 * listeners of this class run before those of the client. They detect the first case by the error
 * event and the second one by a probe write, which fails only on a connection that was reset.
 */
export default class UpstreamConnections {
  /** HTTP client that sends requests over the connections. */
  public readonly pool: Pool;

  /** Whether a connection was reset in the event that is being handled. */
  private wasReset = false;

  /** Socket of the connection that the upstream ended in the event that is being handled. */
  private endedSocket: Socket | undefined;

  /** Meter of non-body bytes for the connection from which data was last read. */
  private readingMeter: ConnectionMeter | undefined;

  /**
   * @param address - Address of the upstream.
   * @param options - Maximum number and timeouts of the connections.
   */
  public constructor(address: Address, options: UpstreamConnectionsOptions) {
    const connect = buildConnector({ timeout: options.connectMs, allowHalfOpen: true });
    this.pool = new Pool(`http://${address}`, {
      connections: options.connections,
      pipelining: 1,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: options.keepAliveMs,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const socket = result[1];
          // The HTTP client adds its listeners later, so that these run first for each event.
          if (socket) this.attachMeter(socket);
          socket?.on('error', () => this.handleReset());
          socket?.on('end', () => this.handleEnd(socket));
          callback(...result);
        }),
    });
  }

  /**
   * Must be called when the client reports the end of a response, in the same event.
   *
   * @returns Whether the connection that ended with the response was closed gracefully; a promise if a
   * write to the connection is needed to find out.
   */
  public endedGracefully(): boolean | Promise<boolean> {
    if (this.wasReset) return false;
    const { endedSocket } = this;
    if (!endedSocket) return true;
    return new Promise((resolve) => {
      endedSocket.write(WRITE_PROBE, (error) => resolve(!error));
    });
  }

  /**
   * Must be read when the client reports the head of a response, in the same event.
   *
   * @returns Meter of non-body bytes for the connection that received the head.
   */
  public get currentMeter(): ConnectionMeter | undefined {
    return this.readingMeter;
  }

  /** Closes the connections when the calls on them have ended. */
  public retire(): void {
    void this.pool.close();
  }

  /** Closes the connections immediately. */
  public destroy(): void {
    void this.pool.destroy();
  }

  private attachMeter(socket: Socket): void {
    const meter = new ConnectionMeter(socket);
    socket.on('readable', () => {
      this.readingMeter = meter;
      meter.enforceLimit();
    });
  }

  private handleReset(): void {
    this.wasReset = true;
    process.nextTick(() => {
      this.wasReset = false;
    });
  }

  private handleEnd(socket: Socket): void {
    this.endedSocket = socket;
    process.nextTick(() => {
      this.endedSocket = undefined;
    });
  }
}
