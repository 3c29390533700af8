import type { Address, Clock, Disposable, Logger } from '../common/Types';
import type { Liveness, PeerWatcher, ProbeResult } from './Types';

/** How often awaited daemons are looked at, in milliseconds. */
const CHECK_MS = 50;
/**
 * Part of the silence after which the channel in use is pinged: a daemon that is sound answers before
 * the whole of it, and isn't probed. Probes cost both daemons a connection, and the more daemons
 * share the load, the longer each is silent between two answers.
 */
const PING_PART = 0.75;
/** Probes of one kind, in a row, that a finding takes; one may be dropped. */
const FAILED_PROBES = 2;
/** Pause between probes of an unresponsive daemon, in milliseconds. */
const RETURN_PROBE_MS = 400;
/** Probes of an unresponsive daemon after which it is asked no more until a call goes to it. */
const MAX_RETURN_PROBES = 150;

/**
 * Probes of an unresponsive daemon, in a row, to which no connection came about, after which it counts
 * as gone: about 8 s. The longest that a living daemon left calls unread was 5.3 s; one whose queue of
 * new connections is full takes some whenever its event loop turns. Their number counts, not the
 * time, so that a hold-up of this daemon doesn't.
 */
const GONE_PROBES = 12;
const REFUSES = 'it refuses connections';

type Unresponsiveness = Exclude<ProbeResult, 'answers'>;

/** How a daemon was found, for the log. */
const FINDINGS: Readonly<Record<Unresponsiveness, string>> = {
  silent: 'it takes connections and answers no probe',
  unconnected: 'no connection to it came about in time',
  unreachable: REFUSES,
};

/** Settings of the watch, in milliseconds. */
export interface PeerLivenessOptions {
  /** Time without a sign of an awaited daemon after which it is probed. */
  readonly silenceMs: number;
  /** Pause between probes of an unresponsive daemon. */
  readonly returnProbeMs?: number;
}

/** The connections in use, where signs of life cost least. */
export interface ChannelSigns {
  /** @param address - Of a daemon that is asked for a sign of life on its channel. */
  ping(address: Address): void;
  /**
   * @param address - Of a daemon.
   * @returns Monotonic time in ms of the last that came on the open channel to it; `undefined` where
   * there is none.
   */
  lastHeardAt(address: Address): number | undefined;
}

interface Watch {
  readonly since: number;
  readonly watcher: PeerWatcher;
}

interface Peer {
  heardAt: number;
  pingedAt: number;
  probing: boolean;
  /** Whether it is probed until it answers again. */
  awaited: boolean;
  state: ProbeResult;
  readonly watches: Set<Watch>;
}

/**
 * Finds daemons that stopped answering while calls wait for them.
 *
 * Load it answers: VMs that are cut off, frozen or without power, whose connections stay open and
 * silent. The first silence of a daemon starts a probe on a new connection; new calls are placed
 * elsewhere once it fails, and those that wait there get second attempts where these are allowed.
 * Long calls at daemons that are sound cost a ping on their channel.
 * What waits is given up only where no answer can come: where connections are refused, so that the
 * process has ended. A daemon that takes the connection and gives no answer may be too busy; and one
 * to which no connection comes about may have its queue of them full, as the kernel drops opening
 * packets then. Both may be running what was sent to them. Only one to which none comes about for
 * long counts as gone, so that calls with much time left come back to their callers while there
 * is some; they are few, as they were all under way when it fell silent.
 */
export default class PeerLiveness implements Liveness, Disposable {
  private readonly peers = new Map<Address, Peer>();

  private readonly timer: NodeJS.Timeout;

  private disposed = false;

  /**
   * @param probe - Asks a daemon on a new connection.
   * @param channels - Where daemons are pinged before they are probed.
   * @param options - When to probe.
   * @param clock - Source of time.
   * @param logger - Log of this part.
   */
  public constructor(
    private readonly probe: (address: Address) => Promise<ProbeResult>,
    private readonly channels: ChannelSigns,
    private readonly options: PeerLivenessOptions,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.timer = setInterval(() => this.check(), CHECK_MS).unref();
  }

  public isUnresponsive(address: Address): boolean {
    return (this.peers.get(address)?.state ?? 'answers') !== 'answers';
  }

  public heard(address: Address): void {
    this.found(address);
  }

  public refused(address: Address): void {
    if (this.peer(address).state === 'unreachable') return;
    this.suspend(address, 'unreachable', REFUSES, this.clock.now());
  }

  public unconnected(address: Address): void {
    if (this.isUnresponsive(address)) return;
    this.suspend(address, 'unconnected', 'the network knows no way to it', this.clock.now());
  }

  public watch(address: Address, watcher: PeerWatcher): Disposable {
    const peer = this.peer(address);
    const watch: Watch = { since: this.clock.now(), watcher };
    peer.watches.add(watch);
    return { dispose: () => peer.watches.delete(watch) };
  }

