import anyTrue from '../common/anyTrue';
import sleep from '../common/sleep';
import type { Logger } from '../common/Types';
import type { RecordPublisher, Withdrawal, WithdrawalStore } from '../connection/Types';

/** Number of peers that must hold a withdrawal; fewer if there are fewer. */
const HOLDERS = 2;
/** Longest wait for peers and store, in milliseconds; upstreams give up on an answer after a second. */
const KEEP_TIMEOUT_MS = 800;

/**
 * Keeps the withdrawals of this daemon where a restart of its process doesn't lose them: at peers, which hold
 * its member record, and in the store, which outlasts the loss of all daemons at once.
 */
export default class WithdrawalKeeper {
  /**
   * @param publisher - Sends the member record, which contains the withdrawals, to peers.
   * @param store - Store for withdrawals; `undefined` if the mesh has none.
   * @param logger - Logs each withdrawal that isn't kept.
   */
  public constructor(
    private readonly publisher: RecordPublisher,
    private readonly store: WithdrawalStore | undefined,
    private readonly logger: Logger,
  ) {}

  /**
   * @param withdrawals - All withdrawals of this daemon; its member record contains them already.
   * @returns Whether the store or enough peers hold them now.
   */
  public async keep(withdrawals: readonly Withdrawal[]): Promise<boolean> {
    const published = this.publisher.publishSelf(HOLDERS);
    const stored = this.store ? this.storeAll(this.store, withdrawals) : published;
    const timeout = new AbortController();
    const late = sleep(KEEP_TIMEOUT_MS, timeout.signal).then(() => false);
    const isKept = await Promise.race([anyTrue([published, stored]), late]);
    timeout.abort();
    if (!isKept) {
      this.logger.log('No peer and no store confirmed a withdrawal.', {
        instance: withdrawals.at(-1)?.instance,
      });
    }
    return isKept;
  }

  private async storeAll(
    store: WithdrawalStore,
    withdrawals: readonly Withdrawal[],
  ): Promise<boolean> {
    try {
      await store.storeWithdrawals(withdrawals);
      return true;
    } catch (error) {
      const { message: reason } = error as Error;
      this.logger.log('Storing a withdrawal failed.', { reason });
      return false;
    }
  }
}
