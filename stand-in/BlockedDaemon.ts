import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import type { Address } from '../src/common/Types';

/**
 * Number of connections that fill the accept queue (backlog + 1); the kernel drops the SYN of
 * further ones.
 */
const QUEUED_CONNECTIONS = 2;
/** Worker program: an HTTP server that responds to probes, its event loop blocked at first. */
const WORKER_PROGRAM = `
  const { createServer } = require('node:http');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((_request, response) => response.writeHead(204).end());
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(workerData), 0, 0);
  });
`;

/**
 * Stands in for a daemon that is alive but whose event loop is blocked. It accepts no connections
 * until it is released, and its accept queue is full.
 */
export default class BlockedDaemon {
  private constructor(
    /** Address that the blocked daemon listens on. */
    public readonly address: Address,
    private readonly worker: Worker,
    private readonly releaseFlag: Int32Array,
    private readonly queuedSockets: readonly Socket[],
  ) {}

  /** @returns A blocked daemon, once its accept queue is full. */
  public static async start(): Promise<BlockedDaemon> {
    const sharedBuffer = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(WORKER_PROGRAM, { eval: true, workerData: sharedBuffer });
    const [port] = (await once(worker, 'message')) as [number];
    const queuedSockets = Array.from({ length: QUEUED_CONNECTIONS }, () =>
      connect(port, '127.0.0.1'),
    );
    await Promise.all(queuedSockets.map((socket) => once(socket, 'connect')));
    const address = `127.0.0.1:${port}` as Address;
    return new BlockedDaemon(address, worker, new Int32Array(sharedBuffer), queuedSockets);
  }

  /** Unblocks the event loop, so that the queued connections are accepted. */
  public release(): void {
    Atomics.store(this.releaseFlag, 0, 1);
    Atomics.notify(this.releaseFlag, 0);
  }

  /** Closes the queued connections and ends the worker thread. */
  public async dispose(): Promise<void> {
    this.release();
    for (const socket of this.queuedSockets) socket.destroy();
    await this.worker.terminate();
  }
}
