import { Semaphore, withTimeout, type SemaphoreInterface } from 'async-mutex';
import BodyShare from './BodyShare';

/** Longest wait for memory, in milliseconds; after that the caller should try another daemon. */
const MAX_WAIT_MS = 2_000;

/**
 * Bounds the memory that the bodies of callers' requests take together. It answers the load of several bodies
 * near the allowed size at once, which alone pass the limit of a VM; they are then read one after another.
 */
export default class BodyMemory {
  private readonly semaphore: SemaphoreInterface;

  /**
   * @param maxBytes - Maximum number of bytes of all bodies; a single larger one takes all of them.
   * @param maxWaitMs - Longest wait for memory, in milliseconds.
   */
  public constructor(
    private readonly maxBytes: number,
    maxWaitMs = MAX_WAIT_MS,
  ) {
    this.semaphore = withTimeout(new Semaphore(maxBytes), maxWaitMs);
  }

  /** @returns The share of a further body, which holds nothing yet. */
  public share(): BodyShare {
    return new BodyShare(this.semaphore, this.maxBytes);
  }
}
