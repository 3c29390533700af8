import Emitter from '../common/Emitter';
import type { Clock, DaemonId, Disposable } from '../common/Types';

/**
 * Time in ms for which the doubt lasts after a peer was lost: its failure is confirmed by two probes of 1.5 s
 * each, and then others take over what it did.
 */
const SETTLE_MS = 4_000;

/**
 * Whether the daemons that read the log or the store may have been lost. Raised as soon as the successor on
 * the ring of all members is late to answer, long before its failure is confirmed, and until that is settled.
 *
 * Whichever daemons are lost, and wherever the readers were: each group of daemons that can still reach each
 * other has a member whose successor is lost, or else it is the whole fleet. So if each daemon in doubt reads
 * for itself, each group learns of a new version.
 */
export default class ReaderDoubt implements Disposable {
  private readonly raiseEmitter = new Emitter<void>();

  private readonly late = new Set<DaemonId>();

  private settlesAt = -Infinity;

  /** Fires when the doubt is raised. */
  public readonly onRaise = this.raiseEmitter.event;

  /** @param clock - Monotonic clock. */
  public constructor(private readonly clock: Clock) {}

  public get isRaised(): boolean {
    return this.late.size > 0 || this.clock.now() < this.settlesAt;
  }

  /** @param peer - Successor that hasn't answered for several round trips. */
  public recordLate(peer: DaemonId): void {
    const wasRaised = this.isRaised;
    this.late.add(peer);
    if (!wasRaised) this.raiseEmitter.fire();
  }

  /** @param peer - Successor that has answered after all. */
  public recordAnswer(peer: DaemonId): void {
    this.late.delete(peer);
  }

  /** @param peer - Successor whose connection failed. */
  public recordLoss(peer: DaemonId): void {
    const wasRaised = this.isRaised;
    this.late.delete(peer);
    this.settlesAt = this.clock.now() + SETTLE_MS;
    if (!wasRaised) this.raiseEmitter.fire();
  }

  /** @param peer - Peer that isn't the successor any more. */
  public forget(peer: DaemonId): void {
    this.late.delete(peer);
  }

  public dispose(): void {
    this.raiseEmitter.dispose();
  }
}
