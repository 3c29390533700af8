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
import type { PipelinePosition } from '../request/Types';

const BAD_REQUEST_STATUS = 400;
const METHOD_NOT_ALLOWED_STATUS = 405;
/** HTTP status of a refusal, by the error code of the HTTP parser; 400 for all other codes. */
const STATUS_BY_PARSE_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** The HTTP parser's error code if the caller closes its side in the middle of a request. */
const INCOMPLETE_REQUEST_CODE = 'HPE_INVALID_EOF_STATE';

/** Options of a listener: those of the HTTP server, and the length of its accept queue. */
export interface ListenerOptions extends ServerOptions {
  /** Number of connections that may wait to be accepted; by default that of Node.js. */
  readonly backlog?: number;
}

/** An HTTP server whose request handler can be set after its port is known. */
export default class Listener implements Disposable {
  public readonly server: Server;

  private handler: RequestListener | undefined;

  private readonly connections = new Map<Socket, CallerConnection>();

  /** Position of each request in the pipeline of its connection, by its response. */
  private readonly positions = new WeakMap<ServerResponse, PipelinePosition>();

  private connectionCount = 0;

  private readonly backlog: number | undefined;

  /** Timeouts that hold where a version sets none, in milliseconds. */
  private readonly timeouts: { readonly headerMs: number; readonly idleMs: number };

  /** @param options - Size limit of request heads, timeouts, and length of the accept queue. */
  public constructor({ backlog, ...options }: ListenerOptions = {}) {
    this.backlog = backlog;
    this.server = createServer(
      { noDelay: true, requireHostHeader: false, ...options },
      (message, response) => this.dispatch(message, response),
    );
    this.timeouts = {
      headerMs: this.server.headersTimeout,
      idleMs: this.server.keepAliveTimeout,
    };
    // server.close() calls this. Node's version also closes connections whose response is still being sent.
    this.server.closeIdleConnections = () => this.closeIdleConnections();
    this.server.on('connection', (socket) => this.registerConnection(socket));
    // Without a listener, Node.js would close the connection before the responses that are due on it.
    this.server.on('connect', ({ socket }) =>
      this.connections.get(socket)!.refuse(METHOD_NOT_ALLOWED_STATUS),
    );
    this.server.on('clientError', (error, socket) => this.refuse(error, socket as Socket));
  }

  /**
   * @param headerTimeoutMs - Timeout for receiving the head of a request, in milliseconds; `undefined` for the
   * listener's own.
   * @param idleTimeoutMs - Idle timeout of a connection between requests, in the same form.
   */
  public setTimeouts(headerTimeoutMs?: number, idleTimeoutMs?: number): void {
    this.server.headersTimeout = headerTimeoutMs ?? this.timeouts.headerMs;
    this.server.keepAliveTimeout = idleTimeoutMs ?? this.timeouts.idleMs;
  }

  /** @param handler - Handles every request from now on; before, they are rejected with status 503. */
  public handle(handler: RequestListener): void {
    this.handler = handler;
  }

  /**
   * @param response - Response object that was passed to the handler.
   * @returns The position of its request among the pipelined requests of the connection.
   */
  public positionOf(response: ServerResponse): PipelinePosition {
    return this.positions.get(response)!;
  }

  /**
   * @param address - Address to listen on; port 0 chooses a free port.
   * @returns The address with the actual port.
   */
  public async listen(address: Address): Promise<Address> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      const port = Number(address.slice(separator + 1));
      this.server.listen({ host, port, backlog: this.backlog }, resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return `${address.slice(0, separator)}:${port}` as Address;
  }

  /** Stops accepting connections, and closes those that are idle. */
  public stopAccepting(): void {
    if (this.server.listening) this.server.close();
    this.closeIdleConnections();
  }

  public dispose(): void {
    this.stopAccepting();
    this.server.closeAllConnections();
  }

  private registerConnection(socket: Socket): void {
    this.connectionCount += 1;
    this.connections.set(socket, new CallerConnection(this.connectionCount, socket));
    socket.once('close', () => this.connections.delete(socket));
  }

  private closeIdleConnections(): void {
    for (const connection of this.connections.values()) connection.closeIfIdle();
  }

  private refuse({ code }: NodeJS.ErrnoException, socket: Socket): void {
    if (code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const connection = this.connections.get(socket)!;
    if (code === INCOMPLETE_REQUEST_CODE) connection.handleHalfClose(BAD_REQUEST_STATUS);
    else connection.refuse(STATUS_BY_PARSE_ERROR[code ?? ''] ?? BAD_REQUEST_STATUS);
  }

  private dispatch(message: IncomingMessage, response: ServerResponse): void {
    const position = this.connections.get(message.socket)!.enqueue(message, response);
    if (!position) {
      // Node.js notices that the caller closes the connection only while the request is being read.
      message.resume();
      return;
    }
    this.positions.set(response, position);
    if (this.handler) {
      this.handler(message, response);
      return;
    }
    response.writeHead(503, { [OUTCOME_HEADER]: 'not-run' });
    response.end();
  }
}
