import rendezvousWeight from '../common/rendezvousWeight';
import type { DaemonId } from '../common/Types';
import type { MemberRecord } from './Types';

/** A hash ring of all members or of the members of one zone. */
interface Ring {
  readonly name: string;
  readonly withinZone: boolean;
}

/**
 * Two rings within the zone and two over all zones. Their union is an expander graph, so gossip needs
 * few hops, and each ring alone connects all of its members. Each daemon opens one link per ring.
 */
const RINGS: readonly Ring[] = [
  { name: 'zone-a', withinZone: true },
  { name: 'zone-b', withinZone: true },
  { name: 'fleet-a', withinZone: false },
  { name: 'fleet-b', withinZone: false },
];

/** Ring of all members on which each daemon watches its successor. */
const WATCH_RING = RINGS.find(({ withinZone }) => !withinZone)!;

/** Computes this daemon's successors on the hash rings. */
export default class HashRings {
  private readonly positions = new Map<string, number>();

  /**
   * @param self - Record of this daemon.
   * @param members - Members that can be successors.
   * @returns The successors on all rings, without duplicates.
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

  /**
   * @param self - Record of this daemon.
   * @param members - Members that can be successors.
   * @returns The successor on the one ring of all members on which each daemon watches the next.
   */
  public watched(self: MemberRecord, members: readonly MemberRecord[]): MemberRecord | undefined {
    return this.successor(WATCH_RING, self, members);
  }

  /**
   * The lost members that would be between this daemon and its successor on some ring. On each ring, every lost
   * member has one daemon before it for which it is listed.
   *
   * @param self - Record of this daemon.
   * @param members - Members that can be successors.
   * @param lost - Members that can't.
   */
  public lostBefore(
    self: MemberRecord,
    members: readonly MemberRecord[],
    lost: readonly MemberRecord[],
  ): readonly MemberRecord[] {
    const listed = new Set<MemberRecord>();
    for (const ring of RINGS) {
      const successor = this.successor(ring, self, members);
      const limit = successor ? this.distance(ring, self, successor) : Infinity;
      for (const member of lost) {
        const isOnRing = !ring.withinZone || member.zone === self.zone;
        if (isOnRing && this.distance(ring, self, member) < limit) listed.add(member);
      }
    }
    return [...listed];
  }

  /** @param known - Members whose cached ring positions are kept; all others are removed. */
  public prune(known: ReadonlySet<DaemonId>): void {
    for (const key of this.positions.keys()) {
      if (!known.has(key.slice(key.indexOf('\n') + 1) as DaemonId)) this.positions.delete(key);
    }
  }

  private successor(
    ring: Ring,
    self: MemberRecord,
    members: readonly MemberRecord[],
  ): MemberRecord | undefined {
    let next: MemberRecord | undefined;
    let nextDistance = Infinity;
    for (const member of members) {
      if (member.id === self.id || (ring.withinZone && member.zone !== self.zone)) continue;
      const distance = this.distance(ring, self, member);
      if (distance < nextDistance) {
        next = member;
        nextDistance = distance;
      }
    }
    return next;
  }

  private distance(ring: Ring, from: MemberRecord, to: MemberRecord): number {
    const offset = this.position(ring, to.id) - this.position(ring, from.id);
    // Positions are 48-bit hashes, and the ring wraps around.
    return offset > 0 ? offset : offset + 2 ** 48;
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
