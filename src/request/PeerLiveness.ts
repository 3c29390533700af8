import type { Address, Clock, Disposable, Logger } from '../common/Types';
import type { Liveness, PeerWatcher, ProbeResult } from './Types';

/** Interval at which daemons with waiting calls are checked for silence, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/**
 * Fraction of the silence timeout after which a daemon is pinged on its channel. A healthy one
 * responds before the whole timeout has passed, and is not probed. Probes cost both daemons a
 * connection, and the more daemons share the load, the longer each of them is silent between two
 * responses.
 */
const PING_FRACTION = 0.75;
/**
 * Number of consecutive failed probes after which a daemon's state changes; a single failure may be
 * due to packet loss.
 */
const MIN_FAILED_PROBES = 2;
/** Default pause between probes of an unresponsive daemon, in milliseconds. */
const RECOVERY_PROBE_INTERVAL_MS = 400;
/** Number of failed probes after which a daemon isn't probed any more until the next call to it. */
const MAX_RECOVERY_PROBES = 150;

/**
 * Consecutive probes without a connection after which an unresponsive daemon counts as unreachable:
 * about 8 s. The longest time for which a running daemon left calls unread was 5.3 s; a daemon whose
 * accept queue is full accepts some connections in each turn of its event loop. Probes are counted
 * instead of time, so that a stall of this daemon's own event loop has no effect.
 */
const MAX_UNCONNECTED_PROBES = 12;
const CONNECTION_REFUSED_REASON = 'it refuses connections';

type UnresponsiveState = Exclude<ProbeResult, 'answers'>;

/** Explanation of each unresponsive state, for log lines and for errors that reach callers. */
const UNRESPONSIVE_REASONS: Readonly<Record<UnresponsiveState, string>> = {
  silent: 'it takes connections and answers no probe',
  unconnected: 'no connection to it came about in time',
  unreachable: CONNECTION_REFUSED_REASON,
};

/** Timeouts of the failure detector, in milliseconds. */
export interface PeerLivenessOptions {
  /** Time without data from a daemon, while calls wait there, after which it is probed. */
  readonly silenceMs: number;
  /** Pause between probes of an unresponsive daemon. */
  readonly recoveryProbeMs?: number;
}

/** Open channels to other daemons, where a liveness check is cheaper than on a new connection. */
export interface ChannelLiveness {
  /** @param address - Address of a daemon that is pinged on its channel, if one is open. */
  ping(address: Address): void;
  /**
   * @param address - Address of a daemon.
   * @returns Monotonic time in ms at which data last arrived on the open channel to the daemon;
   * `undefined` if no channel is open.
   */
  lastReceivedAt(address: Address): number | undefined;
}

interface Watch {
  readonly since: number;
  readonly watcher: PeerWatcher;
}

interface Peer {
  lastResponseAt: number;
  pingedAt: number;
  /** Whether the daemon is being probed because it fell silent. */
  probing: boolean;
  /** Whether the daemon is probed periodically until it responds again. */
  awaitingRecovery: boolean;
  state: ProbeResult;
  readonly watches: Set<Watch>;
}

/**
 * Failure detector for daemons at which calls of this daemon wait.
 *
 * Handles VMs that are partitioned, frozen or without power, whose connections stay open and
 * silent. After a silence the daemon is probed on a new connection. Once the probes fail, new calls
 * are placed elsewhere, and calls that wait there get second attempts where these are allowed. A
 * long call at a healthy daemon costs only a ping on the open channel.
 *
 * Waiting calls fail only when no response can arrive any more: when connections are refused, as
 * the process has exited. The other failures of probes leave open whether the daemon still executes
 * its calls: a daemon that accepts a connection but doesn't respond may be overloaded, and one to
 * which no connection can be established may have a full accept queue, as the kernel drops SYN
 * packets then. Only when no connection can be established for long does the daemon count as
 * unreachable, so that calls with a late deadline are returned to their callers before it passes.
 * Few calls are affected, as all of them were in flight when the daemon fell silent.
 */
export default class PeerLiveness implements Liveness, Disposable {
  private readonly peers = new Map<Address, Peer>();

  private readonly checkTimer: NodeJS.Timeout;

  private disposed = false;

