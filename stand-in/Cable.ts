import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Both ends of one connection through a cable. */
interface Strand {
  readonly near: Socket;
  readonly far: Socket;
}

/**
 * Stands for the network before one address: passes connections on, until its open ones are told to
 * go silent for good while new ones work.
 */
export default class Cable {
  private readonly server: Server;

  private readonly strands = new Set<Strand>();

  private target = '';

  public constructor() {
    this.server = createServer((near) => this.join(near));
  }

  /** @returns The address at its near end. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** @param target - The address at its far end. */
  public lead(target: string): void {
    this.target = target;
  }

  /**
   * Nothing passes on the connections that are open now; neither end is told.
   *
   * @returns How many went silent.
   */
  public silence(): number {
    for (const { near, far } of this.strands) {
      near.unpipe(far);
      far.unpipe(near);
      // What still comes is swallowed, as by a middlebox that lost track of the connection.
      near.resume();
      far.resume();
    }
    const count = this.strands.size;
    this.strands.clear();
    return count;
  }

  public dispose(): void {
    this.server.close();
    for (const { near, far } of this.strands) {
      near.destroy();
      far.destroy();
    }
  }

  private join(near: Socket): void {
    if (!this.target) {
      near.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port), noDelay: true });
    near.setNoDelay(true);
    const strand: Strand = { near, far };
    this.strands.add(strand);
    near.pipe(far);
    far.pipe(near);
    for (const [end, other] of [
      [near, far],
      [far, near],
    ] as const) {
      end.on('error', () => other.destroy());
      end.once('close', () => {
        if (this.strands.delete(strand)) other.destroy();
      });
    }
  }
}
