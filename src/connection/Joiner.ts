import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import sleep from '../common/sleep';
import type { Address, Clock, DaemonId, Disposable, Logger, Random } from '../common/Types';
import LogError from './LogError';
import type Overlay from './Overlay';
import type { Contact, ContactStore, Membership } from './Types';
import ZoneRank from './ZoneRank';

const CONTACTS_TRIED = 4;
const ANNOUNCERS_PER_ZONE = 2;
const CHECK_MS = 2_000;
const ALONE: Backoff = { baseMs: 300, capMs: 10_000 };

/** Where first contacts come from. */
export interface JoinerOptions {
  /** Addresses from the settings. */
  readonly seeds: () => readonly Address[];
  /** How often the joins are written anew, in ms, so that the log always keeps some. */
  readonly refreshMs: number;
}

/**
 * Finds the first peers, by the settings or by the log's stream of joins, and keeps a few joins of
 * each zone in that stream. Once there is contact, gossip alone does the rest.
 */
export default class Joiner implements Disposable {
  private readonly rank: ZoneRank;

  private refreshedAt: number | undefined;

  public constructor(
    private readonly store: ContactStore,
    private readonly members: Membership,
    private readonly overlay: Overlay,
    private readonly options: JoinerOptions,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.rank = new ZoneRank(members, 'announcer');
  }

  /** @param signal - Ends the task. */
  public async run(signal: AbortSignal): Promise<void> {
    let alone = 0;
    while (!signal.aborted) {
      if (this.members.live().length > 1) {
        alone = 0;
        await sleep(jitteredPeriod(CHECK_MS, this.random), signal);
        await this.tryLog(() => this.refresh(signal));
        continue;
      }
      if (!(await this.contactSeeds())) await this.tryLog(() => this.contactByLog(signal));
      alone += 1;
      if (this.members.live().length === 1) {
        await sleep(jitteredBackoff(ALONE, alone, this.random), signal);
      }
    }
  }

  public dispose(): void {
    this.rank.dispose();
  }

  private async tryLog(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      this.logger.log('The contacts are out of reach.', { reason: error.message });
    }
  }

  private async contactSeeds(): Promise<boolean> {
    const others = this.options.seeds().filter((address) => address !== this.members.self.address);
    return this.contact(others.map((address) => ({ id: address as string as DaemonId, address })));
  }

  private async contactByLog(signal: AbortSignal): Promise<void> {
    const contacts = await this.store.contacts(signal);
    const reached = await this.contact(contacts);
    const announced = contacts.some(({ address }) => address === this.members.self.address);
    if (!reached && !announced) await this.announce();
  }

  /** Keeps a join of the first daemons of each zone in the log, and finds other islands by it. */
  private async refresh(signal: AbortSignal): Promise<void> {
    if (this.rank.value >= ANNOUNCERS_PER_ZONE) return;
    const now = this.clock.now();
    if (this.refreshedAt !== undefined && now - this.refreshedAt < this.options.refreshMs) return;
    const contacts = await this.store.contacts(signal);
    await this.contact(contacts.filter(({ id }) => !this.members.get(id)));
    await this.announce();
  }

  private async announce(): Promise<void> {
    const { id, address } = this.members.self;
    await this.store.announce({ id, address });
    this.refreshedAt = this.clock.now();
  }

  private async contact(contacts: readonly Contact[]): Promise<boolean> {
    const pool = contacts.filter(({ id, address }) => !this.isSelf(id, address));
    for (let tried = 0; tried < CONTACTS_TRIED && pool.length > 0; tried += 1) {
      const [contact] = pool.splice(this.random.below(pool.length), 1);
      if (await this.overlay.introduce(contact!)) return true;
    }
    return false;
  }

  private isSelf(id: DaemonId, address: Address): boolean {
    return id === this.members.self.id || address === this.members.self.address;
  }
}
