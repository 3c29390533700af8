import PQueue from 'p-queue';
import { jitteredBackoff, type Backoff } from '../common/backoff';
import pickRandom from '../common/pickRandom';
import Emitter from '../common/Emitter';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';
import type { Clock, DaemonId, Disposable, Random, ZoneName } from '../common/Types';
import type { GossipCounts } from './GossipMeter';
import type PeerClient from './PeerClient';
import PeerLink, { type LinkServices } from './PeerLink';
import HashRings from './HashRings';
import LostMemberSearch from './LostMemberSearch';
import type { MemberRecord, RecordPublisher } from './Types';

const RECONCILE_INTERVAL_MS = 500;
const MAX_CONCURRENT_PROBES = 4;
/** Shortest time between two heartbeats on a link that are sent to get a younger proof, in milliseconds. */
const PROOF_REQUEST_INTERVAL_MS = 250;
/** Share of the revocation bound from which on the proof is old enough to send heartbeats sooner. */
const PROOF_REQUEST_SHARE = 1 / 3;
/** Number of peers that probe an unreachable member on behalf of this daemon. */
const INDIRECT_PROBE_COUNT = 3;
/** Backoff before a link to a peer is opened again after links to it failed. */
const REDIAL_BACKOFF: Backoff = { baseMs: 500, capMs: 15_000 };

/** A link to a peer and the controller that closes it. */
interface OpenLink {
  readonly link: PeerLink;
  readonly end: AbortController;
}

/** Backoff state of a member whose link failed. */
interface RedialBackoff {
  readonly failures: number;
  /** Monotonic time in ms before which no new link to the member is opened. */
  readonly retryAt: number;
}

/** State of one link, as shown by the dump command. */
export interface LinkState {
  readonly peer: DaemonId;
  readonly up: boolean;
}

/**
 * Maintains a link to this daemon's successor on each hash ring, and detects failures of these
 * successors.
 */
export default class Overlay implements RecordPublisher, Disposable {
  private readonly links = new Map<DaemonId, OpenLink>();

  private readonly redialBackoffs = new Map<DaemonId, RedialBackoff>();

  private readonly hashRings = new HashRings();

  private readonly lostMembers: LostMemberSearch;

  /** Member whose late answers raise the doubt that the readers may be lost. */
  private watched: DaemonId | undefined;

  private readonly probeQueue = new PQueue({ concurrency: MAX_CONCURRENT_PROBES });

  private readonly contactQueue = new PQueue({ concurrency: MAX_CONCURRENT_PROBES });

  private readonly syncEmitter = new Emitter<readonly MemberRecord[]>();

  /** Fires with the member records that a peer sent in a synchronisation, once they are merged. */
  public readonly onSync = this.syncEmitter.event;

  private readonly services: LinkServices;

  public constructor(
    services: Omit<LinkServices, 'onSync'>,
    private readonly peerClient: PeerClient,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.services = { ...services, onSync: (records) => this.syncEmitter.fire(records) };
    this.lostMembers = new LostMemberSearch(this.hashRings, clock, random);
  }

  /** State of each link that this daemon currently maintains. */
  public get state(): readonly LinkState[] {
    return [...this.links].map(([peer, { link }]) => ({ peer, up: link.isUp }));
  }

  /**
   * @param zone - Name of a zone.
   * @returns Shortest mean round trip, in ms, on the links to the zone; `undefined` without a link.
   */
  public roundTripMs(zone: ZoneName): number | undefined {
    let shortest: number | undefined;
    for (const { link } of this.links.values()) {
      const { peer, roundTripMs } = link;
      if (link.isUp && peer.zone === zone && roundTripMs !== undefined) {
        shortest = Math.min(shortest ?? Infinity, roundTripMs);
      }
    }
    return shortest;
  }

  /** Gossip counters since the start of the process. */
  public get counts(): GossipCounts {
    return this.services.gossip.meter.counts;
  }

