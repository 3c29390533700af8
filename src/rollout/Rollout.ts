import type { Clock, DaemonId, Logger, ServiceName, SoftwareVersion } from '../common/Types';
import type { AttemptEnd, Upstream } from '../request/Types';
import { bucketOf, BROKEN, FAILED, meanMs, totalOf } from './counts';
import EvidenceTable from './EvidenceTable';
import type RolloutSchedule from './RolloutSchedule';
import { STEP_FULL, STEP_NONE, type RolloutStep } from './RolloutSchedule';
import type VersionComparison from './VersionComparison';
import { sumRoutes } from './VersionComparison';
import type { Finding, RolloutHead, RolloutOrder, Side, StatusRecord, Verdict } from './Types';

/** Lowest status of a response that counts as a failure. */
const FAILURE_STATUS = 500;
/** Time for which all daemons must have sent everything to the target version, in milliseconds. */
const FULL_FOR_MS = 1_000;
/**
 * Time before the deadline from which most of the daemons are enough, in milliseconds. The record may have to
 * wait for the second or third daemon by rank.
 */
const LAST_CHANCE_MS = 2_500;
/**
 * Age of an order in milliseconds from which a recorded verdict on its version is taken to be its own, even if
 * this daemon never heard of its record of state `running`; such a record is written within a second.
 */
const RECORDED_AFTER_MS = 5_000;
/** Factor on the mean duration for cancelled attempts to count as slow responses. */
const CANCELLED_FACTOR = 4;
/** Part of the old version's slots from which the target version is taken to have enough. */
const SUFFICIENT_SLOTS = 0.8;
/** Slots assumed for an upstream that reports none. */
const ASSUMED_SLOTS = 8;
/** Highest planned utilisation of the target version's slots. */
const MAX_UTILISATION = 0.9;

/** What a rollout depends on around it. */
export interface RolloutSurroundings {
  /** Upstreams of the service that serve. */
  readonly upstreams: readonly Upstream[];
  /** Ids of the daemons that are known and haven't left. */
  readonly members: readonly DaemonId[];
  /**
   * @param service - Name of the service.
   * @param version - Ordered version.
   * @returns Number of calls of this daemon that are open at upstreams of other versions.
   */
  readonly openElsewhere: (service: ServiceName, version: SoftwareVersion) => number;
  /** Time after which a daemon that hasn't reported counts as out of reach, in milliseconds. */
  readonly reportTimeoutMs: number;
  /** Whether the store was read a short time ago, by any daemon. */
  readonly isStoreCurrent: boolean;
  /** Whether states are recorded in a store. */
  readonly hasStore: boolean;
}

/** State of a rollout as shown by the commands `status` and `dump`. */
export interface RolloutState {
  readonly service: string;
  readonly version: string;
  readonly number: number;
  readonly elapsedMs: number;
  readonly durationMs: number;
  readonly step: number;
  readonly share: number;
  readonly reason: string;
  readonly finding: string;
  readonly verdict: Verdict | null;
  readonly isRecorded: boolean;
  readonly responses: { readonly old: number; readonly target: number; readonly bad: number };
}

/** One order: its evidence, the share that the target version gets, and its verdict. */
export default class Rollout {
  public readonly evidence: EvidenceTable;

  /** Versions of earlier orders that weren't completed. */
  public readonly barred: ReadonlySet<SoftwareVersion>;

  /** Increases with each change of what {@link Rollout.head} returns. */
  public revision = 0;

  /** Monotonic time in milliseconds at which the order was given, as far as known. */
  private startedAt: number;

  private isAgeKnown: boolean;

  private runningOffset: number | undefined;

  private stopReason: string | undefined;

  private recorded: Verdict | undefined;

  private current: RolloutStep = { step: STEP_NONE, share: 0, reason: 'just ordered' };

  private stepSince: number;

  /** Responses of the target version when the current step began. */
  private stepResponses = 0;

  private finding: Finding = { outcome: 'unknown', reason: 'no evidence' };

  private fullSince: number | undefined;

  private hasSeenOld = false;

  private openOld = 0;

