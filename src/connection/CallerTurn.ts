import type { IncomingMessage, ServerResponse } from 'node:http';
import Fact from '../common/Fact';
import type { Turn } from '../request/Types';
import type CallerConnection from './CallerConnection';

/** The place of one request on its caller's connection. */
export default class CallerTurn implements Turn {
  private readonly came = new Fact();

  private readonly delivered = new Fact();

  /**
   * @param line - Its connection.
   * @param message - The request.
   * @param response - Its answer.
   * @param ahead - Requests before it whose answers haven't left.
   */
  public constructor(
    private readonly line: CallerConnection,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    public readonly ahead: number,
  ) {}

  public get connection(): number {
    return this.line.id;
  }

  /** Whether all of the request has come. */
  public get isWhole(): boolean {
    return this.message.complete;
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

  /**
   * Answers in its place a request whose rest can't come.
   *
   * @param status - HTTP status.
   * @param headers - Of the answer, which has no body.
   * @returns Whether it is such a request.
   */
  public refuseRest(status: number, headers: Readonly<Record<string, string>>): boolean {
    if (this.isWhole || this.response.headersSent) return false;
    this.response.writeHead(status, headers);
    this.response.end();
    return true;
  }

  /** Lets the connection be read behind a request that was answered before it came whole. */
  public dropRest(): void {
    if (!this.isWhole) this.message.resume();
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
