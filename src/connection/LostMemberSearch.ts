import { jitteredBackoff, type Backoff } from '../common/backoff';
import type { Clock, DaemonId, Random } from '../common/Types';
import HashRings from './HashRings';
import type { MemberRecord } from './Types';

/** Backoff between two tries to contact the same lost member. */
const SEARCH_BACKOFF: Backoff = { baseMs: 500, capMs: 3_000 };

/** Progress of the search for one member. */
interface Search {
  readonly tries: number;
  /** Monotonic time in ms before which the member isn't contacted. */
  readonly nextAt: number;
}

/**
 * Decides which lost members this daemon contacts, and when. A member is lost if it is suspect, was declared dead
 * or has left; most come back, at the same address.
 *
 * Handles daemons that restart while the store is away, and the two sides of a network partition. A restarted
 * daemon knows nobody, so without the store it depends on being found. Each lost member is contacted by the
 * daemons before it on the hash rings, which are at most four whatever the size of the fleet.
 */
export default class LostMemberSearch {
  private readonly searches = new Map<DaemonId, Search>();

  public constructor(
    private readonly hashRings: HashRings,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * @param self - Record of this daemon.
   * @param members - All known members, including those that are dead or have left.
   * @returns The lost members to contact now; the next try at each of them is deferred.
   */
  public takeDue(self: MemberRecord, members: readonly MemberRecord[]): readonly MemberRecord[] {
    const isPresent = ({ health, state }: MemberRecord) => health === 'alive' && state !== 'gone';
    const lost = members.filter((member) => member.id !== self.id && !isPresent(member));
    if (lost.length === 0) {
      this.searches.clear();
      return [];
    }
    const sought = this.hashRings.lostBefore(self, members.filter(isPresent), lost);
    const soughtIds = new Set(sought.map(({ id }) => id));
    for (const id of this.searches.keys()) if (!soughtIds.has(id)) this.searches.delete(id);
    return sought.filter(({ id }) => this.isDue(id));
  }

  private isDue(id: DaemonId): boolean {
    const now = this.clock.now();
    const { tries, nextAt } = this.searches.get(id) ?? { tries: 0, nextAt: now };
    if (now < nextAt) return false;
    const delayMs = jitteredBackoff(SEARCH_BACKOFF, tries + 1, this.random);
    this.searches.set(id, { tries: tries + 1, nextAt: now + delayMs });
    return true;
  }
}
