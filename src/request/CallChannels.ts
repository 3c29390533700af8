import type { Address, Clock, DaemonId, Disposable, Logger } from '../common/Types';
import CallChannel from './CallChannel';
import type { ChannelLiveness } from './PeerLiveness';

/** Idle time after which a channel is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 300_000;
/**
 * Time without a reply to a ping, in milliseconds, after which a channel counts as silent, provided that
 * new connections to the daemon work. It is longer than the delay of a packet that is lost twice in a row.
 */
const SILENCE_THRESHOLD_MS = 1_000;

/**
 * Interval and number of the checks whether a silent channel, which was replaced but still carries
 * calls, has recovered.
 */
export interface SilentChannelChecks {
  /** Time between two checks, in milliseconds. */
  readonly intervalMs: number;
  /**
   * Number of checks without anything received after which the channel is closed. Checks are counted
   * instead of time, because a stall of this daemon's event loop adds time but no checks.
   */
  readonly maxChecks: number;
}

/**
 * TCP retransmits a packet that is lost repeatedly 0.2, 0.6, 1.4, 3 and 6.2 s after it was first
 * sent: a channel that is still silent after 8 s (16 checks of 500 ms) won't recover.
 */
const DEFAULT_SILENT_CHANNEL_CHECKS: SilentChannelChecks = { intervalMs: 500, maxChecks: 16 };

interface PoolEntry {
  readonly channel: CallChannel;
  lastUsed: number;
  /**
   * Monotonic time in ms of the first ping since which nothing was received on the channel;
   * outdated as soon as something is received.
   */
  pingedAt: number | undefined;
}

/**
 * Pool of the channels to other daemons: one channel for new calls to each address, and retired
 * channels on which earlier calls continue.
 */
export default class CallChannels implements ChannelLiveness, Disposable {
  private readonly entries = new Map<Address, PoolEntry>();

  /** Channels that get no new calls and close when the calls on them have ended. */
  private readonly retired = new Set<CallChannel>();

  /**
   * @param localDaemon - Id of this daemon, sent when a channel is opened.
   * @param connectTimeoutMs - Timeout of a connection attempt, in milliseconds.
   * @param clock - Source of monotonic time.
   * @param logger - Logs silent channels.
   * @param silentChecks - Interval and number of the checks whether a silent, replaced channel has
   * recovered.
   */
  public constructor(
    private readonly localDaemon: DaemonId,
    private readonly connectTimeoutMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly silentChecks = DEFAULT_SILENT_CHANNEL_CHECKS,
  ) {}

  /**
   * Returns the channel for new calls to a daemon, and opens one if there is none.
   *
   * @param address - Address of the daemon.
   * @returns The channel; its connection may not be open yet.
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
   * Retires a channel that is suspected to be silent: new calls get another channel, and the calls on
   * this one continue. Does nothing if the channel was already replaced.
   *
   * @param address - Address of the daemon that the channel leads to.
   * @param channel - The suspected channel.
   */
  public retire(address: Address, channel: CallChannel): void {
    if (this.entries.get(address)?.channel !== channel) return;
    this.entries.delete(address);
    this.retired.add(channel);
    channel.closeWhenIdle();
  }

  public ping(address: Address): void {
    const entry = this.entries.get(address);
    if (!entry) return;
    if (!CallChannels.isPingUnanswered(entry)) entry.pingedAt = this.clock.now();
    entry.channel.ping();
  }

  public lastReceivedAt(address: Address): number | undefined {
    const channel = this.entries.get(address)?.channel;
    return channel?.isOpen ? channel.lastReceivedAt : undefined;
  }

  /**
   * Retires the channel to a daemon that responds on other connections, if nothing was received on the
   * channel for a while after a ping: new calls get another channel.
   *
   * The connection may be dead, or may only have lost more packets than others. Closing it would cancel
   * the calls running at the other daemon. So these calls are notified and continue, and the channel is
   * closed only if it stays silent for long.
   *
   * @param address - Address of a daemon that responds on other connections.
   */
  public retireIfSilent(address: Address): void {
    const entry = this.entries.get(address);
    if (!entry || !CallChannels.isPingUnanswered(entry)) return;
    const silentMs = this.clock.now() - entry.pingedAt;
    if (silentMs < SILENCE_THRESHOLD_MS) return;
    const { channel, pingedAt } = entry;
    this.logger.log('Leaves a silent channel.', {
      address,
      silentMs: Math.round(silentMs),
      calls: channel.openCalls,
    });
    this.retire(address, channel);
    this.checkSilent(address, channel, pingedAt);
  }

  /** Closes channels that have no calls and weren't used for the idle timeout. */
  public closeIdle(): void {
    const idleCutoff = this.clock.now() - IDLE_TIMEOUT_MS;
    for (const [address, { channel, lastUsed }] of this.entries) {
      if (lastUsed < idleCutoff && channel.openCalls === 0) this.retire(address, channel);
    }
  }

  public dispose(): void {
    const channels = [...[...this.entries.values()].map(({ channel }) => channel), ...this.retired];
    this.entries.clear();
    for (const channel of channels) channel.dispose();
  }

  /**
   * Checks a retired channel repeatedly until something is received on it; closes it after the
   * maximum number of checks.
   */
  private checkSilent(address: Address, channel: CallChannel, pingedAt: number, checks = 0): void {
    if (!this.retired.has(channel) || channel.lastReceivedAt >= pingedAt) return;
    if (checks === this.silentChecks.maxChecks) {
      this.logger.log('Closes a silent channel.', { address, calls: channel.openCalls });
      channel.dispose();
      return;
    }
    channel.notifySilent();
    const check = () => this.checkSilent(address, channel, pingedAt, checks + 1);
    setTimeout(check, this.silentChecks.intervalMs).unref();
  }

  /** Whether nothing was received on a channel since the recorded ping. */
  private static isPingUnanswered(entry: PoolEntry): entry is PoolEntry & { pingedAt: number } {
    return entry.pingedAt !== undefined && entry.channel.lastReceivedAt < entry.pingedAt;
  }

  private open(address: Address): CallChannel {
    return new CallChannel(address, {
      localDaemon: this.localDaemon,
      connectTimeoutMs: this.connectTimeoutMs,
      clock: this.clock,
      onEnd: (channel) => {
        this.retired.delete(channel);
        if (this.entries.get(address)?.channel === channel) this.entries.delete(address);
      },
    });
  }
}
