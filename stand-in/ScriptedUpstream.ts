import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address } from '../src/common/Types';

const HEAD_END = '\r\n\r\n';

/** A request as a scripted upstream received it. */
export interface ScriptedRequest {
  /** Request id; empty if the request has none. */
  readonly id: string;
  readonly path: string;
  /** Number of requests received before on any connection. */
  readonly index: number;
  /** Bytes sent so far on the connection of the request, one entry for each response. */
  readonly sent: string[];
}

/** Bytes to send, a pause in milliseconds, or the end of the connection. */
export type ScriptedStep = string | number | 'END' | 'RESET';

/**
 * Stands in for a faulty upstream: a TCP server that reads HTTP requests and sends exactly the bytes of
 * its script, which needn't be proper responses.
 */
export default class ScriptedUpstream {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private requests = 0;

  /** @param respond - Returns what is sent after a request was received. */
  public constructor(private readonly respond: (request: ScriptedRequest) => ScriptedStep[]) {
    this.server = createServer((socket) => this.serve(socket));
  }

  /** @returns The address at which the upstream listens. */
  public async listen(): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}` as Address;
  }

  public close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private serve(socket: Socket): void {
    const sent: string[] = [];
    let received = '';
    // The bytes of a response don't mix with those of the next one on the connection.
    let earlier = Promise.resolve();
    socket.setNoDelay();
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      for (;;) {
        // A probe of the connection is an empty line, which is ignored before a request.
        received = received.replace(/^(\r\n)+/, '');
        const length = ScriptedUpstream.requestLength(received);
        if (length === undefined) return;
        const request = received.slice(0, length);
        received = received.slice(length);
        earlier = earlier.then(() => this.run(socket, request, sent));
      }
    });
  }

  private async run(socket: Socket, text: string, sent: string[]): Promise<void> {
    const id = /^[a-z-]*(?:request|attempt)-id: (.*)\r$/im.exec(text)?.[1] ?? '';
    const path = text.split(' ', 2)[1]!;
    const request = { id, path, index: this.requests, sent };
    this.requests += 1;
    for (const step of this.respond(request)) {
      if (socket.destroyed) return;
      if (typeof step === 'number') await delay(step);
      else if (step === 'END') socket.end();
      else if (step === 'RESET') socket.resetAndDestroy();
      else socket.write(step, 'latin1');
    }
  }

  /** Number of bytes of the first request in received text, once it is complete. */
  private static requestLength(text: string): number | undefined {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = text.slice(0, headEnd);
    const bodyBytes = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    const length = headEnd + HEAD_END.length + bodyBytes;
    return text.length >= length ? length : undefined;
  }
}