  /**
   * @param order - The order.
   * @param ageMs - Time since it was given, in milliseconds.
   * @param isAgeKnown - Whether the age is that of the order, not the time since it was first read.
   * @param barred - Versions of earlier orders that weren't completed.
   * @param comparison - Compares the versions.
   * @param schedule - Decides the share of the target version.
   * @param clock - Monotonic clock.
   * @param logger - Logs each change of step and the verdict.
   */
  public constructor(
    public readonly order: RolloutOrder,
    ageMs: number,
    isAgeKnown: boolean,
    barred: readonly SoftwareVersion[],
    private readonly comparison: VersionComparison,
    private readonly schedule: RolloutSchedule,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.evidence = new EvidenceTable(clock);
    this.startedAt = clock.now() - ageMs;
    this.isAgeKnown = isAgeKnown;
    this.stepSince = clock.now();
    this.barred = new Set(barred);
  }

  /** Whether neither a verdict is recorded nor, without a store, one was reached. */
  public get isRunning(): boolean {
    return this.recorded === undefined;
  }

  /** Verdict that is recorded; `undefined` while there is none. */
  public get verdict(): Verdict | undefined {
    return this.recorded;
  }

  /** Why the target version was rolled back; `undefined` if it wasn't. */
  public get stop(): string | undefined {
    return this.stopReason;
  }

  /** Whether the age is that of the order, not the time since it was first read. */
  public get hasKnownAge(): boolean {
    return this.isAgeKnown;
  }

  public get elapsedMs(): number {
    return this.clock.now() - this.startedAt;
  }

  /** Share of the calls that the target version gets from this daemon. */
  public get share(): number {
    if (this.recorded === 'completed') return 1;
    return (this.recorded ?? this.stopReason) ? 0 : this.current.share;
  }

  /** Whether the target version may serve where no upstream of another version is left. */
  public get mayStandIn(): boolean {
    if (this.recorded ?? this.stopReason) return this.recorded === 'completed';
    return !this.hasSeenOld || this.finding.outcome === 'good' || this.current.step > 2;
  }

  /** Step that this daemon reports: the full one only when no call of it runs at an old upstream any more. */
  public get reportedStep(): number {
    const { step } = this.current;
    return step === STEP_FULL && this.openOld > 0 ? step - 1 : step;
  }

  public get head(): RolloutHead {
    return {
      durationMs: this.order.durationMs,
      // Rounded down, so that an age which is passed round in a circle doesn't grow.
      ageMs: Math.max(0, Math.floor(this.elapsedMs)),
      isAgeKnown: this.isAgeKnown,
      runningOffset: this.runningOffset ?? null,
      stop: this.stopReason ?? null,
      verdict: this.recorded ?? null,
      barred: [...this.barred],
    };
  }

  public get state(): RolloutState {
    const { old, target } = sumRoutes(this.evidence.all);
    return {
      service: this.order.service,
      version: this.order.version,
      number: this.order.number,
      elapsedMs: Math.round(this.elapsedMs),
      durationMs: this.order.durationMs,
      step: this.current.step,
      share: this.share,
      reason: this.stopReason ?? this.current.reason,
      finding: `${this.finding.outcome}: ${this.finding.reason}`,
      verdict: this.recorded ?? null,
      isRecorded: this.runningOffset !== undefined || this.recorded !== undefined,
      responses: {
        old: totalOf(old),
        target: totalOf(target),
        bad: target[FAILED]! + target[BROKEN]!,
      },
    };
  }

  /**
   * State that is to be recorded now; `undefined` if there is none.
   *
   * @param surroundings - Members and upstreams.
   */
  public dueRecord({ hasStore }: RolloutSurroundings): StatusRecord['state'] | undefined {
    if (this.recorded !== undefined) return undefined;
    if (this.stopReason !== undefined) return 'rolled_back';
    if (this.fullSince !== undefined && this.clock.now() - this.fullSince >= FULL_FOR_MS) {
      return 'completed';
    }
    return hasStore && this.runningOffset === undefined ? 'running' : undefined;
  }

  /** @param version - Version of an upstream's software. */
  public sideOf(version: SoftwareVersion | undefined): Side {
    return version === this.order.version ? 'target' : 'old';
  }

  /**
   * Counts how an attempt of this daemon ended.
   *
   * @param side - Version of the upstream.
   * @param route - Route of the call.
   * @param end - How it ended.
   * @returns Whether it was a failure at the target version, which peers are to learn soon.
   */
  public record(side: Side, route: string, end: AttemptEnd): boolean {
    const index = this.countIndex(route, end);
    if (index === undefined || !this.isRunning) return false;
    this.evidence.record(route, side, index);
    return side === 'target' && (index <= BROKEN || this.isSlow(route, end.elapsedMs));
  }

