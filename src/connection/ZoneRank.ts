import rendezvousWeight from '../common/rendezvousWeight';
import type { Disposable } from '../common/Types';
import type { Membership } from './Types';

/** Place of this daemon among the live members of its zone for one duty; 0 is first. */
export default class ZoneRank implements Disposable {
  private cached: number | undefined;

  private readonly subscription: Disposable;

  /**
   * @param members - Who is known.
   * @param duty - Name of the duty.
   */
  public constructor(
    private readonly members: Membership,
    private readonly duty: string,
  ) {
    this.subscription = members.onChange(() => {
      this.cached = undefined;
    });
  }

  public get value(): number {
    this.cached ??= this.compute();
    return this.cached;
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private compute(): number {
    const { self } = this.members;
    const own = rendezvousWeight(this.duty, self.id);
    return this.members
      .live()
      .filter(({ id, zone }) => zone === self.zone && id !== self.id)
      .filter(({ health, readsLog }) => health === 'alive' && readsLog)
      .filter(({ id }) => rendezvousWeight(this.duty, id) > own).length;
  }
}
