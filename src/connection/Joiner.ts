import { jitteredBackoff, jitteredPeriod, type Backoff } from '../common/backoff';
import pickRandom from '../common/pickRandom';
import sleep from '../common/sleep';
import type { Address, Clock, DaemonId, Disposable, Logger, Random } from '../common/Types';
import LogError from './LogError';
import type { Contact, ContactStore, Introducer, Membership } from './Types';
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

/** Resolves to true with the first that does, else to false once all have ended. */
async function firstSuccess(attempts: readonly Promise<boolean>[]): Promise<boolean> {
  try {
    return await Promise.any(
      attempts.map(async (attempt) => {
        if (!(await attempt)) throw new Error('not reached');
        return true;
      }),
    );
  } catch {
    // None was reached; the caller tries again later.
    return false;
  }
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
    private readonly introducer: Introducer,
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

  /** Asks some contacts at once, as those that are gone answer nothing for a second each. */
  private contact(contacts: readonly Contact[]): Promise<boolean> {
    const pool = contacts.filter(({ id, address }) => !this.isSelf(id, address));
    const chosen = pickRandom(pool, CONTACTS_TRIED, this.random);
    return firstSuccess(chosen.map((contact) => this.introducer.introduce(contact)));
  }

  private isSelf(id: DaemonId, address: Address): boolean {
    return id === this.members.self.id || address === this.members.self.address;
  }
}
