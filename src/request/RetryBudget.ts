const MAX_TOKENS = 20;

/** Bounds retries and hedges of one service to a share of its calls. */
export default class RetryBudget {
  private tokens = MAX_TOKENS;

  /**
   * A call was made.
   *
   * @param share - Share of calls that may be sent again, 0 to 1.
   */
  public deposit(share: number): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + share);
  }

  /** @returns Whether one more attempt may be made. */
  public withdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
