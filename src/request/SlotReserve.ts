/** Change of the number of kept slots for each slot-millisecond by which one cost exceeds the other. */
const CHANGE_PER_SLOT_MS = 0.001;

/**
 * Decides how many slots of an upstream long calls must leave free for short ones.
 *
 * Handles long calls that hold every slot while short ones come, on which runs at other upstreams wait. A short call
 * is first in the queue, but with few slots and long runs none comes free for a multiple of its duration, and as
 * long as it waits, its caller holds a slot of another upstream for nothing.
 *
 * Two costs are measured in slots times milliseconds and kept equal by integral control: slots held elsewhere while
 * short calls wait here, and slots that stand idle here while long calls wait. So nothing is kept where short calls
 * find slots anyway, and nothing is lost to it where no long call waits.
 *
 * @see {@link https://en.wikipedia.org/wiki/Trunk_reservation}
 */
export default class SlotReserve {
  /** Number of slots to keep, with a fraction that carries over. */
  private level = 0;

  private idleSlots = 0;

  private idleSince = 0;

  /**
   * @param slots - Number of slots of the upstream.
   * @returns Number of slots that long calls must leave free; at least one is left to them.
   */
  public size(slots: number): number {
    return Math.min(Math.round(this.level), slots - 1);
  }

  /**
   * Records that a short call has left the queue that came while long calls ran, whether it got a slot or not.
   *
   * @param waitMs - Milliseconds that it waited.
   * @param slots - Number of slots of the upstream.
   */
  public recordWait(waitMs: number, slots: number): void {
    this.level = Math.min(slots - 1, this.level + CHANGE_PER_SLOT_MS * waitMs);
  }

  /**
   * Records how many slots are idle from now on although long calls wait.
   *
   * @param idleSlots - Number of these slots.
   * @param now - Monotonic time, in milliseconds.
   */
  public setIdle(idleSlots: number, now: number): void {
    const idleMs = this.idleSlots * (now - this.idleSince);
    this.level = Math.max(0, this.level - CHANGE_PER_SLOT_MS * idleMs);
    this.idleSlots = idleSlots;
    this.idleSince = now;
  }
}
