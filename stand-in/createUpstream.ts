import type { Address, DaemonId, Incarnation, ServiceName, ZoneName } from '../src/common/Types';
import type { Upstream } from '../src/request/Types';

/** Virtual time in milliseconds at which upstreams of replays started: none of them is cold. */
const SERVING_SINCE = -60_000;

/**
 * Creates an upstream of a replay, as balancers see it.
 *
 * @param service - Name of its service.
 * @param daemon - Name of the daemon beside it.
 * @param zone - Name of its zone.
 * @param slots - Number of its slots.
 * @returns The upstream, healthy and warm.
 */
export default function createUpstream(
  service: string,
  daemon: string,
  zone: string,
  slots: number,
): Upstream {
  return {
    service: service as ServiceName,
    daemon: daemon as DaemonId,
    incarnation: 1 as Incarnation,
    address: daemon as Address,
    zone: zone as ZoneName,
    suspect: false,
    healthHint: true,
    servingSince: SERVING_SINCE,
    slots,
  };
}
