/** Gossip counters since the start of the process. */
export interface GossipCounts {
  /** Number of links to peers that this daemon started to open. */
  readonly linksOpened: number;
  /** Number of links closed because the peer was no longer a successor on any hash ring. */
  readonly linksReplaced: number;
  /** Number of links to peers that failed. */
  readonly linksLost: number;
  /** Number of anti-entropy exchanges that this daemon started. */
  readonly syncs: number;
  /** Number of messages with member records that this daemon sent. */
  readonly messagesSent: number;
  readonly recordsSent: number;
  readonly recordsReceived: number;
  /** Number of received member records that changed the member table. */
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
