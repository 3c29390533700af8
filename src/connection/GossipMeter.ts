/** What this daemon exchanged with its peers since it started. */
export interface GossipCounts {
  /** Links that it began to open. */
  readonly linksOpened: number;
  /** Links that it ended because another member took the peer's place on every ring. */
  readonly linksReplaced: number;
  /** Links that failed. */
  readonly linksLost: number;
  /** Comparisons of member tables that it asked for. */
  readonly syncs: number;
  /** Messages with member records that it sent on links. */
  readonly messagesSent: number;
  readonly recordsSent: number;
  readonly recordsReceived: number;
  /** Records among those received that it didn't know. */
  readonly recordsNews: number;
}

/** Counts what gossip costs, so that a start of many daemons can be read afterwards. */
export default class GossipMeter {
  private readonly kept: { -readonly [Name in keyof GossipCounts]: number } = {
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
    return { ...this.kept };
  }

  /**
   * @param name - What happened.
   * @param times - How often.
   */
  public add(name: keyof GossipCounts, times = 1): void {
    this.kept[name] += times;
  }
}
