import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import type { Address } from '../src/common/Types';

/** Connections that wait to be accepted before the kernel drops opening packets: the backlog and one. */
const QUEUED = 2;
/** Answers probes, from a thread whose event loop stands still until it is told to go on. */
const PROGRAM = `
  const { createServer } = require('node:http');
  const { parentPort, workerData } = require('node:worker_threads');
  const server = createServer((_request, response) => response.writeHead(204).end());
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(workerData), 0, 0);
  });
`;

/** A daemon that lives but accepts nothing for a while, so that its queue of new connections is full. */
export default class BlockedDaemon {
  private constructor(
    /** Where it listens. */
    public readonly address: Address,
    private readonly worker: Worker,
    private readonly gate: Int32Array,
    private readonly queued: readonly Socket[],
  ) {}

  /** @returns One whose queue is full. */
  public static async start(): Promise<BlockedDaemon> {
    const shared = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(PROGRAM, { eval: true, workerData: shared });
    const [port] = (await once(worker, 'message')) as [number];
    const queued = Array.from({ length: QUEUED }, () => connect(port, '127.0.0.1'));
    await Promise.all(queued.map((socket) => once(socket, 'connect')));
    const address = `127.0.0.1:${port}` as Address;
    return new BlockedDaemon(address, worker, new Int32Array(shared), queued);
  }

  /** Lets it accept what waits. */
  public release(): void {
    Atomics.store(this.gate, 0, 1);
    Atomics.notify(this.gate, 0);
  }

  /** Ends it. */
  public async dispose(): Promise<void> {
    this.release();
    for (const socket of this.queued) socket.destroy();
    await this.worker.terminate();
  }
}
