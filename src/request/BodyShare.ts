import { E_TIMEOUT, type SemaphoreInterface } from 'async-mutex';
import NotRunError from './NotRunError';

/** The part of the memory for bodies that one body holds. */
export default class BodyShare {
  private heldBytes = 0;

  private readonly releases: SemaphoreInterface.Releaser[] = [];

  /**
   * @param semaphore - Counts the free bytes.
   * @param maxBytes - Number of bytes if all are free.
   */
  public constructor(
    private readonly semaphore: SemaphoreInterface,
    private readonly maxBytes: number,
  ) {}

  /**
   * Waits, in the order of the calls, until there is memory for so many bytes of the body.
   *
   * @param bytes - Size of the body as far as it is known, including what this share holds already.
   * @throws NotRunError - There was none for too long.
   */
  public async grow(bytes: number): Promise<void> {
    const addedBytes = Math.min(bytes, this.maxBytes) - this.heldBytes;
    if (addedBytes <= 0) return;
    try {
      const [, release] = await this.semaphore.acquire(addedBytes);
      this.releases.push(release);
      this.heldBytes += addedBytes;
    } catch (error) {
      if (error !== E_TIMEOUT) throw error;
      throw new NotRunError('the bodies of other requests take the memory for bodies');
    }
  }

  /** Gives the memory back. */
  public release(): void {
    for (const release of this.releases.splice(0)) release();
    this.heldBytes = 0;
  }
}
