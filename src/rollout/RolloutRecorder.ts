import { jitteredBackoff, type Backoff } from '../common/backoff';
import rendezvousWeight from '../common/rendezvousWeight';
import type { Clock, DaemonId, Disposable, Logger, Random, ServiceName } from '../common/Types';
import type Rollout from './Rollout';
import type Rollouts from './Rollouts';
import type { RecordedState, RolloutStore, StatusRecord } from './Types';

/**
 * Time after which the next daemon by rank records a state that is due, in milliseconds: the store answers
 * within 100 ms, and the news of the record reach every daemon within a second.
 */
const RANK_DELAY_MS = 900;
/** Rank from which daemons no longer wait longer. */
const MAX_RANK = 6;
const RETRY_BACKOFF: Backoff = { baseMs: 300, capMs: 3_000 };

/** State of a rollout that is to be recorded. */
interface DueRecord {
  readonly number: number;
  readonly state: RecordedState;
  /** Monotonic time in milliseconds since which it is due. */
  readonly since: number;
}

/** Failed writes of a service's state. */
interface Failures {
  readonly count: number;
  /** Monotonic time in milliseconds before which no further write begins. */
  readonly retryAt: number;
}

/**
 * Writes the states of rollouts to the store. Each write is conditional on a read just before it, so that of
 * two daemons that reach different verdicts only one can record its own; the other one adopts it. A write
 * without a response is followed by a read. Daemons try one after the other by their rank for the service.
 */
export default class RolloutRecorder implements Disposable {
  private readonly due = new Map<ServiceName, DueRecord>();

  private readonly failures = new Map<ServiceName, Failures>();

  private readonly writing = new Set<ServiceName>();

  private readonly subscription: Disposable;

  /**
   * @param rollouts - The rollouts that this daemon knows.
   * @param store - Where states are recorded.
   * @param daemon - Id of this daemon.
   * @param members - Ids of all daemons that can be reached, including this one.
   * @param clock - Monotonic clock.
   * @param random - Jitter of the retries.
   * @param logger - Logs each record.
   */
  public constructor(
    private readonly rollouts: Rollouts,
    private readonly store: RolloutStore,
    private readonly daemon: DaemonId,
    private readonly members: () => readonly DaemonId[],
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.subscription = rollouts.onTick(() => this.check());
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private check(): void {
    const { surroundings } = this.rollouts;
    for (const rollout of this.rollouts.all) {
      const state = rollout.dueRecord({ ...surroundings, upstreams: [] });
      if (state) this.attempt(rollout, state);
      else this.due.delete(rollout.order.service);
    }
  }

  private attempt(rollout: Rollout, state: RecordedState): void {
    const { service, number } = rollout.order;
    const now = this.clock.now();
    let due = this.due.get(service);
    if (due?.number !== number || due.state !== state) {
      due = { number, state, since: now };
      this.due.set(service, due);
      this.failures.delete(service);
    }
    const delayMs = RANK_DELAY_MS * Math.min(MAX_RANK, this.rank(service));
    const isBlocked = this.writing.has(service) || now < (this.failures.get(service)?.retryAt ?? 0);
    if (isBlocked || now - due.since < delayMs) return;
    void this.write(rollout, state);
  }

  private rank(service: ServiceName): number {
    const key = `rollout/${service}`;
    const own = rendezvousWeight(key, this.daemon);
    return this.members().filter((id) => rendezvousWeight(key, id) > own).length;
  }

  private async write(rollout: Rollout, state: RecordedState): Promise<void> {
    const { service, version } = rollout.order;
    this.writing.add(service);
    try {
      const { records, end } = await this.store.readStatus();
      const newest = records.find((record) => record.service === service);
      if (newest && this.isAdopted(rollout, newest, state)) return;
      // A verdict that was reached while the read was under way replaces this state.
      if (!this.isCurrent(rollout, state)) return;
      const record = { service, state, version };
      if (!(await this.store.appendStatus(record, end))) return;
      this.failures.delete(service);
      this.logger.log('Recorded the state of a rollout.', { ...record, offset: end });
      if (state === 'running') rollout.noteRunning(end);
      else rollout.settle(state, 'own record');
      this.rollouts.announce();
    } catch (error) {
      this.recordFailure(service, state, error as Error);
    } finally {
      this.writing.delete(service);
    }
  }

  private recordFailure(service: ServiceName, state: RecordedState, error: Error): void {
    const count = (this.failures.get(service)?.count ?? 0) + 1;
    const retryAt = this.clock.now() + jitteredBackoff(RETRY_BACKOFF, count, this.random);
    this.failures.set(service, { count, retryAt });
    if (count > 1) return;
    this.logger.log('Could not record the state of a rollout; will try again.', {
      service,
      state,
      reason: error.message,
    });
  }

  private isCurrent(rollout: Rollout, state: RecordedState): boolean {
    const { surroundings } = this.rollouts;
    const isNewest = this.rollouts.get(rollout.order.service) === rollout;
    return isNewest && rollout.dueRecord({ ...surroundings, upstreams: [] }) === state;
  }

  /** Adopts what the store holds of this order; returns whether nothing needs to be written. */
  private isAdopted(rollout: Rollout, newest: StatusRecord, state: RecordedState): boolean {
    rollout.applyStatus(newest);
    if (rollout.verdict !== undefined || rollout.head.runningOffset !== null) {
      this.rollouts.announce();
    }
    if (rollout.verdict !== undefined) return true;
    if (newest.state !== state || newest.version !== rollout.order.version) return false;
    if (state !== 'running') rollout.settle(state, 'the store');
    return true;
  }
}
