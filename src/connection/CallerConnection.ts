import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import CallerTurn from './CallerTurn';

/** A caller's connection, whose requests are answered in the order in which they came. */
export default class CallerConnection {
  /** Requests whose answers haven't left, in order. */
  private readonly turns: CallerTurn[] = [];

  /** Whether some answer announced the end of the connection. */
  private closing = false;

  /**
   * @param id - Its number, unique in this process.
   * @param socket - The connection.
   */
  public constructor(
    public readonly id: number,
    socket: Socket,
  ) {
    socket.once('close', () => this.close());
  }

  /**
   * @param response - Where the answer to a request that was just read goes.
   * @returns The place of the request; `undefined` where it came too late to be begun.
   * @see {@link https://www.rfc-editor.org/rfc/rfc9112#section-9.6}
   */
  public take(response: ServerResponse): CallerTurn | undefined {
    if (this.closing) return undefined;
    const turn = new CallerTurn(this, this.turns.length);
    this.turns.push(turn);
    if (this.turns[0] === turn) turn.begin();
    response.once('finish', () => this.finish(turn));
    return turn;
  }

  /**
   * @param turn - The request whose answer would end the connection.
   * @returns Whether it does: nothing behind it was begun, and nothing will be.
   */
  public closeWith(turn: CallerTurn): boolean {
    if (this.turns.at(-1) !== turn) return false;
    this.closing = true;
    return true;
  }

  /** @param turn - Its answer was handed to the network. */
  private finish(turn: CallerTurn): void {
    const index = this.turns.indexOf(turn);
    if (index >= 0) this.turns.splice(index, 1);
    turn.end(true);
    this.turns[0]?.begin();
  }

  private close(): void {
    for (const turn of this.turns.splice(0)) turn.end(false);
  }
}
