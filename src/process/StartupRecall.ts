import Emitter from '../common/Emitter';
import type { DaemonId, Disposable } from '../common/Types';
import type { MemberRecord } from '../connection/Types';

/**
 * Time in ms after the first answer of a peer that knew no earlier record of this daemon. In that time others
 * answer that may know one, such as those that weren't restarted at the same time.
 */
const FURTHER_ANSWERS_MS = 300;

/** How it became known what earlier processes of this daemon acknowledged. */
export type RecallEnd =
  | 'a peer returned an earlier record'
  | 'the peers that answered knew none'
  | 'nobody is left to be asked';

/**
 * Decides when this process knows what earlier processes of its daemon acknowledged: once a peer returned an
 * earlier member record, or nobody who could be asked has one. Until then a delayed announcement can't be told
 * from that of a new upstream. There is no time limit without an answer, as without peers and store the daemon
 * has no configuration and gets no calls.
 */
export default class StartupRecall implements Disposable {
  private readonly completeEmitter = new Emitter<RecallEnd>();

  private complete = false;

  private timer: NodeJS.Timeout | undefined;

  /** Fires once. */
  public readonly onComplete = this.completeEmitter.event;

  /** @param own - Id of this daemon. */
  public constructor(private readonly own: DaemonId) {}

  public get isComplete(): boolean {
    return this.complete;
  }

  /** @param records - Member records of a peer that differed from those of this daemon. */
  public receiveRecords(records: readonly MemberRecord[]): void {
    if (this.complete) return;
    if (records.some(({ id }) => id === this.own)) this.finish('a peer returned an earlier record');
    else {
      this.timer ??= setTimeout(
        () => this.finish('the peers that answered knew none'),
        FURTHER_ANSWERS_MS,
      ).unref();
    }
  }

  /** Records that nobody else is left to be asked; further calls have no effect. */
  public end(): void {
    this.finish('nobody is left to be asked');
  }

  public dispose(): void {
    clearTimeout(this.timer);
    this.completeEmitter.dispose();
  }

  private finish(reason: RecallEnd): void {
    if (this.complete) return;
    clearTimeout(this.timer);
    this.complete = true;
    this.completeEmitter.fire(reason);
  }
}
