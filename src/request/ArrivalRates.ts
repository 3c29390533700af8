import type { ZoneName } from '../common/Types';
import DecayingRate from './DecayingRate';
import type { ZoneKey } from './Types';
import zoneKey from './zoneKey';

/** Time constant of the moving averages, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;
/** Rate, in calls per second, below which a zone is dropped; reports have whole calls per second. */
const MIN_RATE_PER_S = 0.5;

/**
 * Rates at which calls arrive at one upstream, by the zone of the daemon that sent them. Calls that are
 * refused count as well, as they are part of the demand.
 */
export default class ArrivalRates {
  private readonly rates = new Map<ZoneKey, DecayingRate>();

  /**
   * @param zone - Zone of the daemon that sent the call.
   * @param now - Monotonic time in ms.
   */
  public record(zone: ZoneName, now: number): void {
    const key = zoneKey(zone);
    const rate = this.rates.get(key) ?? new DecayingRate(TIME_CONSTANT_MS);
    this.rates.set(key, rate);
    rate.add(now);
  }

  /**
   * @param now - Monotonic time in ms.
   * @returns Keys of zones and whole calls per second, alternating; zones that send hardly any calls
   * are left out.
   */
  public report(now: number): readonly number[] {
    const report: number[] = [];
    for (const [key, rate] of this.rates) {
      const perSecond = rate.read(now);
      if (perSecond >= MIN_RATE_PER_S) report.push(key, Math.round(perSecond));
      else this.rates.delete(key);
    }
    return report;
  }
}
