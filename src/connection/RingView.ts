import rendezvousWeight from '../common/rendezvousWeight';
import type { DaemonId } from '../common/Types';
import type { MemberRecord } from './Types';

/** A ring over the whole fleet or over one zone. */
interface Ring {
  readonly name: string;
  readonly withinZone: boolean;
}

/**
 * Two rings within the zone and two over all zones: their union is an expander, so that news needs
 * few hops, and each ring alone reaches every member. Each daemon opens one link a ring.
 */
const RINGS: readonly Ring[] = [
  { name: 'zone-a', withinZone: true },
  { name: 'zone-b', withinZone: true },
  { name: 'fleet-a', withinZone: false },
  { name: 'fleet-b', withinZone: false },
];

/** Places members on hash rings and finds this daemon's successors. */
export default class RingView {
  private readonly positions = new Map<string, number>();

  /**
   * @param self - This daemon.
   * @param members - The members that can be chosen.
   * @returns Its successor on each ring, without repeats.
   */
  public successors(
    self: MemberRecord,
    members: readonly MemberRecord[],
  ): Map<DaemonId, MemberRecord> {
    const chosen = new Map<DaemonId, MemberRecord>();
    for (const ring of RINGS) {
      const successor = this.successor(ring, self, members);
      if (successor) chosen.set(successor.id, successor);
    }
    return chosen;
  }

  /** @param live - Members whose positions are kept; the others' are dropped. */
  public prune(live: ReadonlySet<DaemonId>): void {
    for (const key of this.positions.keys()) {
      if (!live.has(key.slice(key.indexOf('\n') + 1) as DaemonId)) this.positions.delete(key);
    }
  }

  private successor(
    ring: Ring,
    self: MemberRecord,
    members: readonly MemberRecord[],
  ): MemberRecord | undefined {
    const own = this.position(ring, self.id);
    let next: MemberRecord | undefined;
    let nextDistance = Infinity;
    for (const member of members) {
      if (member.id === self.id || (ring.withinZone && member.zone !== self.zone)) continue;
      const ahead = this.position(ring, member.id) - own;
      const distance = ahead > 0 ? ahead : ahead + 2 ** 48;
      if (distance < nextDistance) {
        next = member;
        nextDistance = distance;
      }
    }
    return next;
  }

  private position(ring: Ring, id: DaemonId): number {
    const key = `${ring.name}\n${id}`;
    let position = this.positions.get(key);
    if (position === undefined) {
      position = rendezvousWeight(ring.name, id);
      this.positions.set(key, position);
    }
    return position;
  }
}
