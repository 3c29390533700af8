import type { Clock } from '../common/Types';
import CallerAttempts from './CallerAttempts';
import type { AttemptId, AttemptState } from './Types';

/** Bounds of what is remembered. */
export interface AttemptRegistryOptions {
  /** How long an ended attempt is remembered, in milliseconds. */
  readonly rememberMs: number;
  /** Ended attempts remembered for each caller's daemon. */
  readonly maxPerCaller: number;
  /** Callers' daemons remembered, earlier incarnations included. */
  readonly maxCallers: number;
}

/** Bounds that suit a server of some hundred calls a second. */
export const DEFAULT_REGISTRY_OPTIONS: AttemptRegistryOptions = {
  rememberMs: 60_000,
  maxPerCaller: 4_096,
  maxCallers: 8_192,
};

/**
 * Judges attempts for the upstream beside this daemon: what became of each, and which may never
 * run. Memory is bounded by time and count; what was forgotten can't run any more, and its outcome
 * is unknown.
 */
export default class AttemptRegistry {
  private readonly callers = new Map<string, CallerAttempts>();

  public constructor(
    private readonly options: AttemptRegistryOptions,
    private readonly clock: Clock,
  ) {}

  /** Attempts remembered. */
  public get size(): number {
    let size = 0;
    for (const { entries } of this.callers.values()) size += entries.size;
    return size;
  }

  /**
   * Admits an attempt at most once.
   *
   * @param id - The attempt.
   * @returns False where it came before, was forbidden, or is too old to tell.
   */
  public begin(id: AttemptId): boolean {
    const caller = this.caller(id);
    this.forget(caller);
    if (id.number <= caller.floor || caller.entries.has(id.number)) return false;
    caller.entries.set(id.number, { state: 'queued', at: this.clock.now() });
    return true;
  }

  /**
   * @param id - An attempt that waited.
   * @returns False where it was forbidden meanwhile.
   */
  public start(id: AttemptId): boolean {
    const entry = this.caller(id).entries.get(id.number);
    if (entry?.state !== 'queued') return false;
    entry.state = 'running';
    return true;
  }

  /**
   * @param id - An attempt that came to its end.
   * @param ran - Whether it had started.
   */
  public end(id: AttemptId, ran: boolean): void {
    const entry = this.caller(id).entries.get(id.number);
    if (entry) entry.state = ran ? 'done' : 'forbidden';
  }

  /**
   * Tells what became of an attempt. One that never came is forbidden from then on.
   *
   * @param id - The attempt.
   * @param giveUp - Forbids it also where it waits for a slot.
   * @returns `forbidden` proves that it didn't run and never will.
   */
  public fence(id: AttemptId, giveUp: boolean): AttemptState {
    const caller = this.caller(id);
    const entry = caller.entries.get(id.number);
    if (!entry) {
      if (id.number <= caller.floor) return 'forgotten';
      caller.entries.set(id.number, { state: 'forbidden', at: this.clock.now() });
      return 'forbidden';
    }
    if (entry.state === 'queued' && giveUp) entry.state = 'forbidden';
    return entry.state;
  }

  private caller({ daemon, incarnation }: AttemptId): CallerAttempts {
    const key = `${incarnation}.${daemon}`;
    let caller = this.callers.get(key);
    if (!caller) {
      caller = new CallerAttempts();
      this.callers.set(key, caller);
      this.forgetCallers();
    }
    return caller;
  }

  /** Drops ended attempts, oldest first, and raises the floor over them. */
  private forget(caller: CallerAttempts): void {
    const oldest = this.clock.now() - this.options.rememberMs;
    for (const [number, { state, at }] of caller.entries) {
      const crowded = caller.entries.size > this.options.maxPerCaller;
      if (at > oldest && !crowded) return;
      if (state === 'queued' || state === 'running') continue;
      caller.drop(number);
    }
  }

  private forgetCallers(): void {
    if (this.callers.size <= this.options.maxCallers) return;
    for (const [key, caller] of this.callers) {
      this.forget(caller);
      if (caller.entries.size === 0) {
        this.callers.delete(key);
        return;
      }
    }
  }
}
