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

/** How a channel is watched that was left as silent. */
export interface SilentChannelBounds {
  /** Time between two looks at it, in milliseconds. */
  readonly lookMs: number;
  /** Looks after which it is closed if nothing came; a hold-up of this daemon doesn't add any. */
  readonly looks: number;
}

/**
 * Packets that are lost in a row are sent again after 0.2, 0.6, 1.4, 3 and 6.2 s: what is still silent
 * after 8 s won't speak again.
 */
const SILENT_BOUNDS: SilentChannelBounds = { lookMs: 500, looks: 16 };

interface Entry {
  readonly channel: CallChannel;
  lastUsed: number;
  /** Monotonic time in ms of a ping that nothing was heard after. */
  pingedAt: number | undefined;
}

/** The connections to other daemons for calls, one for each address. */
export default class CallChannels implements ChannelSigns, Disposable {
  private readonly entries = new Map<Address, Entry>();

  /** Channels that take no new call, while some run on them. */
  private readonly left = new Set<CallChannel>();

  /**
   * @param own - This daemon.
   * @param connectMs - Longest wait for a connection, in milliseconds.
   * @param clock - Source of time.
   * @param logger - Log of this part.
   * @param bounds - How channels are watched that were left as silent.
   */
  public constructor(
    private readonly own: DaemonId,
    private readonly connectMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly bounds = SILENT_BOUNDS,
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
    this.left.add(channel);
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
   * Leaves the channel to a daemon that answers on other connections if nothing came on it since it
   * was asked for a sign of life, long enough ago: new calls get another one.
   *
   * It may have gone silent for good, or packets of it were lost more often than others. Closing it
   * would end what runs at the other daemon, so calls on it are told and go on; only where nothing
   * comes for long is it closed.
   *
   * @param address - Of a daemon that answers elsewhere.
   */
  public leaveSilent(address: Address): void {
    const entry = this.entries.get(address);
    if (!entry || !CallChannels.isUnanswered(entry)) return;
    const silentMs = this.clock.now() - entry.pingedAt;
    if (silentMs < SILENT_MS) return;
    const { channel, pingedAt } = entry;
    this.logger.log('Leaves a silent channel.', {
      address,
      silentMs: Math.round(silentMs),
      calls: channel.openCalls,
    });
    this.leave(address, channel);
    this.watchSilent(address, channel, pingedAt);
  }

  /** Closes channels that weren't used for long. */
  public sweep(): void {
    const oldest = this.clock.now() - FORGET_AFTER_MS;
    for (const [address, { channel, lastUsed }] of this.entries) {
      if (lastUsed < oldest && channel.openCalls === 0) this.leave(address, channel);
    }
  }

  public dispose(): void {
    const channels = [...[...this.entries.values()].map(({ channel }) => channel), ...this.left];
    this.entries.clear();
    for (const channel of channels) channel.dispose();
  }

  /** Looks at a channel that was left until something comes on it, or nothing has for long. */
  private watchSilent(address: Address, channel: CallChannel, pingedAt: number, looks = 0): void {
    if (!this.left.has(channel) || channel.lastHeardAt >= pingedAt) return;
    if (looks === this.bounds.looks) {
      this.logger.log('Closes a silent channel.', { address, calls: channel.openCalls });
      channel.dispose();
      return;
    }
    channel.tellSilent();
    const look = () => this.watchSilent(address, channel, pingedAt, looks + 1);
    setTimeout(look, this.bounds.lookMs).unref();
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
        this.left.delete(channel);
        if (this.entries.get(address)?.channel === channel) this.entries.delete(address);
      },
    });
  }
}