  public dispose(): void {
    this.disposed = true;
    clearInterval(this.timer);
  }

  private check(): void {
    const now = this.clock.now();
    for (const [address, peer] of this.peers) {
      const [oldest] = peer.watches;
      if (!oldest || peer.probing || peer.state !== 'answers') continue;
      const quietSince = Math.max(oldest.since, this.heardAt(address));
      if (now - quietSince >= this.options.silenceMs) void this.probeSilent(address);
      else if (now - quietSince >= PING_PART * this.options.silenceMs) {
        this.ping(address, quietSince, now);
      }
    }
  }

  /** Pings once in each silence. */
  private ping(address: Address, quietSince: number, now: number): void {
    const peer = this.peer(address);
    if (peer.pingedAt >= quietSince) return;
    peer.pingedAt = now;
    this.channels.ping(address);
  }

  /** Monotonic time in ms of the last sign of life. */
  private heardAt(address: Address): number {
    return Math.max(this.peer(address).heardAt, this.channels.lastHeardAt(address) ?? -Infinity);
  }

  private async probeSilent(address: Address): Promise<void> {
    const peer = this.peer(address);
    peer.probing = true;
    const heardAt = this.heardAt(address);
    const askedAt = this.clock.now();
    let state: Unresponsiveness = 'unconnected';
    try {
      for (let failed = 0; failed < FAILED_PROBES; failed += 1) {
        const result = await this.probe(address);
        if (result === 'answers') {
          this.found(address);
          return;
        }
        // What came on the channel meanwhile says as much as an answer to the probe.
        if (this.heardAt(address) > heardAt) return;
        // One that took a connection lives, whatever became of the other.
        if (state !== 'silent') state = result;
      }
    } finally {
      peer.probing = false;
    }
    // A connection that was refused meanwhile says more.
    if (this.isUnresponsive(address)) return;
    this.suspend(address, state, FINDINGS[state], askedAt);
  }

  private suspend(
    address: Address,
    state: Unresponsiveness,
    reason: string,
    askedAt: number,
  ): void {
    const peer = this.peer(address);
    this.note(address, state, reason, askedAt);
    if (!peer.awaited) void this.awaitReturn(address);
  }

  /** Tells the calls that were there when the daemon was asked. */
  private note(address: Address, state: Unresponsiveness, reason: string, askedAt: number): void {
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
      if (since > askedAt) continue;
      if (state === 'unreachable') watcher.onUnreachable(reason);
      else watcher.onSilent();
    }
  }

  private async awaitReturn(address: Address): Promise<void> {
    const peer = this.peer(address);
    peer.awaited = true;
    let last: ProbeResult | undefined;
    let inRow = 0;
    for (let probes = 0; probes < MAX_RETURN_PROBES && this.isUnresponsive(address); probes += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.options.returnProbeMs ?? RETURN_PROBE_MS).unref();
      });
      if (this.disposed) return;
      if (!this.isUnresponsive(address)) break;
      const askedAt = this.clock.now();
      const result = await this.probe(address);
      // What came on the channel meanwhile says as much as an answer to the probe.
      if (result === 'answers' || this.heardAt(address) > askedAt) this.found(address);
      if (result === 'answers' || !this.isUnresponsive(address)) break;
      inRow = result === last ? inRow + 1 : 1;
      last = result;
      this.noteFailed(address, result, inRow, askedAt);
    }
    peer.awaited = false;
    // It may have left for good; a call that comes to it finds out anew.
    if (this.isUnresponsive(address)) this.peers.delete(address);
  }

  /** @param inRow - Probes in a row with this result. */
  private noteFailed(
    address: Address,
    result: Unresponsiveness,
    inRow: number,
    askedAt: number,
  ): void {
    const { state } = this.peer(address);
    if (result === 'unconnected' && inRow >= GONE_PROBES) {
      const reason = `no connection to it came about for ${GONE_PROBES} probes`;
      this.note(address, 'unreachable', reason, askedAt);
    } else if (result === 'silent' || inRow >= FAILED_PROBES) {
      this.note(address, result, FINDINGS[result], askedAt);
    } else if (state === 'silent' || state === 'unconnected') {
      this.note(address, state, FINDINGS[state], askedAt);
    }
  }

  private found(address: Address): void {
    const peer = this.peer(address);
    peer.heardAt = this.clock.now();
    if (peer.state === 'answers') return;
    peer.state = 'answers';
    this.logger.log('An unresponsive daemon answers again.', { address });
  }

  private peer(address: Address): Peer {
    let peer = this.peers.get(address);
    if (!peer) {
      peer = {
        heardAt: -Infinity,
        pingedAt: -Infinity,
        probing: false,
        awaited: false,
        state: 'answers',
        watches: new Set(),
      };
      this.peers.set(address, peer);
    }
    return peer;
  }
}
