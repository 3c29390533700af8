import type { Finding, RolloutLimits } from './Types';

/** Step at which the target version gets nothing. */
export const STEP_NONE = 0;
/** Step of the first calls to the target version. */
export const STEP_FIRST = 1;
/** Last step within the limit on the calls of an unproven version. */
export const STEP_TRIAL = 2;
/** Step at which the target version gets all calls. */
export const STEP_FULL = 5;
/**
 * Part of the permitted share that the target version gets at the first step and during its trial. The rest is
 * for the calls that it gets while shares grow: a version that is bad only under load is found there.
 */
const FIRST_FRACTION = 0.5;
const TRIAL_FRACTION = 0.6;
/** Part of the permitted slack that the trial may use where there are few calls. */
const TRIAL_SLACK_FRACTION = 0.4;
/** Highest share of a trial that uses the slack, as a multiple of the permitted share. */
const MAX_TRIAL_FACTOR = 3;
/** Shares of the steps after the trial. */
const GROWTH_SHARES: Readonly<Record<number, number>> = { 3: 0.25, 4: 0.5, 5: 1 };
const GROWTH_STEPS = 3;
/** Part of the duration for the growth after the trial, and its limits in milliseconds. */
const GROWTH_FRACTION = 0.2;
const MIN_GROWTH_MS = 1_800;
const MAX_GROWTH_MS = 6_000;
/** Time before the deadline at which all is to be done, in milliseconds, and as a part of the duration. */
const MARGIN_MS = 2_000;
const MAX_MARGIN_FRACTION = 0.1;
/** Time at the full share before the verdict: reports of all daemons and one second, in milliseconds. */
const FULL_MS = 3_000;
/** Shortest time at a step when the rollout is late, in milliseconds. */
const MIN_STEP_MS = 600;
/** Responses at a step of growth after which the next may follow, if so many calls are expected at all. */
const MIN_STEP_RESPONSES = 8;
/**
 * Responses of all versions below which a version may grow without having proved itself: even a bad one is found
 * within the slack.
 */
const SCARCE_RESPONSES = 100;
/** Responses after which a trial goes from its first step to the next one. */
const MIN_FIRST_RESPONSES = 5;

/** State of a rollout on which its next step depends. */
export interface RolloutSituation {
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Current step and time since it began, in milliseconds. */
  readonly step: number;
  readonly sinceStepMs: number;
  readonly finding: Finding;
  /** Responses of the target version: since the order, and since the current step began. */
  readonly targetResponses: number;
  readonly stepResponses: number;
  /** Responses of all versions since the order. */
  readonly allResponses: number;
  readonly targetServes: boolean;
  /** Why the share may not grow, such as a store out of reach; `undefined` if it may. */
  readonly obstacle: string | undefined;
  /** Highest share for which the target's upstreams have slots, 0 to 1. */
  readonly capacityShare: number;
}

/** Share of the calls that the target version gets, and why. */
export interface RolloutStep {
  readonly step: number;
  readonly share: number;
  readonly reason: string;
}

/**
 * Decides which share of a service's calls the target version gets.
 *
 * Designed so that a version which turns out bad at any time before the growth, which takes the last quarter of
 * the duration, has got less than the permitted share, and one that is bad under load is found at a quarter or
 * half of the calls within what is left of the permission. A good version gets all calls about four seconds
 * before the deadline. All daemons that have the same evidence take the same step.
 */
export default class RolloutSchedule {
  /** @param limits - Limits on the calls of an unproven version. */
  public constructor(private readonly limits: () => RolloutLimits) {}

  /**
   * @param situation - Evidence, time and capacity.
   * @returns The step to carry out now.
   */
  public next(situation: RolloutSituation): RolloutStep {
    const { step, targetServes, finding } = situation;
    if (!targetServes) {
      return this.at(STEP_NONE, situation, 'no upstream of the target version serves');
    }
    const obstacle = RolloutSchedule.obstacleTo(step + 1, situation);
    if (obstacle !== undefined || step >= STEP_FULL) {
      return this.at(step, situation, obstacle ?? finding.reason);
    }
    return this.at(step + 1, situation, finding.reason);
  }

  private static obstacleTo(next: number, situation: RolloutSituation): string | undefined {
    const { finding, obstacle, targetResponses, sinceStepMs, elapsedMs } = situation;
    if (next > STEP_FULL) return undefined;
    if (obstacle !== undefined) return obstacle;
    if (finding.outcome === 'bad' || finding.outcome === 'suspect') return finding.reason;
    if (next === STEP_FIRST) return undefined;
    const { startMs, stepMs } = RolloutSchedule.growth(situation);
    if (next === STEP_TRIAL) {
      const isScarce = elapsedMs >= startMs && situation.allResponses < SCARCE_RESPONSES;
      const hasResponses = targetResponses >= MIN_FIRST_RESPONSES || isScarce;
      return hasResponses ? undefined : 'few responses yet';
    }
    if (elapsedMs < startMs + (next - STEP_TRIAL - 1) * stepMs) return 'monitored until it is due';
    if (sinceStepMs < Math.min(stepMs, MIN_STEP_MS)) return 'the step has just begun';
    const hasSlots = situation.capacityShare >= GROWTH_SHARES[next]!;
    if (!hasSlots) return 'too few slots at the target version';
    return RolloutSchedule.lacksEvidence(situation)
      ? `too little evidence: ${finding.reason}`
      : undefined;
  }

  /** Whether there are calls enough for evidence, but not enough evidence. */
  private static lacksEvidence(situation: RolloutSituation): boolean {
    const { finding, step, sinceStepMs, stepResponses, allResponses, elapsedMs } = situation;
    const rate = allResponses / Math.max(1, elapsedMs);
    if (step > STEP_TRIAL) {
      const expected = rate * sinceStepMs * GROWTH_SHARES[step]!;
      return stepResponses < Math.min(MIN_STEP_RESPONSES, expected / 2);
    }
    return finding.outcome !== 'good' && allResponses >= SCARCE_RESPONSES;
  }

  private at(step: number, situation: RolloutSituation, reason: string): RolloutStep {
    if (step > STEP_TRIAL) return { step, share: GROWTH_SHARES[step]!, reason };
    const { targetResponses, allResponses, durationMs, elapsedMs } = situation;
    const { share: permitted, slack } = this.limits();
    const budget = TRIAL_SLACK_FRACTION * slack;
    // The permission grows with the calls; a trial never runs ahead of it.
    if (
      step === STEP_NONE ||
      targetResponses >= permitted * TRIAL_FRACTION * allResponses + budget
    ) {
      return { step, share: 0, reason: step === STEP_NONE ? reason : 'exposure used up' };
    }
    if (step === STEP_FIRST) return { step, share: permitted * FIRST_FRACTION, reason };
    const expected = (allResponses / Math.max(1, elapsedMs)) * durationMs;
    const share = permitted * TRIAL_FRACTION + budget / Math.max(1, expected);
    return { step, share: Math.min(MAX_TRIAL_FACTOR * permitted, share), reason };
  }

  private static growth({ durationMs }: RolloutSituation): { startMs: number; stepMs: number } {
    const growthMs = Math.min(MAX_GROWTH_MS, Math.max(MIN_GROWTH_MS, durationMs * GROWTH_FRACTION));
    const marginMs = Math.min(MARGIN_MS, durationMs * MAX_MARGIN_FRACTION);
    const startMs = Math.max(0, durationMs - marginMs - FULL_MS - growthMs);
    // The full share is reached at the end of the growth, so its steps are the times between the others.
    return { startMs, stepMs: growthMs / (GROWTH_STEPS - 1) };
  }
}
