import rendezvousWeight from '../common/rendezvousWeight';
import type { Disposable, ZoneName } from '../common/Types';
import type { Membership } from './Types';

/** Number of remembered weights, several times that of the members, above which all are forgotten. */
const MAX_WEIGHTS = 10_000;

interface Ranks {
  readonly inZone: number;
  readonly ofZone: number;
  readonly zones: number;
  readonly members: number;
}

/**
 * Rank of this daemon for one role, among the members that are alive and can read the log; 0 is first.
 * Within a zone the faster link comes first, as a whole configuration takes a second on a slow one
 * before any daemon has it; members with equal links are ranked by rendezvous hashing. A role for a few
 * daemons of the whole fleet goes to the first members of the first zones, so that its holders are in
 * different zones.
 */
export default class MemberRank implements Disposable {
  private cachedRanks: Ranks | undefined;

  /** Weights of members and zones for the role; hashing them anew for each change would be costly. */
  private readonly weights = new Map<string, number>();

  private readonly subscription: Disposable;

  /**
   * @param membership - Known members.
   * @param role - Name of the role, part of the hash input.
   */
  public constructor(
    private readonly membership: Membership,
    private readonly role: string,
  ) {
    this.subscription = membership.onChange(() => {
      this.cachedRanks = undefined;
    });
  }

  /** Rank of this daemon among the members of its zone. */
  public get value(): number {
    return this.ranks.inZone;
  }

  /** Rank of this daemon's zone among the zones with members. */
  public get ofZone(): number {
    return this.ranks.ofZone;
  }

  /** Number of zones with members, including this daemon's. */
  public get zones(): number {
    return this.ranks.zones;
  }

  /** Number of ranked members, including this daemon. */
  public get members(): number {
    return this.ranks.members;
  }

  /** Whether this daemon ranks first in the whole fleet. */
  public get isFirstOfFleet(): boolean {
    return this.value === 0 && this.ofZone === 0;
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private get ranks(): Ranks {
    this.cachedRanks ??= this.computeRanks();
    return this.cachedRanks;
  }

  private computeRanks(): Ranks {
    const { self } = this.membership;
    const others = this.membership
      .live()
      .filter(({ id, health, readsLog }) => id !== self.id && health === 'alive' && readsLog);
    const own = this.weight(self.id);
    const ownLink = self.linkMbps ?? 0;
    const inZone = others.filter(({ id, zone, linkMbps: link = 0 }) => {
      if (zone !== self.zone) return false;
      return link === ownLink ? this.weight(id) > own : link > ownLink;
    });
    const ownZone = this.weight(self.zone);
    const zones = new Set<ZoneName>(others.map(({ zone }) => zone));
    const ahead = [...zones].filter((zone) => this.weight(zone) > ownZone);
    return {
      inZone: inZone.length,
      ofZone: ahead.length,
      zones: zones.add(self.zone).size,
      members: others.length + 1,
    };
  }

  private weight(name: string): number {
    let weight = this.weights.get(name);
    if (weight === undefined) {
      if (this.weights.size >= MAX_WEIGHTS) this.weights.clear();
      weight = rendezvousWeight(this.role, name);
      this.weights.set(name, weight);
    }
    return weight;
  }
}
