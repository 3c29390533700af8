import { buildConnector, Pool } from 'undici';
import type { Address } from '../common/Types';

/** Bounds of the connections to one upstream. */
export interface UpstreamConnectionsOptions {
  /** Connections at the same time. */
  readonly connections: number;
  /** Longest wait for one, in milliseconds. */
  readonly connectMs: number;
  /** How long one may stay idle, in milliseconds, where the upstream names no shorter time. */
  readonly keepAliveMs: number;
}

/**
 * The kept connections to one upstream.
 *
 * The HTTP client takes a reset for the regular end of an answer that ends with its connection. This
 * knows of a reset before the client does, so that such an answer can be told from a whole one.
 */
export default class UpstreamConnections {
  /** Sends requests over them. */
  public readonly pool: Pool;

  private resetting = false;

  /**
   * @param address - Of the upstream.
   * @param options - Their bounds.
   */
  public constructor(address: Address, options: UpstreamConnectionsOptions) {
    const connect = buildConnector({ timeout: options.connectMs });
    this.pool = new Pool(`http://${address}`, {
      connections: options.connections,
      pipelining: 1,
      keepAliveTimeout: options.keepAliveMs,
      connect: (target, callback) =>
        connect(target, (...result) => {
          // The client adds its own listener after this one; both run within one emit.
          result[1]?.on('error', () => this.noteReset());
          callback(...result);
        }),
    });
  }

  /** Whether a connection is being reset just now, in the same turn of the event loop. */
  public get isResetting(): boolean {
    return this.resetting;
  }

  /** Closes them once what runs on them has ended. */
  public retire(): void {
    void this.pool.close();
  }

  /** Closes them at once. */
  public destroy(): void {
    void this.pool.destroy();
  }

  private noteReset(): void {
    this.resetting = true;
    process.nextTick(() => {
      this.resetting = false;
    });
  }
}
