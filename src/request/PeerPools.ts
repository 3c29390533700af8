import { Pool } from 'undici';
import type { Address, Clock, Disposable } from '../common/Types';

const KEEP_ALIVE_MS = 60_000;
const FORGET_AFTER_MS = 300_000;

interface Entry {
  readonly pool: Pool;
  lastUsed: number;
}

/** Connections to other daemons for calls, one pool for each address. */
export default class PeerPools implements Disposable {
  private readonly entries = new Map<Address, Entry>();

  /**
   * @param connections - Connections to one address.
   * @param connectMs - Longest wait for a connection, in milliseconds.
   * @param clock - Source of time.
   */
  public constructor(
    private readonly connections: number,
    private readonly connectMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * @param address - Of another daemon.
   * @returns Its pool.
   */
  public get(address: Address): Pool {
    let entry = this.entries.get(address);
    if (!entry) {
      entry = { pool: this.create(address), lastUsed: 0 };
      this.entries.set(address, entry);
    }
    entry.lastUsed = this.clock.now();
    return entry.pool;
  }

  /**
   * Leaves a pool of which a connection fell silent: its idle ones may be silent as well. What runs
   * on it goes on.
   *
   * @param address - Of another daemon.
   * @param pool - The pool that the silent connection belongs to.
   */
  public leave(address: Address, pool: Pool): void {
    if (this.entries.get(address)?.pool !== pool) return;
    this.entries.delete(address);
    void pool.close();
  }

  /** Closes pools that weren't used for long. */
  public sweep(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [address, { pool, lastUsed }] of this.entries) {
      if (lastUsed < oldest) this.leave(address, pool);
    }
  }

  public dispose(): void {
    for (const { pool } of this.entries.values()) void pool.destroy();
    this.entries.clear();
  }

  private create(address: Address): Pool {
    return new Pool(`http://${address}`, {
      connections: this.connections,
      pipelining: 1,
      connectTimeout: this.connectMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }
}
