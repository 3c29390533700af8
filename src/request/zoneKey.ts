import type { ZoneName } from '../common/Types';
import type { ZoneKey } from './Types';
import shortKeys from './shortKeys';

const KEY_COUNT = 2 ** 16;

const keyOf = shortKeys<ZoneName>('zone', KEY_COUNT);

/**
 * Returns a short key for a zone, so that a load report needs three bytes instead of the name. Two of
 * five zones have the same key with a probability of 1 in 6,500; their demand is then added up.
 *
 * @param zone - Name of the zone.
 * @returns The key, the same at all daemons.
 */
export default function zoneKey(zone: ZoneName): ZoneKey {
  return keyOf(zone) as ZoneKey;
}
