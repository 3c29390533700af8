import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** The two sockets of one proxied connection. */
interface SocketPair {
  readonly inbound: Socket;
  readonly outbound: Socket;
}

/**
 * TCP proxy in front of one address that can simulate network faults: connections that are open at
 * that moment go silent for good, while new ones work; or no byte passes any more.
 */
export default class TcpProxy {
  private readonly server: Server;

  private readonly pairs = new Set<SocketPair>();

  private target = '';

  private isCut = false;

  public constructor() {
    this.server = createServer((inbound) => this.proxy(inbound));
  }

  /** @returns The address that the proxy listens on. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /**
   * Sets the address to forward to; connections that arrive before are closed at once.
   *
   * @param target - Address in the form `host:port`.
   */
  public forwardTo(target: string): void {
    this.target = target;
  }

  /**
   * Stops forwarding on all open connections, without closing them at either end.
   *
   * @returns Number of connections that went silent.
   */
  public silenceOpenConnections(): number {
    for (const { inbound, outbound } of this.pairs) {
      inbound.unpipe(outbound);
      outbound.unpipe(inbound);
      // Data that still arrives is discarded, as by a middlebox that lost the connection's state.
      inbound.resume();
      outbound.resume();
    }
    const count = this.pairs.size;
    this.pairs.clear();
    return count;
  }

  /** Stops forwarding on all open and further connections, without closing or refusing them. */
  public cut(): void {
    this.isCut = true;
    this.silenceOpenConnections();
  }

  public dispose(): void {
    this.server.close();
    for (const { inbound, outbound } of this.pairs) {
      inbound.destroy();
      outbound.destroy();
    }
  }

  private proxy(inbound: Socket): void {
    if (!this.target) {
      inbound.destroy();
      return;
    }
    if (this.isCut) {
      inbound.on('error', () => undefined);
      inbound.resume();
      return;
    }
    const [host, port] = this.target.split(':');
    const outbound = connect({ host, port: Number(port), noDelay: true });
    inbound.setNoDelay(true);
    const pair: SocketPair = { inbound, outbound };
    this.pairs.add(pair);
    inbound.pipe(outbound);
    outbound.pipe(inbound);
    for (const [socket, other] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      socket.on('error', () => other.destroy());
      socket.once('close', () => {
        if (this.pairs.delete(pair)) other.destroy();
      });
    }
  }
}