  /** Merges what a peer knows of this order. */
  public mergeHead(head: RolloutHead): void {
    const startedAt = this.clock.now() - head.ageMs;
    if (head.isAgeKnown && !this.isAgeKnown) {
      this.isAgeKnown = true;
      this.startedAt = startedAt;
      this.revision += 1;
    } else if (head.isAgeKnown === this.isAgeKnown) {
      this.startedAt = Math.min(this.startedAt, startedAt);
    }
    if (head.runningOffset !== null) this.noteRunning(head.runningOffset);
    if (head.stop !== null) this.rollBack(head.stop, 'a peer');
    if (head.verdict !== null) this.settle(head.verdict, 'a peer');
  }

  /** @param offset - Offset of the record of state `running`. */
  public noteRunning(offset: number): void {
    if (this.runningOffset !== undefined && this.runningOffset >= offset) return;
    this.runningOffset = offset;
    this.revision += 1;
  }

  /**
   * Applies a record of the store. One with a verdict may belong to an earlier order for the same version:
   * it does if it is older than the record of state `running`, or if this order is new and has no such record.
   *
   * @param record - Newest record of the service.
   */
  public applyStatus({ state, version, offset }: StatusRecord): void {
    if (version !== this.order.version || this.recorded !== undefined) return;
    if (state === 'running') this.noteRunning(offset);
    else if (this.isOfThisOrder(offset)) this.settle(state, 'the store');
  }

  /**
   * @param verdict - Final verdict, as recorded.
   * @param source - Where it was learnt.
   */
  public settle(verdict: Verdict, source: string): void {
    if (this.recorded !== undefined) return;
    this.recorded = verdict;
    this.revision += 1;
    this.log('A rollout has ended.', { verdict, source, evidence: this.state.responses });
    this.evidence.close();
  }

  /**
   * Takes all calls away from the target version.
   *
   * @param reason - The evidence.
   * @param source - Who decided.
   */
  public rollBack(reason: string, source: string): void {
    if (this.stopReason !== undefined || this.recorded !== undefined) return;
    this.stopReason = reason;
    this.revision += 1;
    this.log('A rollout is rolled back.', { reason, source, evidence: this.state.responses });
  }

  /**
   * Evaluates the evidence and moves on to the next step if it is time; to be called several times a second.
   *
   * @param surroundings - Members and upstreams.
   * @returns Whether the step or the verdict has changed.
   */
  public advance(surroundings: RolloutSurroundings): boolean {
    if (!this.isRunning || this.stopReason !== undefined) return false;
    this.evidence.advance();
    this.openOld = surroundings.openElsewhere(this.order.service, this.order.version);
    const target = surroundings.upstreams.filter(
      ({ version }) => this.sideOf(version) === 'target',
    );
    const old = surroundings.upstreams.filter(
      ({ version }) => this.sideOf(version) === 'old' && !this.isBarred(version),
    );
    if (old.length > 0) this.hasSeenOld = true;
    this.finding = this.comparison.compare(this.evidence.windows);
    if (this.finding.outcome === 'bad') {
      this.rollBack(this.finding.reason, 'own comparison');
      return true;
    }
    this.updateFull(surroundings);
    if (this.elapsedMs >= this.order.durationMs && this.fullSince === undefined) {
      return this.endAtDeadline(target, old);
    }
    const before = this.current;
    const all = sumRoutes(this.evidence.all);
    const targetResponses = totalOf(all.target);
    this.current = this.schedule.next({
      elapsedMs: this.elapsedMs,
      durationMs: this.order.durationMs,
      step: before.step,
      sinceStepMs: this.clock.now() - this.stepSince,
      finding: this.finding,
      targetResponses,
      stepResponses: targetResponses - this.stepResponses,
      allResponses: targetResponses + totalOf(all.old),
      targetServes: target.length > 0,
      obstacle: this.obstacle(surroundings),
      capacityShare: this.capacityShare(target, old, meanMs(all.old)),
    });
    if (this.current.step === before.step) return false;
    this.stepSince = this.clock.now();
    this.stepResponses = targetResponses;
    this.log('A rollout takes another step.', {
      before: before.step,
      step: this.current.step,
      share: this.current.share,
      reason: this.current.reason,
      responses: { old: totalOf(all.old), target: targetResponses },
    });
    return true;
  }