  /**
   * @param probe - Probes a daemon on a new connection.
   * @param channels - Open channels, on which daemons are pinged before they are probed.
   * @param options - Timeouts of the failure detector.
   * @param clock - Monotonic clock, to measure how long daemons are silent.
   * @param logger - Receives a line for each daemon that becomes unresponsive or recovers.
   */
  public constructor(
    private readonly probe: (address: Address) => Promise<ProbeResult>,
    private readonly channels: ChannelLiveness,
    private readonly options: PeerLivenessOptions,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.checkTimer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  public isUnresponsive(address: Address): boolean {
    return (this.peers.get(address)?.state ?? 'answers') !== 'answers';
  }

  public reportResponse(address: Address): void {
    this.markResponsive(address);
  }

  public reportConnectionRefused(address: Address): void {
    if (this.peer(address).state === 'unreachable') return;
    this.markUnresponsive(address, 'unreachable', CONNECTION_REFUSED_REASON, this.clock.now());
  }

  public reportNoRoute(address: Address): void {
    if (this.isUnresponsive(address)) return;
    this.markUnresponsive(
      address,
      'unconnected',
      'the network knows no way to it',
      this.clock.now(),
    );
  }

  public watch(address: Address, watcher: PeerWatcher): Disposable {
    const peer = this.peer(address);
    const watch: Watch = { since: this.clock.now(), watcher };
    peer.watches.add(watch);
    return { dispose: () => peer.watches.delete(watch) };
  }

  public dispose(): void {
    this.disposed = true;
    clearInterval(this.checkTimer);
  }

  private check(): void {
    const now = this.clock.now();
    for (const [address, peer] of this.peers) {
      const [oldest] = peer.watches;
      if (!oldest || peer.probing || peer.state !== 'answers') continue;
      const silentSince = Math.max(oldest.since, this.lastSeenAt(address));
      if (now - silentSince >= this.options.silenceMs) void this.probeSilent(address);
      else if (now - silentSince >= PING_FRACTION * this.options.silenceMs) {
        this.pingOnce(address, silentSince, now);
      }
    }
  }

  /** Pings a daemon unless it was pinged since it fell silent. */
  private pingOnce(address: Address, silentSince: number, now: number): void {
    const peer = this.peer(address);
    if (peer.pingedAt >= silentSince) return;
    peer.pingedAt = now;
    this.channels.ping(address);
  }

  /** Monotonic time in ms at which the daemon last responded or data arrived on its channel. */
  private lastSeenAt(address: Address): number {
    return Math.max(
      this.peer(address).lastResponseAt,
      this.channels.lastReceivedAt(address) ?? -Infinity,
    );
  }

  private async probeSilent(address: Address): Promise<void> {
    const peer = this.peer(address);
    peer.probing = true;
    const previouslySeenAt = this.lastSeenAt(address);
    const probedAt = this.clock.now();
    let state: UnresponsiveState = 'unconnected';
    try {
      for (let failed = 0; failed < MIN_FAILED_PROBES; failed += 1) {
        const result = await this.probe(address);
        if (result === 'answers') {
          this.markResponsive(address);
          return;
        }
        // Data that arrived on the channel during the probe is as good as a response to the probe.
        if (this.lastSeenAt(address) > previouslySeenAt) return;
        // A daemon that accepted one of the connections is alive, whatever the other probe
        // returned.
        if (state !== 'silent') state = result;
      }
    } finally {
      peer.probing = false;
    }
    // A connection refused during the probes set a state that is more certain than their result.
    if (this.isUnresponsive(address)) return;
    this.markUnresponsive(address, state, UNRESPONSIVE_REASONS[state], probedAt);
  }

  private markUnresponsive(
    address: Address,
    state: UnresponsiveState,
    reason: string,
    probedAt: number,
  ): void {
    const peer = this.peer(address);
    this.setState(address, state, reason, probedAt);
    if (!peer.awaitingRecovery) void this.awaitRecovery(address);
  }

  /** Sets a daemon's state and notifies the calls that waited there before the probe started. */
  private setState(
    address: Address,
    state: UnresponsiveState,
    reason: string,
    probedAt: number,
  ): void {
    const peer = this.peer(address);
    if (peer.state !== state) {
      this.logger.log('A daemon is unresponsive.', {
        address,
        state,
        reason,
        calls: peer.watches.size,
      });
    }
    Object.assign(peer, { state });
    for (const { since, watcher } of [...peer.watches]) {
      if (since > probedAt) continue;
      if (state === 'unreachable') watcher.onUnreachable(reason);
      else watcher.onSilent();
    }
  }

  private async awaitRecovery(address: Address): Promise<void> {
    const peer = this.peer(address);
    peer.awaitingRecovery = true;
    let lastResult: ProbeResult | undefined;
    let consecutiveCount = 0;
    for (
      let probes = 0;
      probes < MAX_RECOVERY_PROBES && this.isUnresponsive(address);
      probes += 1
    ) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.options.recoveryProbeMs ?? RECOVERY_PROBE_INTERVAL_MS).unref();
      });
      if (this.disposed) return;
      if (!this.isUnresponsive(address)) break;
      const probedAt = this.clock.now();
      const result = await this.probe(address);
      // Data that arrived on the channel during the probe is as good as a response to the probe.
      if (result === 'answers' || this.lastSeenAt(address) > probedAt) this.markResponsive(address);
      if (result === 'answers' || !this.isUnresponsive(address)) break;
      consecutiveCount = result === lastResult ? consecutiveCount + 1 : 1;
      lastResult = result;
      this.handleFailedProbe(address, result, consecutiveCount, probedAt);
    }
    peer.awaitingRecovery = false;
    // The daemon may never return. The next call to it starts the detection again.
    if (this.isUnresponsive(address)) this.peers.delete(address);
  }

  /** @param consecutiveCount - Number of consecutive probes of the daemon with this result. */
  private handleFailedProbe(
    address: Address,
    result: UnresponsiveState,
    consecutiveCount: number,
    probedAt: number,
  ): void {
    const { state } = this.peer(address);
    if (result === 'unconnected' && consecutiveCount >= MAX_UNCONNECTED_PROBES) {
      const reason = `no connection to it came about for ${MAX_UNCONNECTED_PROBES} probes`;
      this.setState(address, 'unreachable', reason, probedAt);
    } else if (result === 'silent' || consecutiveCount >= MIN_FAILED_PROBES) {
      this.setState(address, result, UNRESPONSIVE_REASONS[result], probedAt);
    } else if (state === 'silent' || state === 'unconnected') {
      this.setState(address, state, UNRESPONSIVE_REASONS[state], probedAt);
    }
  }

  private markResponsive(address: Address): void {
    const peer = this.peer(address);
    peer.lastResponseAt = this.clock.now();
    if (peer.state === 'answers') return;
    peer.state = 'answers';
    this.logger.log('An unresponsive daemon answers again.', { address });
  }

  private peer(address: Address): Peer {
    let peer = this.peers.get(address);
    if (!peer) {
      peer = {
        lastResponseAt: -Infinity,
        pingedAt: -Infinity,
        probing: false,
        awaitingRecovery: false,
        state: 'answers',
        watches: new Set(),
      };
      this.peers.set(address, peer);
    }
    return peer;
  }
}
