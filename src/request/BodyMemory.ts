import { E_TIMEOUT, Semaphore, withTimeout, type SemaphoreInterface } from 'async-mutex';
import NotRunError from './NotRunError';

/** Longest wait for memory, in ms; a caller whose request isn't read for longer tries another daemon sooner. */
const MAX_WAIT_MS = 2_000;

/** Gives the memory of a body back; calls after the first have no effect. */
export type ReleaseMemory = () => void;

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

  /**
   * Waits, in the order of the calls, until there is memory for a body.
   *
   * @param bytes - Size of the body, or its upper bound.
   * @returns Gives the memory back.
   * @throws NotRunError - There was none for too long.
   */
  public async take(bytes: number): Promise<ReleaseMemory> {
    try {
      const [, release] = await this.semaphore.acquire(Math.min(bytes, this.maxBytes));
      return release;
    } catch (error) {
      if (error !== E_TIMEOUT) throw error;
      throw new NotRunError('the bodies of other requests take the memory for bodies');
    }
  }
}
