import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address, Disposable } from '../common/Types';
import CallerConnection from '../connection/CallerConnection';
import { OUTCOME_HEADER } from '../request/callHeaders';
import type { Turn } from '../request/Types';

const MALFORMED_STATUS = 400;
const UNREADABLE_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** The caller closed its side before its request was whole. */
const CUT_SHORT = 'HPE_INVALID_EOF_STATE';

/** A listening HTTP server whose handler can be set after its port is known. */
export default class Listener implements Disposable {
  public readonly server: Server;

  private handler: RequestListener | undefined;

  private readonly connections = new Map<Socket, CallerConnection>();

  private readonly turns = new WeakMap<ServerResponse, Turn>();

  private accepted = 0;

  /** @param options - Limits of the HTTP server. */
  public constructor(options: ServerOptions = {}) {
    this.server = createServer(
      { noDelay: true, requireHostHeader: false, ...options },
      (message, response) => this.dispatch(message, response),
    );
    // Node's own counts a connection as idle whose answer is still being sent, and close() calls it.
    this.server.closeIdleConnections = () => this.closeIdle();
    this.server.on('connection', (socket) => this.accept(socket));
    this.server.on('clientError', (error, socket) => this.refuse(error, socket as Socket));
  }

  /**
   * @param headerTimeoutMs - Longest time for a request's head to come in.
   * @param idleTimeoutMs - How long a connection may stay idle between requests.
   */
  public setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** @param handler - Answers every request from now on. */
  public handle(handler: RequestListener): void {
    this.handler = handler;
  }

  /**
   * @param response - Where the answer to a request goes that the handler was given.
   * @returns The place of the request on its connection.
   */
  public turnOf(response: ServerResponse): Turn {
    return this.turns.get(response)!;
  }

  /**
   * @param address - Where to listen; port 0 picks a free one.
   * @returns The address with its real port.
   */
  public async listen(address: Address): Promise<Address> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port: Number(address.slice(separator + 1)) }, resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `${address.slice(0, separator)}:${port}` as Address;
  }

  /** Takes no new connection, and closes those whose answers have left and on which nothing came since. */
  public stopAccepting(): void {
    if (this.server.listening) this.server.close();
    this.closeIdle();
  }

  public dispose(): void {
    this.stopAccepting();
    this.server.closeAllConnections();
  }

  private accept(socket: Socket): void {
    this.accepted += 1;
    this.connections.set(socket, new CallerConnection(this.accepted, socket));
    socket.once('close', () => this.connections.delete(socket));
  }

  private closeIdle(): void {
    for (const connection of this.connections.values()) connection.closeIfIdle();
  }

  private refuse({ code }: NodeJS.ErrnoException, socket: Socket): void {
    if (code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const connection = this.connections.get(socket)!;
    if (code === CUT_SHORT) connection.breakOff(MALFORMED_STATUS);
    else connection.refuse(UNREADABLE_STATUS[code ?? ''] ?? MALFORMED_STATUS);
  }

  private dispatch(message: IncomingMessage, response: ServerResponse): void {
    const turn = this.connections.get(message.socket)!.take(message, response);
    if (!turn) {
      // Read on, so that the caller's close is seen.
      message.resume();
      return;
    }
    this.turns.set(response, turn);
    if (this.handler) {
      this.handler(message, response);
      return;
    }
    response.writeHead(503, { [OUTCOME_HEADER]: 'not-run' });
    response.end();
  }
}
