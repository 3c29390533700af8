/** Gossip counters since the start of the process. */
export interface GossipCounts {
  /** Links that this daemon started to open. */
  readonly linksOpened: number;
  /** Links closed because the peer was no longer a successor on any ring. */
  readonly linksReplaced: number;
  /** Links that failed. */
  readonly linksLost: number;
  /** Anti-entropy exchanges that this daemon started. */
  readonly syncs: number;
  /** Messages with member records that were sent. */
  readonly messagesSent: number;
  readonly recordsSent: number;
  readonly recordsReceived: number;
  /** Received records that changed the member table. */
  readonly recordsNews: number;
}

/** Counts gossip messages and records, for analysis of the cost of many daemons starting at once. */
export default class GossipMeter {
  private readonly totals: { -readonly [Name in keyof GossipCounts]: number } = {
    linksOpened: 0,
    linksReplaced: 0,
    linksLost: 0,
    syncs: 0,
    messagesSent: 0,
    recordsSent: 0,
    recordsReceived: 0,
    recordsNews: 0,
  };

  /** The counts so far. */
  public get counts(): GossipCounts {
    return { ...this.totals };
  }

  /**
   * @param name - Counter to increase.
   * @param times - Amount to add.
   */
  public add(name: keyof GossipCounts, times = 1): void {
    this.totals[name] += times;
  }
}
