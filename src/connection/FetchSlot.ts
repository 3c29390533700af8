import type { Clock } from '../common/Types';

const PATIENCE_MS = 1_000;

/** Lets one peer at a time bring this daemon up to date; a peer that stalls loses its turn. */
export default class FetchSlot {
  private busyUntil = 0;

  /** @param clock - Source of time. */
  public constructor(private readonly clock: Clock) {}

  /** @returns Whether the caller may fetch now. */
  public take(): boolean {
    const now = this.clock.now();
    if (now < this.busyUntil) return false;
    this.busyUntil = now + PATIENCE_MS;
    return true;
  }

  /** Ends a fetch. */
  public free(): void {
    this.busyUntil = 0;
  }
}
