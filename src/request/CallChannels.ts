import type { Address, Clock, DaemonId, Disposable, Logger } from '../common/Types';
import CallChannel from './CallChannel';
import type { ChannelSigns } from './PeerLiveness';

/** Channels that weren't used this long are closed, in milliseconds. */
const FORGET_AFTER_MS = 300_000;
/**
 * Silence after a ping, in milliseconds, from which a connection counts as silent if new ones work:
 * longer than packets lost twice in a row hold it up.
 */
const SILENT_MS = 1_000;

interface Entry {
  readonly channel: CallChannel;
  lastUsed: number;
  /** Monotonic time in ms of a ping that nothing was heard after. */
  pingedAt: number | undefined;
}

/** The connections to other daemons for calls, one for each address. */
export default class CallChannels implements ChannelSigns, Disposable {
  private readonly entries = new Map<Address, Entry>();

  /**
   * @param own - This daemon.
   * @param connectMs - Longest wait for a connection, in milliseconds.
   * @param clock - Source of time.
   * @param logger - Log of this part.
   */
  public constructor(
    private readonly own: DaemonId,
    private readonly connectMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * @param address - Of another daemon.
   * @returns The channel to it.
   */
  public get(address: Address): CallChannel {
    let entry = this.entries.get(address);
    if (!entry) {
      entry = { channel: this.open(address), lastUsed: 0, pingedAt: undefined };
      this.entries.set(address, entry);
    }
    entry.lastUsed = this.clock.now();
    return entry.channel;
  }

  /**
   * Leaves a channel that may have fallen silent: new calls get another one. What runs on it goes
   * on.
   *
   * @param address - Of another daemon.
   * @param channel - The channel that is suspect.
   */
  public leave(address: Address, channel: CallChannel): void {
    if (this.entries.get(address)?.channel !== channel) return;
    this.entries.delete(address);
    channel.retire();
  }

  public ping(address: Address): void {
    const entry = this.entries.get(address);
    if (!entry) return;
    if (!CallChannels.isUnanswered(entry)) entry.pingedAt = this.clock.now();
    entry.channel.ping();
  }

  public lastHeardAt(address: Address): number | undefined {
    const channel = this.entries.get(address)?.channel;
    return channel?.isOpen ? channel.lastHeardAt : undefined;
  }

  /**
   * Closes the channel to a daemon that answers on other connections if nothing came on it since it
   * was asked for a sign of life, long enough ago. Calls on it fail at once.
   *
   * @param address - Of a daemon that answers elsewhere.
   */
  public closeSilent(address: Address): void {
    const entry = this.entries.get(address);
    if (!entry || !CallChannels.isUnanswered(entry)) return;
    const silentMs = this.clock.now() - entry.pingedAt;
    if (silentMs < SILENT_MS) return;
    this.logger.log('Closes a silent channel.', {
      address,
      silentMs: Math.round(silentMs),
      calls: entry.channel.openCalls,
    });
    this.entries.delete(address);
    entry.channel.dispose();
  }

  /** Closes channels that weren't used for long. */
  public sweep(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [address, { channel, lastUsed }] of this.entries) {
      if (lastUsed < oldest && channel.openCalls === 0) this.leave(address, channel);
    }
  }

  public dispose(): void {
    const entries = [...this.entries.values()];
    this.entries.clear();
    for (const { channel } of entries) channel.dispose();
  }

  /** Whether nothing was heard since the ping that was noted. */
  private static isUnanswered(entry: Entry): entry is Entry & { pingedAt: number } {
    return entry.pingedAt !== undefined && entry.channel.lastHeardAt < entry.pingedAt;
  }

  private open(address: Address): CallChannel {
    return new CallChannel(address, {
      own: this.own,
      connectMs: this.connectMs,
      clock: this.clock,
      onEnd: (channel) => {
        if (this.entries.get(address)?.channel === channel) this.entries.delete(address);
      },
    });
  }
}
