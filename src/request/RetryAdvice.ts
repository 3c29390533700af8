import type { Random } from '../common/Types';

/** Minimum delay before a retry, in ms, if no upstream predicted when it has free capacity. */
const DEFAULT_DELAY_MS = 300;
/**
 * Minimum delay before a retry at a daemon that has no configuration yet, has no upstream of a
 * service or has no processor time, in milliseconds. Daemons that start at the same time have
 * discovered each other after one to two seconds.
 */
const NOT_READY_DELAY_MS = 1_000;

/**
 * Computes how long a refused caller should wait before it retries. The delay is random, between
 * its minimum and twice as much, so that callers that were refused together don't retry together.
 *
 * Handles a mesh whose daemons all start at once under full traffic. Callers that retry early use
 * up their retries before any daemon can serve them, and their refusals take the processor time
 * that the startup needs.
 */
export default class RetryAdvice {
  /** @param random - Random numbers for the jitter of the delays. */
  public constructor(private readonly random: Random) {}

  /**
   * @param capacityAfterMs - Milliseconds after which an upstream predicts free capacity;
   * `undefined` if no upstream has predicted it.
   * @returns Milliseconds after which the caller should retry.
   */
  public delayWhenFullMs(capacityAfterMs: number | undefined): number {
    return this.withJitter(capacityAfterMs ?? DEFAULT_DELAY_MS);
  }

  /** @returns Milliseconds after which a caller should retry at a daemon that isn't ready. */
  public delayWhenNotReadyMs(): number {
    return this.withJitter(NOT_READY_DELAY_MS);
  }

  private withJitter(minMs: number): number {
    return minMs + this.random.below(1 + Math.round(minMs));
  }
}
