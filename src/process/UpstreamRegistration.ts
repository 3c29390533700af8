import { Pool } from 'undici';
import { z } from 'zod';
import type { Address, Clock, Disposable, Logger, ServiceName } from '../common/Types';
import type MemberTable from '../connection/MemberTable';
import type { UpstreamState } from '../connection/Types';
import type AttemptRegistry from '../request/AttemptRegistry';
import LocalUpstream from '../request/LocalUpstream';
import type { LocalService } from '../request/PeerCallHandler';
import type { CurrentVersion, Service } from '../version/Types';
import type { UpstreamStatus } from './Types';

const SWEEP_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 60_000;

/** What an upstream says of itself, again and again. */
export const announcementSchema = z.strictObject({
  service: z
    .string()
    .min(1)
    .transform((value) => value as ServiceName),
  address: z
    .string()
    .min(1)
    .transform((value) => value as Address),
  state: z.enum(['warming', 'serving', 'draining']),
  healthy: z.boolean().default(true),
});

/** A validated announcement. */
export type Announcement = z.output<typeof announcementSchema>;

interface Registered {
  announcement: Announcement;
  /** Present once the service is declared by the configuration in force. */
  upstream: LocalUpstream | undefined;
  renewedAt: number;
}

/** Keeps the upstream beside this daemon while it renews its lease, and tells the members of it. */
export default class UpstreamRegistration implements Disposable {
  private registered: Registered | undefined;

  private retired: LocalUpstream[] = [];

  private stopping = false;

  private readonly sweeper: NodeJS.Timeout;

  private readonly subscription: Disposable;

  /**
   * @param members - Tells other daemons.
   * @param versions - Declares the service and its limits.
   * @param attempts - Judges attempts.
   * @param leaseMs - How long an announcement holds.
   * @param clock - Source of time.
   * @param logger - Log of this part.
   */
  public constructor(
    private readonly members: MemberTable,
    private readonly versions: CurrentVersion,
    private readonly attempts: AttemptRegistry,
    private readonly leaseMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.subscription = versions.onSwap(() => this.refresh());
    this.sweeper = setInterval(() => this.expire(), SWEEP_MS);
    this.sweeper.unref();
  }

  /** The upstream, while it takes new work. */
  public get local(): LocalService | undefined {
    const { registered } = this;
    if (this.stopping || registered?.announcement.state !== 'serving' || !registered.upstream) {
      return undefined;
    }
    return { service: registered.announcement.service, upstream: registered.upstream };
  }

  /** State of the upstream, for the dump. */
  public get status(): UpstreamStatus | null {
    if (!this.registered) return null;
    const { announcement, upstream } = this.registered;
    const { service, address, state } = announcement;
    return { service, address, state, ...(upstream?.counts ?? { running: 0, waiting: 0 }) };
  }

  /** Calls at the upstream, in parts of its slots. */
  public get load(): number {
    return this.registered?.upstream?.load ?? 0;
  }

  /**
   * Renews the lease of the upstream.
   *
   * @param announcement - What the upstream says.
   * @returns Resolves at once, but for an upstream that drains only once nothing is under way at it,
   * so that it can end safely.
   */
  public async announce(announcement: Announcement): Promise<void> {
    const before = this.registered?.announcement;
    const restarted = before?.state === 'draining' && announcement.state !== 'draining';
    if (restarted || before?.address !== announcement.address) this.retire();
    if (this.registered) {
      this.registered.announcement = announcement;
      this.registered.renewedAt = this.clock.now();
    } else {
      this.registered = { announcement, upstream: undefined, renewedAt: this.clock.now() };
      this.logger.log('An upstream announced itself.', {
        service: announcement.service,
        address: announcement.address,
      });
    }
    this.refresh();
    if (announcement.state === 'draining') await this.registered.upstream?.drain();
  }

  /** Takes no new work from now on; resolves once what runs has ended. */
  public async drain(): Promise<void> {
    this.stopping = true;
    this.publish();
    const upstreams = [this.registered?.upstream, ...this.retired];
    await Promise.all(upstreams.map((upstream) => upstream?.drain()));
  }

  public dispose(): void {
    clearInterval(this.sweeper);
    this.subscription.dispose();
    this.registered?.upstream?.dispose();
    for (const upstream of this.retired) upstream.dispose();
  }

  /** Brings the upstream's limits in line with the configuration in force. */
  private refresh(): void {
    const { registered } = this;
    if (!registered) return;
    const { service, address } = registered.announcement;
    const declared = this.versions.snapshot?.configuration.services.get(service);
    if (declared && registered.upstream) registered.upstream.setLimits(declared);
    if (declared && !registered.upstream) registered.upstream = this.connect(declared, address);
    this.publish();
  }

  private connect(service: Service, address: Address): LocalUpstream {
    const pool = new Pool(`http://${address}`, {
      connections: service.connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    return new LocalUpstream(service, address, pool, this.attempts, this.clock);
  }

  private expire(): void {
    const { registered } = this;
    if (!registered || this.clock.now() - registered.renewedAt <= this.leaseMs) return;
    this.logger.log('The lease of the upstream lapsed.', {
      service: registered.announcement.service,
    });
    this.retire();
    this.publish();
  }

  /** Lets an upstream finish what it runs. */
  private retire(): void {
    const upstream = this.registered?.upstream;
    this.registered = undefined;
    if (!upstream) return;
    this.retired.push(upstream);
    void upstream.drain().then(() => {
      upstream.dispose();
      this.retired = this.retired.filter((other) => other !== upstream);
    });
  }

  private publish(): void {
    const { self } = this.members;
    const { service, state, healthy } = this.registered?.announcement ?? {
      service: null,
      state: 'none' as const,
      healthy: true,
    };
    const shown = this.shownState(state);
    if (self.service === service && self.state === shown && self.healthHint === healthy) return;
    this.members.updateSelf({ service, state: shown, healthHint: healthy });
  }

  /** A service that no configuration declares here yet isn't offered to other daemons. */
  private shownState(state: UpstreamState): UpstreamState {
    if (this.stopping && state !== 'none') return 'draining';
    return state === 'serving' && !this.registered?.upstream ? 'warming' : state;
  }
}
