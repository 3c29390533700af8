import type { Random } from '../common/Types';

/** When to come again where nothing tells when there will be room, in milliseconds. */
const UNKNOWN_MS = 300;
/**
 * When to come again to a daemon that has no configuration yet, knows no upstream of a service or has
 * no processor time, in milliseconds: daemons that start together know each other after one to two
 * seconds.
 */
const UNREADY_MS = 1_000;

/**
 * Tells refused callers when to come again, spread over as long as they are told to wait.
 *
 * Load it answers: all daemons of a mesh start at once under full traffic. Callers that come again
 * soon have used up their repeats before anyone can serve them, and their refusals take the
 * processor time that the start needs.
 */
export default class RetryAdvice {
  /** @param random - Source of chance. */
  public constructor(private readonly random: Random) {}

  /**
   * @param roomMs - Time after which an upstream expects room, in milliseconds, if one said so.
   * @returns Milliseconds after which a caller should come again.
   */
  public whenFull(roomMs: number | undefined): number {
    return this.spread(roomMs ?? UNKNOWN_MS);
  }

  /** @returns Milliseconds after which a caller should come again to a daemon that isn't ready. */
  public whenUnready(): number {
    return this.spread(UNREADY_MS);
  }

  private spread(baseMs: number): number {
    return baseMs + this.random.below(1 + Math.round(baseMs));
  }
}
