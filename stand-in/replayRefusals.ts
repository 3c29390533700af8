/**
 * Replays, in virtual time, an upstream service with enough slots for its calls whose daemons stand
 * still for a second. Each offer of a call, each refusal and each inner call of a run takes processor
 * time of the daemon beside the upstream; refused callers come again.
 *
 * @packageDocumentation
 */
import SeededRandom from '../src/common/SeededRandom';
import type { RouteName } from '../src/common/Types';
import type AdaptiveThrottle from '../src/request/AdaptiveThrottle';
import AdmissionController from '../src/request/AdmissionController';
import CancelController from '../src/request/CancelController';
import NotRunError from '../src/request/NotRunError';
import RetryAdvice from '../src/request/RetryAdvice';
import type ManualClock from './ManualClock';
import VirtualTimeline from './VirtualTimeline';

const UPSTREAMS = 3;
const CALLER_DAEMONS = 13;
const LIMITS = { slots: 18, queue: 144, warmUpMs: 0 };
const CALLS_PER_SECOND = 430;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 2_000;
const LATE_WORTH = 0.3;
const MAX_TRIES = 3;
const MIN_WORK_MS = 50;
const WORK_SPREAD_MS = 40;
const INNER_CALL_SHARE = 0.7;
const INNER_CALL_MS = 25;
const INNER_DEADLINE_MS = 250;
/** Processor time of a daemon for reading an offered call, in milliseconds. */
const OFFER_COST_MS = 1.5;
/** Processor time of a daemon for an answer or a refusal, in milliseconds. */
const REPLY_COST_MS = 0.7;
/** Processor time of a daemon for an inner call of its upstream, in milliseconds. */
const INNER_CALL_COST_MS = 2;
const STANDSTILL_AT_MS = 3_000;
const STANDSTILL_MS = 1_000;
const SECONDS = 14;

/** Decides whether a call is rejected before it is offered, and learns what became of the others. */
export type Throttle = Pick<AdaptiveThrottle, 'shouldReject' | 'recordAdmitted' | 'recordRefused'>;

/** A daemon beside an upstream: a processor that does one thing at a time, and the upstream's slots. */
class UpstreamDaemon {
  private readonly admission: AdmissionController;

  private busyUntil = 0;

  public constructor(
    private readonly timeline: VirtualTimeline,
    private readonly random: SeededRandom,
  ) {
    this.admission = new AdmissionController(LIMITS, timeline.clock, 0);
  }

  public work(ms: number): Promise<void> {
    this.busyUntil = Math.max(this.busyUntil, this.timeline.clock.now()) + ms;
    return this.timeline.until(this.busyUntil);
  }

  /** Runs a call; resolves with whether it succeeded. */
  public async offer(deadline: number, signal: CancelController): Promise<boolean> {
    const { clock } = this.timeline;
    const arrivedAt = clock.now();
    await this.work(OFFER_COST_MS);
    try {
      const objective = arrivedAt + OBJECTIVE_MS;
      const request = { route: 'stock' as RouteName, priority: 2, deadline, objective };
      const release = await this.admission.acquire(request, signal);
      await this.timeline.until(clock.now() + MIN_WORK_MS + this.random.below(WORK_SPREAD_MS));
      const succeeded =
        this.random.below(1_000) >= INNER_CALL_SHARE * 1_000 || (await this.callInner());
      release();
      return succeeded;
    } finally {
      await this.work(REPLY_COST_MS);
    }
  }

  /** Makes an inner call, for which the run waits at most until the call's deadline. */
  private async callInner(): Promise<boolean> {
    const { clock } = this.timeline;
    const startedAt = clock.now();
    const deadline = startedAt + INNER_DEADLINE_MS;
    await Promise.race([this.work(INNER_CALL_COST_MS), this.timeline.until(deadline)]);
    await this.timeline.until(Math.min(deadline, clock.now() + INNER_CALL_MS));
    return clock.now() < deadline;
  }
}

/**
 * Runs the replay.
 *
 * @param createThrottle - Creates the throttle of each daemon that callers send their calls to.
 * @returns Share of their worth that the calls of each second earned.
 */
export default async function replayRefusals(
  createThrottle: (clock: ManualClock, random: SeededRandom) => Throttle,
): Promise<readonly number[]> {
  const random = new SeededRandom(39);
  const timeline = new VirtualTimeline();
  const { clock } = timeline;
  const advice = new RetryAdvice(random);
  const daemons = Array.from({ length: UPSTREAMS }, () => new UpstreamDaemon(timeline, random));
  const throttles = Array.from({ length: CALLER_DAEMONS }, () => createThrottle(clock, random));
  const earned = Array.from({ length: SECONDS }, () => 0);
  const owed = Array.from({ length: SECONDS }, () => 0);

  /** One try of a caller; returns whether it succeeded, or after how many ms to come again. */
  const tryOnce = async (throttle: Throttle, deadline: number): Promise<boolean | number> => {
    if (throttle.shouldReject()) return advice.delayWhenFullMs(undefined);
    const signal = new CancelController();
    const first = random.below(UPSTREAMS);
    const second = (first + 1 + random.below(UPSTREAMS - 1)) % UPSTREAMS;
    let retryAfterMs: number | undefined;
    for (const index of [first, second]) {
      try {
        const answer = daemons[index]!.offer(deadline, signal);
        const succeeded = await Promise.race([answer, timeline.until(deadline).then(() => false)]);
        if (clock.now() >= deadline) signal.abort(undefined);
        throttle.recordAdmitted();
        return succeeded;
      } catch (error) {
        retryAfterMs = (error as NotRunError).details.retryAfterMs;
      }
    }
    throttle.recordRefused(retryAfterMs!);
    return advice.delayWhenFullMs(retryAfterMs);
  };

  const call = async () => {
    const startedAt = clock.now();
    const second = Math.floor(startedAt / 1_000);
    const deadline = startedAt + DEADLINE_MS;
    owed[second]! += 1;
    for (let tries = 0; tries < MAX_TRIES && clock.now() < deadline; tries += 1) {
      const result = await tryOnce(throttles[random.below(CALLER_DAEMONS)]!, deadline);
      if (result === true) {
        const elapsedMs = clock.now() - startedAt;
        if (elapsedMs <= OBJECTIVE_MS) earned[second]! += 1;
        else if (elapsedMs <= DEADLINE_MS) earned[second]! += LATE_WORTH;
        return;
      }
      const leftMs = deadline - clock.now();
      await timeline.until(clock.now() + Math.min(result || 0, leftMs / 3));
    }
  };

  for (let ms = 0; ms < SECONDS * 1_000; ms += 1) {
    if (ms === STANDSTILL_AT_MS) for (const daemon of daemons) void daemon.work(STANDSTILL_MS);
    if (random.below(1_000) < CALLS_PER_SECOND) void call();
    await timeline.advance();
  }
  return earned.map((worth, second) => worth / owed[second]!).slice(0, -2);
}
