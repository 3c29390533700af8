import rendezvousWeight from '../common/rendezvousWeight';
import type { Disposable } from '../common/Types';
import type { Membership } from './Types';

/**
 * Rank of this daemon for one role among the members of its zone that are alive and can read the log,
 * by rendezvous hashing; 0 is first.
 */
export default class ZoneRank implements Disposable {
  private cachedRank: number | undefined;

  private readonly subscription: Disposable;

  /**
   * @param members - Known members.
   * @param role - Name of the role, part of the hash input.
   */
  public constructor(
    private readonly members: Membership,
    private readonly role: string,
  ) {
    this.subscription = members.onChange(() => {
      this.cachedRank = undefined;
    });
  }

  public get value(): number {
    this.cachedRank ??= this.computeRank();
    return this.cachedRank;
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private computeRank(): number {
    const { self } = this.members;
    const own = rendezvousWeight(this.role, self.id);
    return this.members
      .live()
      .filter(({ id, zone }) => zone === self.zone && id !== self.id)
      .filter(({ health, readsLog }) => health === 'alive' && readsLog)
      .filter(({ id }) => rendezvousWeight(this.role, id) > own).length;
  }
}
