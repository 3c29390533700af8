import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';
import type { DaemonId, VersionNumber } from '../common/Types';
import type GossipMeter from './GossipMeter';
import isSameRecord from './isSameRecord';
import type { MemberRecord } from './Types';

const COALESCE_MS = 20;

/** Collects member records for one peer; a newer record of a member replaces the waiting one. */
export default class Outbox {
  private readonly records = new Map<DaemonId, MemberRecord>();

  private notify: (() => void) | undefined;

  private signalled = false;

  private peerVersion: VersionNumber | null = null;

  /**
   * @param peer - Whom the records are for.
   * @param meter - Counts what is sent.
   */
  public constructor(
    public readonly peer: DaemonId,
    private readonly meter: GossipMeter,
  ) {}

  /** @param version - Version that the peer is known to have. */
  public noteVersion(version: VersionNumber | null): void {
    if (version !== null && version > (this.peerVersion ?? -1)) this.peerVersion = version;
  }

  /**
   * @param version - Version that this daemon has.
   * @returns Whether that would be news to the peer.
   */
  public isNews(version: VersionNumber | null): boolean {
    return version !== null && version > (this.peerVersion ?? -1);
  }

  /** @param records - To be sent with the next message. */
  public put(records: readonly MemberRecord[]): void {
    for (const record of records) this.records.set(record.id, record);
    if (records.length > 0) this.wake();
  }

  /**
   * @param version - Version that this daemon has.
   * @returns Whether there is something to tell the peer.
   */
  public hasNews(version: VersionNumber | null): boolean {
    return this.records.size > 0 || this.isNews(version);
  }

  /** @param records - What the peer told of itself and others; newer records of ours stay. */
  public discard(records: readonly MemberRecord[]): void {
    for (const record of records) {
      const waiting = this.records.get(record.id);
      if (waiting && isSameRecord(waiting, record)) this.records.delete(record.id);
    }
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
    if (drained.length > 0) this.meter.add('messagesSent');
    this.meter.add('recordsSent', drained.length);
    return drained;
  }

  /**
   * Waits until there is something to send, then a moment longer for more.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @param signal - Ends the wait.
   * @returns Whether it was woken before the time was up.
   */
  public async wait(timeoutMs: number, signal: AbortSignal): Promise<boolean> {
    if (!this.signalled) {
      const early = new AbortController();
      this.notify = () => early.abort();
      await withLinkedSignal([signal, early.signal], undefined, (ended) => sleep(timeoutMs, ended));
      this.notify = undefined;
    }
    const woken = this.signalled;
    if (woken) await sleep(COALESCE_MS, signal);
    this.signalled = false;
    return woken;
  }
}
