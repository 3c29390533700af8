import SeededRandom from '../src/common/SeededRandom';
import type { DaemonId, RouteName, ServiceName, SoftwareVersion } from '../src/common/Types';
import type { Upstream } from '../src/request/Types';
import Rollout from '../src/rollout/Rollout';
import RolloutSchedule from '../src/rollout/RolloutSchedule';
import VersionComparison from '../src/rollout/VersionComparison';
import ManualClock from './ManualClock';

const TICK_MS = 250;
/** Time until all daemons know a response: a report and a few hops of gossip, in milliseconds. */
const SPREAD_MS = 1_000;
const DAEMON = 'coq-1' as DaemonId;
const LIMITS = { share: 0.1, slack: 50 };
/** Routes with the share of the calls and the mean duration in milliseconds of each. */
const ROUTES = [
  { name: 'stock' as RouteName, part: 0.6, ms: 20 },
  { name: 'order' as RouteName, part: 0.3, ms: 60 },
  { name: 'report' as RouteName, part: 0.1, ms: 250 },
];

/** Conditions of a call in a play. */
export interface PlayedCall {
  readonly route: RouteName;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  /** Share of the calls that the version gets. */
  readonly share: number;
  readonly isTarget: boolean;
}

/** What the versions do in a play. */
export interface Play {
  readonly callsPerSecond: number;
  readonly durationMs: number;
  /** Share of responses that fail. */
  readonly failing?: (call: PlayedCall) => number;
  /** Factor on the durations. */
  readonly slowness?: (call: PlayedCall) => number;
}

/** Result of a play. */
export interface PlayResult {
  readonly outcome: 'completed' | 'rolled back';
  readonly endedMs: number;
  readonly reason: string;
  readonly calls: number;
  readonly exposed: number;
  /** Calls sent to the target version later than 5 s after its 50th bad response. */
  readonly late: number;
}

/**
 * Plays a rollout on a virtual clock, with all daemons as one whose evidence is a second old. Durations are
 * log-normal with a relative spread of 0.4, at upstreams whose speeds differ by factors of 0.5 to 1.7 and of
 * which 15 % are 2.5 times slower at a time.
 *
 * @param play - What the versions do.
 * @param seed - Seed of all random numbers.
 * @returns What became of the order.
 */
export default function replayRollout(play: Play, seed: number): PlayResult {
  const random = new SeededRandom(seed);
  const draw = () => random.below(2 ** 30) / 2 ** 30;
  const normal = () => Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
  const clock = new ManualClock();
  const rollout = new Rollout(
    {
      service: 'stock' as ServiceName,
      version: 'v2' as SoftwareVersion,
      durationMs: play.durationMs,
      number: 1,
    },
    0,
    true,
    [],
    new VersionComparison(),
    new RolloutSchedule(() => LIMITS),
    clock,
    { log: () => undefined },
  );
  rollout.noteRunning(0);
  const upstreams = ['v1', 'v1', 'v2', 'v2'].map((version) => ({
    service: 'stock',
    daemon: DAEMON,
    version,
    slots: 8,
  })) as unknown as Upstream[];
  const surroundings = {
    upstreams,
    members: [DAEMON],
    openElsewhere: () => 0,
    reportTimeoutMs: 10_000,
    isStoreCurrent: true,
    hasStore: true,
  };
  const pending: { at: number; isTarget: boolean; route: RouteName; status: number; ms: number }[] =
    [];
  let calls = 0;
  let exposed = 0;
  let bad = 0;
  let fiftiethAt = Infinity;
  let late = 0;
  let credit = draw();
  let owed = 0;
  for (let elapsedMs = 0; elapsedMs < play.durationMs + 1_000; elapsedMs += TICK_MS) {
    clock.advance(TICK_MS);
    owed += (play.callsPerSecond * TICK_MS) / 1_000 + normal() * 0.5;
    for (; owed >= 1; owed -= 1) {
      calls += 1;
      credit += rollout.share;
      const isTarget = credit >= 1;
      if (isTarget) credit -= 1;
      const at = draw();
      const route =
        ROUTES.find(({ part }, index) => at < part + (index === 0 ? 0 : ROUTES[0]!.part)) ??
        ROUTES[2]!;
      const share = isTarget ? rollout.share : 1 - rollout.share;
      const call = { route: route.name, elapsedMs, share, isTarget };
      if (isTarget) exposed += 1;
      if (isTarget && elapsedMs > fiftiethAt + 5_000) late += 1;
      const slowness = play.slowness?.(call) ?? 1;
      const speed = (0.5 + 1.2 * draw()) * (draw() < 0.15 ? 2.5 : 1);
      const ms = route.ms * speed * slowness * Math.exp(0.4 * normal());
      const isFailed = draw() < (play.failing?.(call) ?? 0);
      if (isTarget && (isFailed || slowness >= 4)) {
        bad += 1;
        if (bad === 50) fiftiethAt = elapsedMs + ms;
      }
      const readAt = elapsedMs + ms + SPREAD_MS;
      pending.push({ at: readAt, isTarget, route: route.name, status: isFailed ? 500 : 200, ms });
    }
    for (let index = pending.length - 1; index >= 0; index -= 1) {
      const { at, isTarget, route, status, ms } = pending[index]!;
      if (at > elapsedMs) continue;
      pending[index] = pending.at(-1)!;
      pending.pop();
      const end = { status, isCancelled: false, isNotRun: false, elapsedMs: ms };
      rollout.record(isTarget ? 'target' : 'old', route, end);
    }
    rollout.advance(surroundings);
    rollout.evidence.report(DAEMON, 1, rollout.reportedStep);
    const due = rollout.dueRecord(surroundings);
    if (due) {
      const outcome = due === 'completed' ? 'completed' : 'rolled back';
      const { stop: reason = '' } = rollout;
      return { outcome, endedMs: elapsedMs, reason, calls, exposed, late };
    }
  }
  return { outcome: 'rolled back', endedMs: Infinity, reason: 'no end', calls, exposed, late };
}
