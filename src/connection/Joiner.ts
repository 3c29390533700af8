import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import anyTrue from '../common/anyTrue';
import Emitter from '../common/Emitter';
import pickRandom from '../common/pickRandom';
import sleep from '../common/sleep';
import type { Address, Clock, DaemonId, Disposable, Logger, Random } from '../common/Types';
import LogError from './LogError';
import type { Contact, ContactStore, Introducer, Membership } from './Types';
import MemberRank from './MemberRank';

const MAX_CONCURRENT_CONTACTS = 4;
/** Number of daemons in each zone that keep their contacts in the store. */
const ANNOUNCERS_PER_ZONE = 2;
const CHECK_INTERVAL_MS = 2_000;
/**
 * Longest random wait, in milliseconds, before a daemon that found no stored contact stores its own. Of
 * daemons that all start for the first time, the earliest store theirs and the others find them.
 */
const FIRST_CONTACT_SPREAD_MS = 1_000;
/** Backoff between attempts to join while this daemon has no live peers. */
const ISOLATED_BACKOFF: Backoff = { baseMs: 300, capMs: 10_000 };

/** Seed addresses, and how often this daemon renews its contact in the store. */
export interface JoinerOptions {
  /** Seed addresses from the settings. */
  readonly seeds: () => readonly Address[];
  /**
   * Interval in ms at which this daemon renews its contact in the store; shorter than the retention
   * time of the log, so that some contacts are always retained.
   */
  readonly refreshMs: number;
}

/**
 * Finds the first peers through seed addresses or the stored contacts, and keeps a few contacts of
 * each zone in the store. Further members are learned by gossip.
 */
export default class Joiner implements Disposable {
  private readonly rank: MemberRank;

  private readonly subscription: Disposable | undefined;

  private readonly lookEmitter = new Emitter<void>();

  /**
   * Fires when each contact of one look has answered or failed, and at least one of them or the store
   * has answered.
   */
  public readonly onLookEnd = this.lookEmitter.event;

  /** Whether seeds or stored contacts have named daemons besides this one. */
  private foundContacts = false;

  /** Monotonic time in ms at which this daemon's contact was last stored. */
  private announcedAt: number | undefined;

  /** Monotonic time in ms at which the stored contacts were last looked through. */
  private lookedAt: number | undefined;

  public constructor(
    private readonly store: ContactStore,
    private readonly members: Membership,
    private readonly introducer: Introducer,
    private readonly options: JoinerOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new MemberRank(members, 'announcer');
    this.subscription = store.onRestore?.(() => this.forgetAnnouncement());
  }

  /** Whether seeds or stored contacts name daemons besides this one. */
  public get hasContacts(): boolean {
    return this.foundContacts;
  }

  /** @param signal - Stops the task. */
  public async run(signal: AbortSignal): Promise<void> {
    let isolatedAttempts = 0;
    while (!signal.aborted) {
      if (this.members.live().length > 1) {
        isolatedAttempts = 0;
        await sleep(jitteredPeriod(CHECK_INTERVAL_MS, this.random), signal);
        await this.catchLogErrors(() => this.refreshAnnouncement(signal));
        continue;
      }
      if (!(await this.contactSeeds())) await this.catchLogErrors(() => this.contactStored(signal));
      isolatedAttempts += 1;
      if (this.members.live().length === 1) {
        await sleep(jitteredBackoff(ISOLATED_BACKOFF, isolatedAttempts, this.random), signal);
      }
    }
  }

  public dispose(): void {
    this.subscription?.dispose();
    this.rank.dispose();
    this.lookEmitter.dispose();
  }

  private async catchLogErrors(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      this.logger.log('Reading or writing contacts failed.', { reason: error.message });
    }
  }

  private async contactSeeds(): Promise<boolean> {
    const others = this.options.seeds().filter((address) => address !== this.members.self.address);
    if (others.length > 0) this.foundContacts = true;
    return this.introduceToSome(
      others.map((address) => ({ id: address as string as DaemonId, address })),
      false,
    );
  }

  private async contactStored(signal: AbortSignal): Promise<void> {
    let contacts = await this.store.contacts(signal);
    if (contacts.length === 0) {
      await sleep(this.random.below(FIRST_CONTACT_SPREAD_MS), signal);
      contacts = await this.store.contacts(signal);
    }
    if (contacts.some(({ id }) => id !== this.members.self.id)) this.foundContacts = true;
    const reached = await this.introduceToSome(contacts, true);
    const announced = contacts.some(({ address }) => address === this.members.self.address);
    if (!reached && !announced) await this.announce();
  }

  /**
   * Keeps this daemon's contact in the store if it is one of the announcers of its zone. Contacts stored
   * daemons that it doesn't know, so that separated groups of daemons merge; each group has a first
   * member that does so.
   */
  private async refreshAnnouncement(signal: AbortSignal): Promise<void> {
    const isAnnouncer = this.rank.value < ANNOUNCERS_PER_ZONE;
    const isStored = this.store.isDurable && this.announcedAt !== undefined;
    const announces = isAnnouncer && !isStored && this.isDue(this.announcedAt);
    const looks = this.store.isDurable ? this.rank.isFirstOfFleet : isAnnouncer;
    if (looks && this.isDue(this.lookedAt)) {
      const contacts = await this.store.contacts(signal);
      this.lookedAt = this.clock.now();
      const unknown = contacts.filter(({ id }) => !this.members.get(id));
      await this.introduceToSome(unknown, true);
    }
    if (announces) await this.announce();
  }

  /** Makes this daemon store its contact again, which the restored store may lack. */
  private forgetAnnouncement(): void {
    this.announcedAt = undefined;
    this.lookedAt = undefined;
  }

  private isDue(doneAt: number | undefined): boolean {
    return doneAt === undefined || this.clock.now() - doneAt >= this.options.refreshMs;
  }

  private async announce(): Promise<void> {
    const { id, address } = this.members.self;
    await this.store.announce({ id, address });
    this.announcedAt = this.clock.now();
  }

  /**
   * Contacts a few daemons concurrently, since each one that is gone takes a second to time out.
   *
   * @param contacts - Daemons to choose from.
   * @param hasRead - Whether the contacts were read from the store.
   * @returns Whether one of them was reached.
   */
  private introduceToSome(contacts: readonly Contact[], hasRead: boolean): Promise<boolean> {
    const pool = contacts.filter(({ id, address }) => !this.isSelf(id, address));
    const chosen = pickRandom(pool, MAX_CONCURRENT_CONTACTS, this.random);
    const introductions = chosen.map((contact) => this.introducer.introduce(contact));
    void Promise.all(introductions).then((results) => {
      if (hasRead || results.includes(true)) this.lookEmitter.fire();
    });
    return anyTrue(introductions);
  }

  private isSelf(id: DaemonId, address: Address): boolean {
    return id === this.members.self.id || address === this.members.self.address;
  }
}
