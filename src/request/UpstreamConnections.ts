import type { Socket } from 'node:net';
import { buildConnector, Pool } from 'undici';
import type { Address } from '../common/Types';
import ConnectionMeter from './ConnectionMeter';

/** Bounds of the connections to one upstream. */
export interface UpstreamConnectionsOptions {
  /** Connections at the same time. */
  readonly connections: number;
  /** Longest wait for one, in milliseconds. */
  readonly connectMs: number;
  /** How long one may stay idle, in milliseconds, where the upstream names no shorter time. */
  readonly keepAliveMs: number;
}

/** Most bytes of names and values in the head of an answer; as many as Node.js takes by default. */
const MAX_HEADER_BYTES = 16 * 1024;
/** An empty line; servers skip it before a request. */
const PROBE = '\r\n';

/**
 * The kept connections to one upstream.
 *
 * The HTTP client takes a reset for the regular end of an answer that ends with its connection. And
 * the event loop reports a reset that comes right behind data as a regular end. This hears of both
 * before the client does, so that such an answer can be told from a whole one: a connection that was
 * reset takes no more writes, one that was ended in order does.
 */
export default class UpstreamConnections {
  /** Sends requests over them. */
  public readonly pool: Pool;

  private resetting = false;

  private ending: Socket | undefined;

  private reading: ConnectionMeter | undefined;

  /**
   * @param address - Of the upstream.
   * @param options - Their bounds.
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
          // The client adds its own listeners after these; both run within one emit.
          if (socket) this.meter(socket);
          socket?.on('error', () => this.noteReset());
          socket?.on('end', () => this.noteEnd(socket));
          callback(...result);
        }),
    });
  }

  /**
   * Called where the client says that an answer is complete, in the same turn of the event loop.
   *
   * @returns Whether the connection that ended with it was ended in order; at once, or as soon as the
   * connection shows it.
   */
  public endedInOrder(): boolean | Promise<boolean> {
    if (this.resetting) return false;
    const { ending } = this;
    if (!ending) return true;
    return new Promise((resolve) => {
      ending.write(PROBE, (error) => resolve(!error));
    });
  }

  /**
   * Called where the client reports the head of an answer, in the same turn of the event loop.
   *
   * @returns The meter of the connection that brought it.
   */
  public get meterOfHead(): ConnectionMeter | undefined {
    return this.reading;
  }

  /** Closes them once what runs on them has ended. */
  public retire(): void {
    void this.pool.close();
  }

  /** Closes them at once. */
  public destroy(): void {
    void this.pool.destroy();
  }

  private meter(socket: Socket): void {
    const meter = new ConnectionMeter(socket);
    socket.on('readable', () => {
      this.reading = meter;
      meter.check();
    });
  }

  private noteReset(): void {
    this.resetting = true;
    process.nextTick(() => {
      this.resetting = false;
    });
  }

  private noteEnd(socket: Socket): void {
    this.ending = socket;
    process.nextTick(() => {
      this.ending = undefined;
    });
  }
}
