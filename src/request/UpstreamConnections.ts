import type { Address, RequestId } from '../common/Types';
import UpstreamConnection, { type UpstreamConnectionsOptions } from './UpstreamConnection';

export type { UpstreamConnectionsOptions } from './UpstreamConnection';

/** A request that waits for a connection. */
interface Waiter {
  readonly id: RequestId | undefined;
  readonly start: (connection: UpstreamConnection) => void;
}

/** The pool of keep-alive connections to one upstream. */
export default class UpstreamConnections {
  private readonly connections: UpstreamConnection[] = [];

  private readonly waiters: Waiter[] = [];

  private isClosing = false;

  private isDestroyed = false;

  /**
   * @param address - Address of the upstream.
   * @param options - Maximum number and timeouts of the connections.
   * @param onForeignAnswer - Called with the id that a response echoes if it was removed, as it belongs
   * to another request than the one in progress on its connection.
   */
  public constructor(
    private readonly address: Address,
    private readonly options: UpstreamConnectionsOptions,
    private readonly onForeignAnswer: (echoedId: string) => void = () => undefined,
  ) {}

  /**
   * Assigns a connection to a request, which must be given back by `release`.
   *
   * @param id - Id of the request; `undefined` if it has none.
   * @param start - Called with the connection as soon as one is free, possibly before this returns.
   */
  public acquire(id: RequestId | undefined, start: (connection: UpstreamConnection) => void): void {
    const idle = this.connections.filter(({ isBusy }) => !isBusy);
    // A repetition of the request's earlier refusal may come on the connection that brought it.
    const suitable = idle.find(({ refusedId }) => id === undefined || refusedId !== id);
    if (!suitable && idle[0]) this.remove(idle[0]);
    const connection = suitable ?? this.open();
    if (connection) UpstreamConnections.start(connection, { id, start });
    else this.waiters.push({ id, start });
  }

  /** @param connection - Connection whose request has ended. */
  public release(connection: UpstreamConnection): void {
    connection.end();
    const isUnneeded = this.isClosing && this.waiters.length === 0;
    if (connection.isRetired || isUnneeded) this.remove(connection);
    const waiter = this.waiters.shift();
    if (waiter) this.acquire(waiter.id, waiter.start);
  }

  /** Closes the connections when the calls on them have ended. */
  public retire(): void {
    this.isClosing = true;
    for (const connection of [...this.connections]) {
      if (!connection.isBusy) this.remove(connection);
    }
  }

  /** Closes the connections immediately; requests on them and those that wait fail. */
  public destroy(): void {
    this.isClosing = true;
    this.isDestroyed = true;
    for (const { client } of this.connections.splice(0)) void client.destroy();
    for (const { id, start } of this.waiters.splice(0)) this.acquire(id, start);
  }

  private open(): UpstreamConnection | undefined {
    if (this.connections.length >= this.options.connections) return undefined;
    const connection = new UpstreamConnection(this.address, this.options, this.onForeignAnswer);
    if (this.isDestroyed) void connection.client.destroy();
    else this.connections.push(connection);
    return connection;
  }

  private remove(connection: UpstreamConnection): void {
    const index = this.connections.indexOf(connection);
    if (index >= 0) this.connections.splice(index, 1);
    if (!connection.client.destroyed) void connection.client.close();
  }

  private static start(connection: UpstreamConnection, { id, start }: Waiter): void {
    connection.begin(id);
    start(connection);
  }
}
