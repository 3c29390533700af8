import type { Clock } from '../common/Types';
import CallerAttempts from './CallerAttempts';
import type { AttemptId, AttemptState } from './Types';

/** Limits on how many attempts are remembered, and for how long. */
export interface AttemptRegistryOptions {
  /** Time for which a finished attempt is remembered, in milliseconds. */
  readonly retentionMs: number;
  /**
   * Maximum number of attempts remembered for each sending daemon; unfinished ones are also kept
   * beyond it.
   */
  readonly maxAttemptsPerDaemon: number;
  /**
   * Number of sending daemons above which one without remembered attempts is removed; each
   * incarnation of a daemon counts separately.
   */
  readonly maxDaemons: number;
}

/** Default limits, which suit an upstream with some hundred calls a second. */
export const DEFAULT_REGISTRY_OPTIONS: AttemptRegistryOptions = {
  retentionMs: 60_000,
  maxAttemptsPerDaemon: 4_096,
  maxDaemons: 8_192,
};

/**
 * Tracks the attempts sent to the upstream beside this daemon, so that each one runs at most once and
 * senders can query or fence it. Memory is bounded by time and count: an attempt that was forgotten
 * can no longer run, and its outcome is unknown.
 */
export default class AttemptRegistry {
  private readonly daemons = new Map<string, CallerAttempts>();

  /**
   * @param options - Limits on how many attempts are remembered, and for how long.
   * @param clock - Monotonic clock.
   */
  public constructor(
    private readonly options: AttemptRegistryOptions,
    private readonly clock: Clock,
  ) {}

  /** Number of remembered attempts. */
  public get size(): number {
    let size = 0;
    for (const { entries } of this.daemons.values()) size += entries.size;
    return size;
  }

  /**
   * Registers an arriving attempt as queued, at most once.
   *
   * @param id - Id of the attempt.
   * @returns False if the attempt must not run: it arrived before, was forbidden, or may have been
   * forgotten.
   */
  public admit(id: AttemptId): boolean {
    const attempts = this.attemptsOf(id);
    this.forget(attempts);
    if (id.number <= attempts.forgottenUpTo || attempts.entries.has(id.number)) return false;
    attempts.entries.set(id.number, { state: 'queued', arrivedAt: this.clock.now() });
    return true;
  }

  /**
   * Marks a queued attempt as running.
   *
   * @param id - Id of the attempt.
   * @returns False if the attempt was forbidden while it was queued.
   */
  public start(id: AttemptId): boolean {
    const entry = this.attemptsOf(id).entries.get(id.number);
    if (entry?.state !== 'queued') return false;
    entry.state = 'running';
    return true;
  }

  /**
   * Marks an attempt as finished: as done if it may have run, else as forbidden.
   *
   * @param id - Id of the attempt.
   * @param mayHaveRun - Whether the upstream may have run it.
   */
  public end(id: AttemptId, mayHaveRun: boolean): void {
    const entry = this.attemptsOf(id).entries.get(id.number);
    if (entry) entry.state = mayHaveRun ? 'done' : 'forbidden';
  }

  /**
   * Returns the state of an attempt. An attempt that hasn't arrived yet is forbidden from then on.
   *
   * @param id - Id of the attempt.
   * @param giveUp - Whether to forbid the attempt also if it is queued.
   * @returns State of the attempt; `forbidden` proves that it hasn't run and never will.
   */
  public fence(id: AttemptId, giveUp: boolean): AttemptState {
    const attempts = this.attemptsOf(id);
    const entry = attempts.entries.get(id.number);
    if (!entry) {
      if (id.number <= attempts.forgottenUpTo) return 'forgotten';
      attempts.entries.set(id.number, { state: 'forbidden', arrivedAt: this.clock.now() });
      return 'forbidden';
    }
    if (entry.state === 'queued' && giveUp) entry.state = 'forbidden';
    return entry.state;
  }

  /**
   * Returns the attempts of a sending daemon's incarnation, which is tracked from its first use on.
   */
  private attemptsOf({ daemon, incarnation }: AttemptId): CallerAttempts {
    const key = `${incarnation}.${daemon}`;
    let attempts = this.daemons.get(key);
    if (!attempts) {
      attempts = new CallerAttempts();
      this.daemons.set(key, attempts);
      this.forgetIdleDaemon();
    }
    return attempts;
  }

  /**
   * Forgets finished attempts, oldest first, that are older than the retention time or exceed the
   * maximum number.
   */
  private forget(attempts: CallerAttempts): void {
    const expiredBefore = this.clock.now() - this.options.retentionMs;
    for (const [number, { state, arrivedAt }] of attempts.entries) {
      const isOverLimit = attempts.entries.size > this.options.maxAttemptsPerDaemon;
      if (arrivedAt > expiredBefore && !isOverLimit) return;
      if (state === 'queued' || state === 'running') continue;
      attempts.forget(number);
    }
  }

  /**
   * Removes one sending daemon without remembered attempts if more daemons are tracked than
   * allowed.
   */
  private forgetIdleDaemon(): void {
    if (this.daemons.size <= this.options.maxDaemons) return;
    for (const [key, attempts] of this.daemons) {
      this.forget(attempts);
      if (attempts.entries.size === 0) {
        this.daemons.delete(key);
        return;
      }
    }
  }
}
