import type { Clock, Logger } from '../common/Types';

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

  /** Whether the configuration was found to be current at some time; never reset. */
  private hasBeenCurrent = false;

  public constructor(
    private readonly conditions: ReadinessConditions,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Whether callers are accepted. Prevents that an outdated configuration is used after a restart. */
  public get isReady(): boolean {
    return !this.stopping && this.isCurrent;
  }

  /** Whether the configuration in force is the newest that the store or the peers could confirm. */
  public get isCurrent(): boolean {
    const source = this.confirmedBy();
    if (source && !this.hasBeenCurrent) {
      this.hasBeenCurrent = true;
      // The monotonic clock starts with the process.
      const sinceStartMs = Math.round(this.clock.now());
      this.logger.log('Accepts callers.', { source, sinceStartMs });
    }
    return source !== undefined;
  }

  /** Makes the daemon not ready for good, at the start of a planned stop. */
  public stop(): void {
    this.stopping = true;
  }

  /** Who confirmed that the configuration in force is current; `undefined` if nobody has. */
  private confirmedBy(): 'store' | 'peers' | undefined {
    const { hasConfiguration, isConfirmedByStore, hasReachablePeer } = this.conditions;
    if (!hasConfiguration()) return undefined;
    if (isConfirmedByStore()) return 'store';
    if (!hasReachablePeer()) return undefined;
    this.firstPeerAt ??= this.clock.now();
    return this.clock.now() - this.firstPeerAt >= PEER_SYNC_MS ? 'peers' : undefined;
  }
}
