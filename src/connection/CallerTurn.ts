import Fact from '../common/Fact';
import type { Turn } from '../request/Types';
import type CallerConnection from './CallerConnection';

/** The place of one request on its caller's connection. */
export default class CallerTurn implements Turn {
  private readonly came = new Fact();

  private readonly delivered = new Fact();

  /**
   * @param line - Its connection.
   * @param ahead - Requests before it whose answers haven't left.
   */
  public constructor(
    private readonly line: CallerConnection,
    public readonly ahead: number,
  ) {}

  public get connection(): number {
    return this.line.id;
  }

  public due(): Promise<boolean> {
    return this.came.known;
  }

  public left(): Promise<boolean> {
    return this.delivered.known;
  }

  public close(): boolean {
    return this.line.closeWith(this);
  }

  /** The answers before it have left. */
  public begin(): void {
    this.came.settle(true);
  }

  /** @param delivered - Whether its whole answer was handed to the network. */
  public end(delivered: boolean): void {
    this.came.settle(delivered);
    this.delivered.settle(delivered);
  }
}
