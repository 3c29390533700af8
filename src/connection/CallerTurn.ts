import type { ServerResponse } from 'node:http';
import type { Turn } from '../request/Types';
import type CallerConnection from './CallerConnection';

/** The place of one request on its caller's connection. */
export default class CallerTurn implements Turn {
  public readonly ahead: number;

  /** Whether the whole answer was handed to the network; `undefined` until that is known. */
  private delivered: boolean | undefined;

  private readonly waiting: ((delivered: boolean) => void)[] = [];

  /**
   * @param line - Its connection.
   * @param response - Its answer.
   * @param ahead - Requests before it whose answers haven't left.
   */
  public constructor(
    private readonly line: CallerConnection,
    public readonly response: ServerResponse,
    ahead: number,
  ) {
    this.ahead = ahead;
  }

  public get connection(): number {
    return this.line.id;
  }

  public left(): Promise<boolean> {
    if (this.delivered !== undefined) return Promise.resolve(this.delivered);
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  /** @param delivered - Whether the whole answer was handed to the network. */
  public end(delivered: boolean): void {
    this.delivered = delivered;
    for (const resolve of this.waiting.splice(0)) resolve(delivered);
  }
}
