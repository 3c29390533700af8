import PQueue from 'p-queue';
import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import pickRandom from '../common/pickRandom';
import sleep from '../common/sleep';
import withLinkedSignal from '../common/withLinkedSignal';
import type { Clock, DaemonId, Disposable, Random } from '../common/Types';
import type { GossipCounts } from './GossipMeter';
import type PeerAsker from './PeerAsker';
import PeerLink, { type LinkServices } from './PeerLink';
import RingView from './RingView';
import type { MemberRecord } from './Types';

const RECONCILE_MS = 500;
const DIALS_AT_ONCE = 4;
const INDIRECT_PROBES = 3;
const HEAL_PERIOD_MS = 8_000;
const REDIAL: Backoff = { baseMs: 500, capMs: 15_000 };

/** A link and what ends it. */
interface OpenLink {
  readonly link: PeerLink;
  readonly end: AbortController;
}

/** Failures of a member to answer this daemon. */
interface Unreachable {
  readonly failures: number;
  /** Monotonic time in ms before which it isn't dialled again. */
  readonly until: number;
}

/** State of one link, for the dump. */
export interface LinkState {
  readonly peer: DaemonId;
  readonly up: boolean;
}

/** Keeps a link to this daemon's successor on each ring, and watches those successors. */
export default class Overlay implements Disposable {
  private readonly links = new Map<DaemonId, OpenLink>();

  private readonly unreachable = new Map<DaemonId, Unreachable>();

  private readonly rings = new RingView();

  private readonly dials = new PQueue({ concurrency: DIALS_AT_ONCE });

  public constructor(
    private readonly services: LinkServices,
    private readonly asker: PeerAsker,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Links as they stand. */
  public get state(): readonly LinkState[] {
    return [...this.links].map(([peer, { link }]) => ({ peer, up: link.isUp }));
  }

  /** What was exchanged since the start. */
  public get counts(): GossipCounts {
    return this.services.gossip.meter.counts;
  }

  /** @param signal - Ends the task and every link. */
  public async run(signal: AbortSignal): Promise<void> {
    const wake = { early: new AbortController() };
    const subscription = this.services.members.onChange(() => wake.early.abort());
    try {
      while (!signal.aborted) {
        this.reconcile();
        await withLinkedSignal([signal, wake.early.signal], undefined, (ended) =>
          sleep(RECONCILE_MS, ended),
        );
        wake.early = new AbortController();
        // Changes come in bursts; the rings are computed once for all of them.
        await sleep(RECONCILE_MS / 10, signal);
      }
    } finally {
      subscription.dispose();
      this.dispose();
    }
  }

  /**
   * Tries now and then to reach a member that was lost from sight, so that the two sides of a cut
   * find each other again.
   *
   * @param signal - Ends the task.
   */
  public async heal(signal: AbortSignal): Promise<void> {
    const { members } = this.services;
    while (!signal.aborted) {
      await sleep(jitteredPeriod(HEAL_PERIOD_MS, this.random), signal);
      const lost = members.live().filter(({ health }) => health === 'suspect');
      const candidate = lost[this.random.below(Math.max(lost.length, 1))];
      if (candidate && !signal.aborted) await this.introduce(candidate);
    }
  }

  /**
   * Exchanges member records with a daemon that this one has no link to.
   *
   * @param member - Its address, and what is thought of it.
   * @returns Whether it answered.
   */
  public async introduce(member: Pick<MemberRecord, 'id' | 'address'>): Promise<boolean> {
    const { members, gossip } = this.services;
    const known = members.get(member.id);
    const records = known ? [members.self, known] : [members.self];
    try {
      await this.asker.ask(member.address, async (client, signal) => {
        await client.beat.mutate({ records, beat: gossip.beat() }, { signal });
        const reply = await client.sync.mutate({ buckets: members.buckets() }, { signal });
        gossip.receive(reply.records, member.id);
      });
      return true;
    } catch {
      return false;
    }
  }

  public dispose(): void {
    for (const { end } of this.links.values()) end.abort();
  }

  private reconcile(): void {
    const { members } = this.services;
    const now = this.clock.now();
    const live = members.live();
    const fit = live.filter(
      ({ id, health }) => health === 'alive' && now >= (this.unreachable.get(id)?.until ?? 0),
    );
    const wanted = this.rings.successors(members.self, fit);
    for (const [id, { end }] of this.links) if (!wanted.has(id)) this.replace(id, end);
    for (const member of wanted.values()) if (!this.links.has(member.id)) this.open(member);
    this.rings.prune(new Set(live.map(({ id }) => id)));
  }

  /** The link goes once its task has ended, and is seen here until then. */
  private replace(peer: DaemonId, end: AbortController): void {
    if (end.signal.aborted) return;
    const { gossip, logger } = this.services;
    gossip.meter.add('linksReplaced');
    logger.log('Ends a link.', { peer, reason: 'no successor any more' });
    end.abort();
  }

  private open(member: MemberRecord): void {
    this.services.gossip.meter.add('linksOpened');
    const opened: OpenLink = {
      link: new PeerLink(member, this.services),
      end: new AbortController(),
    };
    this.links.set(member.id, opened);
    void this.keep(member, opened);
  }

  /** Runs one link to its end and finds out what its failure means. */
  private async keep(member: MemberRecord, { link, end }: OpenLink): Promise<void> {
    const opened = this.clock.now();
    try {
      await link.run(end.signal);
      this.unreachable.delete(member.id);
    } catch (error) {
      if (end.signal.aborted) return;
      this.services.gossip.meter.add('linksLost');
      this.services.logger.log('Lost a peer.', {
        peer: member.id,
        reason: (error as Error).message,
        lastedMs: Math.round(this.clock.now() - opened),
        stage: link.stage,
      });
      this.services.fetchSlot.free();
      this.setAside(member.id, this.clock.now() - opened);
      await this.dials.add(() => this.investigate(member));
    } finally {
      this.links.delete(member.id);
      for (const other of this.links.values()) other.link.wake();
    }
  }

  private setAside(id: DaemonId, lastedMs: number): void {
    const before = lastedMs > REDIAL.capMs ? 0 : (this.unreachable.get(id)?.failures ?? 0);
    const failures = before + 1;
    const until = this.clock.now() + jitteredBackoff(REDIAL, failures, this.random);
    this.unreachable.set(id, { failures, until });
  }

  /** Suspects a member only when a new connection and other daemons can't reach it either. */
  private async investigate(member: MemberRecord): Promise<void> {
    if (await this.asker.reach(member.id, member.address)) return;
    const helpers = this.helpers(member.id);
    const question = { id: member.id, address: member.address };
    const found = await Promise.all(
      helpers.map(async ({ address }) => {
        try {
          return await this.asker.ask(address, (client, signal) =>
            client.probe.mutate(question, { signal }),
          );
        } catch {
          return false;
        }
      }),
    );
    if (found.includes(true)) return;
    this.services.logger.log('Suspects a member.', { member: member.id, asked: helpers.length });
    this.services.members.suspect(member.id);
  }

  private helpers(except: DaemonId): MemberRecord[] {
    const { members } = this.services;
    const pool = members
      .live()
      .filter(({ id, health }) => health === 'alive' && id !== except && id !== members.self.id);
    return pickRandom(pool, INDIRECT_PROBES, this.random);
  }
}
