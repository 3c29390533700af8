import sleep from '../common/sleep';
import type { DaemonId } from '../common/Types';
import type { MemberRecord } from './Types';

const COALESCE_MS = 20;

/** Collects member records for one peer; a newer record of a member replaces the waiting one. */
export default class Outbox {
  private readonly records = new Map<DaemonId, MemberRecord>();

  private notify: (() => void) | undefined;

  private signalled = false;

  /** @param records - To be sent with the next message. */
  public put(records: readonly MemberRecord[]): void {
    for (const record of records) this.records.set(record.id, record);
    if (records.length > 0) this.wake();
  }

  /** Ends a wait even where no record is there. */
  public wake(): void {
    this.signalled = true;
    this.notify?.();
  }

  /** @returns The records collected; the outbox is empty afterwards. */
  public drain(): MemberRecord[] {
    const drained = [...this.records.values()];
    this.records.clear();
    this.signalled = false;
    return drained;
  }

  /**
   * Waits until there is something to send, then a moment longer for more.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @param signal - Ends the wait.
   */
  public async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (!this.signalled) {
      const early = new AbortController();
      this.notify = () => early.abort();
      await sleep(timeoutMs, AbortSignal.any([signal, early.signal]));
      this.notify = undefined;
    }
    if (this.signalled) await sleep(COALESCE_MS, signal);
  }
}