  /** @param signal - Stops the task and closes all links. */
  public async run(signal: AbortSignal): Promise<void> {
    const wakeup = { controller: new AbortController() };
    const subscription = this.services.members.onChange(() => wakeup.controller.abort());
    try {
      while (!signal.aborted) {
        this.reconcile();
        await withLinkedSignal([signal, wakeup.controller.signal], undefined, (ended) =>
          sleep(RECONCILE_INTERVAL_MS, ended),
        );
        wakeup.controller = new AbortController();
        // Membership changes arrive in bursts; this delay recomputes the rings once per burst.
        await sleep(RECONCILE_INTERVAL_MS / 10, signal);
      }
    } finally {
      subscription.dispose();
      this.dispose();
    }
  }

  /**
   * Sends heartbeats sooner while the proof of the version in force is getting old.
   *
   * @param signal - Stops the task.
   */
  public async requestProofs(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(PROOF_REQUEST_INTERVAL_MS, signal);
      if (!this.services.proof?.isOlderThan(PROOF_REQUEST_SHARE)) continue;
      for (const { link } of this.links.values()) if (link.isUp) link.requestHeartbeat();
    }
  }

  /**
   * Contacts lost members, so that restarted daemons are found and the two sides of a network partition merge
   * again after it heals.
   *
   * @param signal - Stops the task.
   */
  public async contactLost(signal: AbortSignal): Promise<void> {
    const { members } = this.services;
    while (!signal.aborted) {
      await sleep(RECONCILE_INTERVAL_MS, signal);
      if (signal.aborted) return;
      // Contacts that got no answer yet hold up further ones, but not the probes of members that fail.
      if (this.contactQueue.size > 0) continue;
      for (const member of this.lostMembers.takeDue(members.self, members.all())) {
        void this.contactQueue.add(() => this.introduce(member));
      }
    }
  }

  /**
   * Exchanges member records with a daemon to which this daemon has no link. The records of the other
   * daemon are read first: it may hold one of an earlier process of this daemon, which this daemon's record
   * would replace. The request includes this daemon's record of that member, so that a suspected member can
   * refute it.
   *
   * @param member - Id and address of the other daemon.
   * @returns Whether it responded.
   */
  public async introduce(member: Pick<MemberRecord, 'id' | 'address'>): Promise<boolean> {
    const { members, gossip } = this.services;
    const known = members.get(member.id);
    try {
      await this.peerClient.request(member.address, async (client, signal) => {
        const reply = await client.sync.mutate({ buckets: members.buckets() }, { signal });
        gossip.receiveRollouts(reply.rollouts, member.id);
        gossip.receive(reply.records, member.id);
        this.syncEmitter.fire(reply.records);
        const records = known ? [members.self, known] : [members.self];
        const beat = gossip.createHeartbeat();
        await client.beat.mutate({ records, beat, rollouts: gossip.rolloutHeads }, { signal });
      });
      return true;
    } catch {
      return false;
    }
  }

  public async publishSelf(count: number): Promise<boolean> {
    const peers = this.services.members.live().length - 1;
    const wanted = Math.min(count, peers);
    if (wanted === 0) return true;
    const links = [...this.links.values()].map(({ link }) => link).filter(({ isUp }) => isUp);
    return new Promise((resolve) => {
      let confirmed = 0;
      const publish = async (link: PeerLink) => {
        if (!(await link.publishSelf())) return;
        confirmed += 1;
        if (confirmed === wanted) resolve(true);
      };
      void Promise.all(links.map(publish)).then(() => resolve(confirmed >= wanted));
    });
  }

  public dispose(): void {
    for (const { end } of this.links.values()) end.abort();
    this.syncEmitter.dispose();
  }

  /** Watches the next member on the ring of all members that can be reached. */
  private watch(eligible: readonly MemberRecord[]): void {
    const { members, doubt } = this.services;
    const id = this.hashRings.watched(members.self, eligible)?.id;
    if (id === this.watched) return;
    if (this.watched !== undefined) {
      if (members.get(this.watched)?.health === 'alive') doubt.forget(this.watched);
      else doubt.recordLoss(this.watched);
      const link = this.links.get(this.watched)?.link;
      if (link) link.isWatched = false;
    }
    this.watched = id;
  }

  private reconcile(): void {
    const { members } = this.services;
    const now = this.clock.now();
    const live = members.live();
    const eligible = live.filter(
      ({ id, health }) => health === 'alive' && now >= (this.redialBackoffs.get(id)?.retryAt ?? 0),
    );
    const successors = this.hashRings.successors(members.self, eligible);
    for (const [id, { end }] of this.links) if (!successors.has(id)) this.closeLink(id, end);
    this.watch(eligible);
    for (const member of successors.values()) if (!this.links.has(member.id)) this.open(member);
    const watchedLink = this.watched === undefined ? undefined : this.links.get(this.watched);
    if (watchedLink) watchedLink.link.isWatched = true;
    this.hashRings.prune(new Set(members.all().map(({ id }) => id)));
  }

  /** Closes a link; it stays in `links` until its task has ended. */
  private closeLink(peer: DaemonId, end: AbortController): void {
    if (end.signal.aborted) return;
    const { gossip, logger } = this.services;
    gossip.meter.add('linksReplaced');
    logger.log('Closing a link.', { peer, reason: 'peer is no longer a successor on any ring' });
    end.abort();
  }

  private open(member: MemberRecord): void {
    this.services.gossip.meter.add('linksOpened');
    const openLink: OpenLink = {
      link: new PeerLink(member, this.services),
      end: new AbortController(),
    };
    this.links.set(member.id, openLink);
    void this.maintain(member, openLink);
  }

  /** Runs one link until it ends; after a failure, checks whether the peer is reachable. */
  private async maintain(member: MemberRecord, { link, end }: OpenLink): Promise<void> {
    const openedAt = this.clock.now();
    try {
      await link.run(end.signal);
      this.redialBackoffs.delete(member.id);
    } catch (error) {
      if (end.signal.aborted) return;
      this.services.gossip.meter.add('linksLost');
      this.services.logger.log('Lost a peer.', {
        peer: member.id,
        reason: (error as Error).message,
        lastedMs: Math.round(this.clock.now() - openedAt),
        stage: link.stage,
      });
      this.services.fetchLease.release();
      if (link.isWatched) this.services.doubt.recordLoss(member.id);
      this.deferRedial(member.id, this.clock.now() - openedAt);
      await this.probeQueue.add(() => this.confirmFailure(member));
    } finally {
      this.links.delete(member.id);
      for (const other of this.links.values()) other.link.requestHeartbeat();
    }
  }

  /**
   * Sets when a failed link may be opened again. A link that lasted longer than the maximum backoff
   * resets the failure count.
   */
  private deferRedial(id: DaemonId, lastedMs: number): void {
    const previousFailures =
      lastedMs > REDIAL_BACKOFF.capMs ? 0 : (this.redialBackoffs.get(id)?.failures ?? 0);
    const failures = previousFailures + 1;
    const retryAt = this.clock.now() + jitteredBackoff(REDIAL_BACKOFF, failures, this.random);
    this.redialBackoffs.set(id, { failures, retryAt });
  }

  /** Marks a member as suspect if a direct probe on a new connection and all indirect probes fail. */
  private async confirmFailure(member: MemberRecord): Promise<void> {
    if (await this.peerClient.isReachable(member.id, member.address)) return;
    const indirectProbers = this.pickIndirectProbers(member.id);
    const target = { id: member.id, address: member.address };
    const results = await Promise.all(
      indirectProbers.map(async ({ address }) => {
        try {
          return await this.peerClient.request(address, (client, signal) =>
            client.probe.mutate(target, { signal }),
          );
        } catch {
          return false;
        }
      }),
    );
    if (results.includes(true)) return;
    this.services.logger.log('Suspects a member.', {
      member: member.id,
      asked: indirectProbers.length,
    });
    this.services.members.suspect(member.id);
  }

  private pickIndirectProbers(except: DaemonId): MemberRecord[] {
    const { members } = this.services;
    const pool = members
      .live()
      .filter(({ id, health }) => health === 'alive' && id !== except && id !== members.self.id);
    return pickRandom(pool, INDIRECT_PROBE_COUNT, this.random);
  }
}
