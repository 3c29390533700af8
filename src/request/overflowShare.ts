/**
 * Decides which part of the demand of each zone leaves the zone. Pure functions of what all daemons of
 * a zone know, so that they all reach the same result.
 *
 * @packageDocumentation
 */
import type { ZoneKey } from './Types';

/** Iterations of the bisections; 14 of them resolve a utilisation to less than 0.0001. */
const BISECTION_STEPS = 14;
/**
 * Upper bound of the waiting, in milliseconds, that is considered. Where even this much waiting in
 * other zones makes no room for the overflow, all zones are short and nothing more is moved.
 */
const MAX_WAIT_MS = 5_000;
/** Utilisation, 0 to 1, above which the waiting formula diverges and calls are refused anyway. */
const MAX_UTILISATION = 0.995;

/**
 * Utilisation, 0 to 1, up to which a zone keeps its calls: below it, upstreams have free slots nearly
 * always, and the predicted waiting is within the error of the measurements.
 */
const KEPT_UTILISATION = 0.85;

/** Demand and capacity of a service in one zone. */
export interface ZoneState {
  readonly zone: ZoneKey;
  /** Calls per second that daemons of the zone send, wherever to. */
  readonly demand: number;
  /** Calls per second that the zone's upstreams have to run beside that to shorten their queues. */
  readonly backlog: number;
  /** Calls per second that the zone's upstreams can run. */
  readonly capacity: number;
  /** Number of slots that effectively share one queue; see {@link predictedWaitMs}. */
  readonly pooledSlots: number;
  /** Average time in ms that a call holds a slot. */
  readonly durationMs: number;
}

/** Calls of one route, or of several with the same cost. */
export interface RouteDemand {
  /** Share of these calls among the calls of the service. */
  readonly share: number;
  /** What leaving the zone costs, in milliseconds of waiting. */
  readonly leaveCostMs: number;
}

/**
 * Predicts the mean waiting for a slot, with the approximation of Sakasegawa (1977) for M/M/c queues.
 *
 * @param zone - Duration of calls, and the number of slots that share one queue.
 * @param utilisation - Demand divided by capacity.
 * @returns The mean waiting, in milliseconds.
 */
export function predictedWaitMs(
  { durationMs, pooledSlots }: Pick<ZoneState, 'durationMs' | 'pooledSlots'>,
  utilisation: number,
): number {
  if (utilisation <= 0) return 0;
  const used = Math.min(MAX_UTILISATION, utilisation);
  const exponent = Math.sqrt(2 * (pooledSlots + 1)) - 1;
  return (durationMs * used ** exponent) / (pooledSlots * (1 - used));
}

/** Highest rate, in calls per second, at which the mean waiting in a zone stays within a bound. */
function rateWithin(zone: ZoneState, waitMs: number): number {
  if (zone.capacity <= 0) return 0;
  let low = 0;
  let high = MAX_UTILISATION;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (predictedWaitMs(zone, middle) <= waitMs) low = middle;
    else high = middle;
  }
  return low * zone.capacity;
}

/** Calls per second that leave a zone if calls in other zones wait for `awayMs`; cheap routes first. */
function outflow(zone: ZoneState, routes: readonly RouteDemand[], awayMs: number): number {
  let staying = zone.demand + zone.backlog;
  for (const { share, leaveCostMs } of routes) {
    const kept = Math.max(KEPT_UTILISATION * zone.capacity, rateWithin(zone, awayMs + leaveCostMs));
    const excess = staying - kept;
    staying -= Math.max(0, Math.min(share * zone.demand, excess));
  }
  return zone.demand + zone.backlog - staying;
}

/**
 * Computes the share of one zone's demand that leaves the zone. The waiting in the zones that receive
 * calls is raised until what leaves all short zones finds room; a call leaves only if that waiting and
 * the cost of leaving are together less than the waiting in its own zone. Short zones share the room of
 * the others in proportion to what they lack.
 *
 * Designed for a handful of zones that are short at different times, or two at once.
 *
 * @param own - The zone.
 * @param zones - All zones with demand for the service or with upstreams of it.
 * @param routes - Routes of the service by ascending cost of leaving.
 * @returns Share of the zone's demand that leaves, 0 to 1.
 */
export function overflowShare(
  own: ZoneKey,
  zones: readonly ZoneState[],
  routes: readonly RouteDemand[],
): number {
  const ownState = zones.find(({ zone }) => zone === own);
  if (!ownState || ownState.demand <= 0) return 0;
  if (ownState.capacity <= 0) return 1;
  if (outflow(ownState, routes, 0) === 0) return 0;
  const roomAt = (waitMs: number) =>
    zones.reduce(
      (sum, zone) => sum + Math.max(0, rateWithin(zone, waitMs) - zone.demand - zone.backlog),
      0,
    );
  const outflowAt = (waitMs: number) =>
    zones.reduce((sum, zone) => sum + outflow(zone, routes, waitMs), 0);
  let low = 0;
  let high = MAX_WAIT_MS;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (outflowAt(middle) > roomAt(middle)) low = middle;
    else high = middle;
  }
  // Where no waiting makes enough room, short zones get the room in proportion to what they lack.
  const total = outflowAt(high);
  if (total <= 0) return 0;
  const granted = Math.min(1, roomAt(high) / total);
  return (granted * outflow(ownState, routes, high)) / ownState.demand;
}
