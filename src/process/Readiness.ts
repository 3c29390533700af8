import type { Clock } from '../common/Types';

/** What a daemon must know before callers may come. */
export interface ReadinessConditions {
  /** Whether a configuration is in force. */
  readonly hasConfiguration: () => boolean;
  /** Whether the store confirmed since the start that it is the newest. */
  readonly hasReadStore: () => boolean;
  /** Whether some peer told what it has. */
  readonly hasPeer: () => boolean;
}

/**
 * With the store away, a daemon that has heard from peers for this long has what they have; a few
 * exchanges between them take less.
 */
const PEERS_SUFFICE_MS = 1_000;

/** Tells whether callers may come to this daemon. */
export default class Readiness {
  private stopping = false;

  private heardPeersAt: number | undefined;

  public constructor(
    private readonly conditions: ReadinessConditions,
    private readonly clock: Clock,
  ) {}

  /** Whether callers may come; an old configuration must not serve them after a restart. */
  public get isReady(): boolean {
    return !this.stopping && this.isCurrent;
  }

  /** Whether what is in force here is as new as can be known. */
  public get isCurrent(): boolean {
    const { hasConfiguration, hasReadStore, hasPeer } = this.conditions;
    if (!hasConfiguration()) return false;
    if (hasReadStore()) return true;
    if (!hasPeer()) return false;
    this.heardPeersAt ??= this.clock.now();
    return this.clock.now() - this.heardPeersAt >= PEERS_SUFFICE_MS;
  }

  /** Callers may not come from now on. */
  public stop(): void {
    this.stopping = true;
  }
}
