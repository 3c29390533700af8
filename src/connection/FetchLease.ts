import type { Clock } from '../common/Types';

/** Time after which the lease for a configuration fetch expires if it is not released. */
const LEASE_MS = 1_000;

/** Lease that limits configuration fetches to one peer at a time; it expires if a peer stalls. */
export default class FetchLease {
  private leaseExpiresAt = 0;

  /** @param clock - Monotonic clock. */
  public constructor(private readonly clock: Clock) {}

  /** @returns Whether the lease was free or expired, and is now held for a new fetch. */
  public tryAcquire(): boolean {
    const now = this.clock.now();
    if (now < this.leaseExpiresAt) return false;
    this.leaseExpiresAt = now + LEASE_MS;
    return true;
  }

  /** Releases the lease, so that the next configuration fetch can start at once. */
  public release(): void {
    this.leaseExpiresAt = 0;
  }
}