  /** @param version - Version of an upstream's software. */
  public isBarred(version: SoftwareVersion | undefined): boolean {
    return version !== undefined && this.barred.has(version);
  }

  private isOfThisOrder(offset: number): boolean {
    if (this.runningOffset !== undefined) return offset > this.runningOffset;
    return !this.isAgeKnown || this.elapsedMs > RECORDED_AFTER_MS;
  }

  private endAtDeadline(target: readonly Upstream[], old: readonly Upstream[]): boolean {
    if (target.length > 0 && old.length === 0 && this.mayStandIn) {
      this.fullSince ??= this.clock.now();
      return false;
    }
    const reason =
      target.length > 0 ? this.current.reason : 'no upstream of the target version serves';
    this.rollBack(`the deadline has passed: ${reason}`, 'own clock');
    return true;
  }

  /** Notes since when all daemons, or near the deadline most of them, send everything to the target version. */
  private updateFull(surroundings: RolloutSurroundings): void {
    const { members, reportTimeoutMs } = surroundings;
    const now = this.clock.now();
    const fresh = members.flatMap((id) => this.evidence.reportOf(id) ?? []);
    const full = fresh.filter(
      ({ step, receivedAt }) => step === STEP_FULL && now - receivedAt < reportTimeoutMs,
    ).length;
    const isLastChance = this.elapsedMs >= this.order.durationMs - LAST_CHANCE_MS - FULL_FOR_MS;
    const needed = isLastChance ? Math.floor(members.length / 2) + 1 : members.length;
    const isFull = this.reportedStep === STEP_FULL && full >= needed;
    if (!isFull) this.fullSince = undefined;
    else this.fullSince ??= now;
  }

  /** Why the share may not grow. A daemon that most others don't report to may be cut off. */
  private obstacle({
    members,
    reportTimeoutMs,
    isStoreCurrent,
    hasStore,
  }: RolloutSurroundings): string | undefined {
    if (this.current.step === STEP_NONE && !hasStore) return undefined;
    if (hasStore && !isStoreCurrent) return 'the store is out of reach';
    if (hasStore && this.runningOffset === undefined) return 'the start is not recorded yet';
    const now = this.clock.now();
    const heard = members.filter((id) => {
      const report = this.evidence.reportOf(id);
      return report !== undefined && now - report.receivedAt < reportTimeoutMs;
    });
    return heard.length * 2 > members.length ? undefined : 'most daemons are out of reach';
  }

  private capacityShare(
    target: readonly Upstream[],
    old: readonly Upstream[],
    durationMs: number,
  ): number {
    const slotsOf = (upstreams: readonly Upstream[]) =>
      upstreams.reduce((sum, { slots }) => sum + (slots ?? ASSUMED_SLOTS), 0);
    const slots = slotsOf(target);
    if (slots >= SUFFICIENT_SLOTS * slotsOf(old)) return 1;
    const responses = totalOf(sumRoutes(this.evidence.all).old);
    const inUse = (responses / Math.max(1, this.elapsedMs)) * durationMs;
    return inUse === 0 ? 1 : Math.min(1, (MAX_UTILISATION * slots) / inUse);
  }

  private isSlow(route: string, elapsedMs: number): boolean {
    const old = this.evidence.all.get(route)?.old;
    const mean = old ? meanMs(old) : 0;
    return mean > 0 && elapsedMs > CANCELLED_FACTOR * mean;
  }

  /** Which count an attempt belongs to; `undefined` if it says nothing about the upstream. */
  private countIndex(route: string, end: AttemptEnd): number | undefined {
    const { status, isCancelled, isNotRun, elapsedMs } = end;
    if (status !== undefined) return status >= FAILURE_STATUS ? FAILED : bucketOf(elapsedMs);
    if (isNotRun) return undefined;
    if (!isCancelled) return BROKEN;
    // Of a cancelled attempt only a lower bound of the duration is known.
    return this.isSlow(route, elapsedMs) ? bucketOf(elapsedMs) : undefined;
  }

  private log(message: string, fields: Record<string, string | number | object>): void {
    const { service, version, number } = this.order;
    this.logger.log(message, {
      service,
      target: version,
      number,
      elapsedMs: Math.round(this.elapsedMs),
      ...fields,
    });
  }
}
