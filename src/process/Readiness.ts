import type { Clock } from '../common/Types';

/** What a daemon must have before it accepts callers. */
export interface ReadinessConditions {
  /** Whether a configuration is in force. */
  readonly hasConfiguration: () => boolean;
  /** Whether the store has confirmed since the start that this configuration is the newest. */
  readonly isConfirmedByStore: () => boolean;
  /** Whether at least one peer responds. */
  readonly hasReachablePeer: () => boolean;
}

/**
 * Time with a reachable peer after which the configuration counts as current without the store, in
 * milliseconds. A few gossip exchanges, which bring the newest configuration of the peers, take less.
 */
const PEER_SYNC_MS = 1_000;

/** Decides whether this daemon accepts callers. */
export default class Readiness {
  private stopping = false;

  private firstPeerAt: number | undefined;

  public constructor(
    private readonly conditions: ReadinessConditions,
    private readonly clock: Clock,
  ) {}

  /** Whether callers are accepted. Prevents that an outdated configuration is used after a restart. */
  public get isReady(): boolean {
    return !this.stopping && this.isCurrent;
  }

  /** Whether the configuration in force is the newest that the store or the peers could confirm. */
  public get isCurrent(): boolean {
    const { hasConfiguration, isConfirmedByStore, hasReachablePeer } = this.conditions;
    if (!hasConfiguration()) return false;
    if (isConfirmedByStore()) return true;
    if (!hasReachablePeer()) return false;
    this.firstPeerAt ??= this.clock.now();
    return this.clock.now() - this.firstPeerAt >= PEER_SYNC_MS;
  }

  /** Makes the daemon not ready for good, at the start of a planned stop. */
  public stop(): void {
    this.stopping = true;
  }
}
