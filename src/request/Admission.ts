import PQueue from 'p-queue';
import type { Clock } from '../common/Types';
import type { Priority, Service } from '../version/Types';
import NotRunError from './NotRunError';

const LATENCY_WEIGHT = 0.1;
const COLD_SHARE = 0.25;
const PRIORITIES: Readonly<Record<Priority, number>> = { interactive: 1, background: 0 };

/** Ends the use of a slot. */
export type Release = () => void;

/** Hands out the slots of the upstream beside this daemon, with a short queue in front. */
export default class Admission {
  private readonly queue: PQueue;

  private limits: Service;

  private holdMs = 0;

  /**
   * @param service - Slots and queue length.
   * @param clock - Source of time.
   * @param servingSince - Monotonic time in ms at which the upstream began to serve.
   */
  public constructor(
    service: Service,
    private readonly clock: Clock,
    private readonly servingSince: number,
  ) {
    this.limits = service;
    this.queue = new PQueue({ concurrency: service.slots });
  }

  /** @param service - The service in a new version. */
  public setLimits(service: Service): void {
    this.limits = service;
  }

  /** Calls running and waiting, in parts of the slots. */
  public get load(): number {
    return (this.queue.pending + this.waiting) / this.slots();
  }

  /** Calls that hold a slot. */
  public get running(): number {
    return this.queue.pending;
  }

  /** Calls that wait for a slot. */
  public get waiting(): number {
    return this.queue.size;
  }

  /**
   * @param priority - Interactive calls go first.
   * @param deadline - Monotonic time in ms by which the caller wants the answer.
   * @param signal - Gives up the wait.
   * @returns The slot's release.
   * @throws NotRunError - The queue is full, the wait would be too long, or the caller left.
   */
  public acquire(priority: Priority, deadline: number, signal: AbortSignal): Promise<Release> {
    this.queue.concurrency = this.slots();
    const refusal = this.refusal(deadline);
    if (refusal) return Promise.reject(new NotRunError(refusal, this.load));
    const mustWait = this.queue.pending >= this.queue.concurrency;
    return mustWait ? this.wait(priority, signal) : this.take(priority);
  }

  private take(priority: Priority): Promise<Release> {
    return new Promise((resolve) => {
      void this.queue.add(() => this.hold(resolve), { priority: PRIORITIES[priority] });
    });
  }

  private wait(priority: Priority, signal: AbortSignal): Promise<Release> {
    const left = new AbortController();
    const leave = () => left.abort(new NotRunError('the caller left while it waited', this.load));
    signal.addEventListener('abort', leave, { once: true });
    return new Promise((resolve, reject) => {
      const task = () => {
        signal.removeEventListener('abort', leave);
        return this.hold(resolve);
      };
      const options = { priority: PRIORITIES[priority], signal: left.signal };
      this.queue.add(task, options).catch(reject);
    });
  }

  private hold(resolve: (release: Release) => void): Promise<void> {
    const started = this.clock.now();
    return new Promise((end) => {
      resolve(() => {
        this.holdMs += LATENCY_WEIGHT * (this.clock.now() - started - this.holdMs);
        end();
      });
    });
  }

  private refusal(deadline: number): string | undefined {
    const slots = this.slots();
    if (this.queue.pending < slots) return undefined;
    if (this.waiting >= this.limits.queue) return 'the queue is full';
    const waitMs = ((this.waiting + 1) * this.holdMs) / slots;
    return this.clock.now() + waitMs > deadline ? 'the wait would pass the deadline' : undefined;
  }

  /** Slots that may be used now; a cold upstream gets them step by step. */
  private slots(): number {
    const { slots, warmUpMs } = this.limits;
    const age = this.clock.now() - this.servingSince;
    if (age >= warmUpMs) return slots;
    return Math.max(1, Math.floor(slots * Math.max(COLD_SHARE, age / warmUpMs)));
  }
}
