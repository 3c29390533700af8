import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';
import type { DaemonId, VersionNumber } from '../common/Types';
import type GossipMeter from './GossipMeter';
import isSameRecord from './isSameRecord';
import type { MemberRecord } from './Types';

/** Delay of a message after a wake-up; records queued in this time are sent in it too. */
const COALESCE_MS = 20;

/** Queue of member records for one peer, with at most one record, the newest, for each member. */
export default class Outbox {
  private readonly records = new Map<DaemonId, MemberRecord>();

  private endWait: (() => void) | undefined;

  private isWakePending = false;

  private peerVersion: VersionNumber | null = null;

  /**
   * @param peer - Id of the receiver.
   * @param meter - Gossip counters to update.
   */
  public constructor(
    public readonly peer: DaemonId,
    private readonly meter: GossipMeter,
  ) {}

  /** @param version - Configuration version of the peer; ignored if a newer one is recorded. */
  public recordPeerVersion(version: VersionNumber | null): void {
    if (version !== null && version > (this.peerVersion ?? -1)) this.peerVersion = version;
  }

  /**
   * @param version - Configuration version that this daemon has.
   * @returns Whether it is newer than the last known version of the peer.
   */
  public isNewerThanPeer(version: VersionNumber | null): boolean {
    return version !== null && version > (this.peerVersion ?? -1);
  }

  /** @param records - Records to send with the next message. */
  public enqueue(records: readonly MemberRecord[]): void {
    for (const record of records) this.records.set(record.id, record);
    if (records.length > 0) this.wake();
  }

  /**
   * @param version - Configuration version that this daemon has.
   * @returns Whether records are queued or the version is newer than the peer's.
   */
  public hasPending(version: VersionNumber | null): boolean {
    return this.records.size > 0 || this.isNewerThanPeer(version);
  }

  /** @param records - Records received from the peer; queued records equal to them are removed. */
  public discard(records: readonly MemberRecord[]): void {
    for (const record of records) {
      const waiting = this.records.get(record.id);
      if (waiting && isSameRecord(waiting, record)) this.records.delete(record.id);
    }
  }

  /** Ends the current or next wait for messages to the peer, even if no record is queued. */
  public wake(): void {
    this.isWakePending = true;
    this.endWait?.();
  }

  /** @returns The queued records; the outbox is empty afterwards. */
  public drain(): MemberRecord[] {
    const drained = [...this.records.values()];
    this.records.clear();
    this.isWakePending = false;
    if (drained.length > 0) this.meter.add('messagesSent');
    this.meter.add('recordsSent', drained.length);
    return drained;
  }

  /**
   * Waits until there is something to send, then for a short time more to batch further records.
   *
   * @param timeoutMs - Longest wait in milliseconds.
   * @param signal - Cancels the wait.
   * @returns Whether the outbox was woken before the timeout.
   */
  public async wait(timeoutMs: number, signal: AbortSignal): Promise<boolean> {
    if (!this.isWakePending) {
      const early = new AbortController();
      this.endWait = () => early.abort();
      await withLinkedSignal([signal, early.signal], undefined, (ended) => sleep(timeoutMs, ended));
      this.endWait = undefined;
    }
    const woken = this.isWakePending;
    if (woken) await sleep(COALESCE_MS, signal);
    this.isWakePending = false;
    return woken;
  }
}
