import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import CallerTurn from './CallerTurn';

/** A caller's connection, whose requests are answered in the order in which they came. */
export default class CallerConnection {
  /** Requests whose answers haven't left, in order. */
  private turns: CallerTurn[] = [];

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
   * @returns The place of the request.
   */
  public take(response: ServerResponse): CallerTurn {
    const turn = new CallerTurn(this, response, this.turns.length);
    this.turns.push(turn);
    response.once('finish', () => this.finish(turn));
    return turn;
  }

  /** @param turn - Its answer was handed to the network. */
  private finish(turn: CallerTurn): void {
    if (this.turns[0] === turn) this.turns.shift();
    turn.end(true);
  }

  private close(): void {
    for (const turn of this.turns.splice(0)) turn.end(false);
  }
}
