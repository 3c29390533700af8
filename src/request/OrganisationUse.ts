import type { OrganisationName } from '../common/Types';
import DecayingSum from './DecayingSum';

/** Time over which the use is averaged, in milliseconds: several times as long as calls hold slots. */
const TIME_CONSTANT_MS = 2_000;
/** Use in milliseconds of slot time below which an organisation is forgotten. */
const MIN_USE_MS = 1;
/** Number of organisations above which those with little use are forgotten. */
const MAX_TRACKED = 100;

/**
 * Slot time that each organisation got lately. Of two organisations that wait, the one with less use is served first,
 * which divides the slots max-min fairly: none gets less than an equal share unless it asks for less.
 */
export default class OrganisationUse {
  private readonly uses = new Map<OrganisationName, DecayingSum>();

  /**
   * @param organisation - Organisation whose call got a slot.
   * @param durationMs - Time for which it is expected to hold it, in milliseconds.
   * @param now - Monotonic time, in milliseconds.
   */
  public add(organisation: OrganisationName, durationMs: number, now: number): void {
    const use = this.uses.get(organisation) ?? new DecayingSum(TIME_CONSTANT_MS);
    this.uses.set(organisation, use);
    use.add(Math.max(1, durationMs), now);
    if (this.uses.size > MAX_TRACKED) this.forgetUnused(now);
  }

  /**
   * @param organisation - Name of an organisation.
   * @param now - Monotonic time, in milliseconds.
   * @returns Its use, in milliseconds of slot time.
   */
  public read(organisation: OrganisationName, now: number): number {
    return this.uses.get(organisation)?.read(now) ?? 0;
  }

  private forgetUnused(now: number): void {
    for (const name of this.uses.keys()) {
      if (this.read(name, now) < MIN_USE_MS) this.uses.delete(name);
    }
  }
}
