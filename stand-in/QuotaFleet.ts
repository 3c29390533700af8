import type { DaemonId, Clock, OrganisationName, Random } from '../src/common/Types';
import CreditPool from '../src/request/CreditPool';
import QuotaClient, { type QuotaEvent } from '../src/request/QuotaClient';
import QuotaError from '../src/request/QuotaError';
import { rankOwners } from '../src/request/quotaPools';
import type { QuotaReply, QuotaRequest, QuotaTolerance } from '../src/request/Types';
import type { Organisation, Quota } from '../src/version/Types';
import ManualClock from './ManualClock';

const STEP_MS = 10;
const REQUEST_TIMEOUT_MS = 400;
/** Time after its start at which a daemon knows its peers, in milliseconds. */
const SETTLE_MS = 2_000;
/** Time after its start for which a daemon knows nobody else, in milliseconds. */
const ALONE_MS = 1_000;

/** A daemon of the simulated fleet. */
export interface QuotaDaemon {
  readonly id: DaemonId;
  client: QuotaClient;
  pools: Map<number, CreditPool>;
  session: number;
  startedAt: number;
  isFrozen: boolean;
  isDown: boolean;
}

/** Numbers of the calls of one simulation. */
export interface QuotaTally {
  /** Times at which calls ran, in milliseconds. */
  readonly runs: number[];
  readonly refusedAt: number[];
  /** Refusals for the quota; the others were for lack of contact. */
  over: number;
  readonly waitsMs: number[];
  /** Times at which refused callers were told to retry, by daemon. */
  readonly retryAt: Map<DaemonId, number[]>;
}

/** State of the network, and of the failure detection; may be changed at any time. */
export interface QuotaNetwork {
  /** Whether a message passes from one daemon to another. */
  passes: (from: DaemonId, to: DaemonId) => boolean;
  /** Whether a daemon considers another one to be alive. */
  alive: (viewer: QuotaDaemon, other: QuotaDaemon) => boolean;
  /** Share of the messages that are lost, in per cent. */
  lossPercent: number;
  maxDelayMs: number;
}

/** A network in which nothing fails. */
export const PERFECT_NETWORK: QuotaNetwork = {
  passes: () => true,
  alive: () => true,
  lossPercent: 0,
  maxDelayMs: 20,
};

interface Delivery {
  readonly at: number;
  readonly deliver: () => void;
}

/** A fleet of daemons with quotas, on a virtual clock, with a network that delays, loses and cuts. */
export default class QuotaFleet {
  public readonly clock = new ManualClock();

  public readonly daemons: QuotaDaemon[];

  public readonly tally: QuotaTally = {
    runs: [],
    refusedAt: [],
    over: 0,
    waitsMs: [],
    retryAt: new Map(),
  };

  public readonly events: QuotaEvent[] = [];

  public messages = 0;

  /** Quotas of organisations that have another than `quota`. */
  public readonly quotas = new Map<string, Quota>();

  /** Called for each exchange between two daemons. */
  public onExchange: ((request: QuotaRequest, reply: QuotaReply) => void) | undefined;

  public readonly network: QuotaNetwork = { ...PERFECT_NETWORK };

  private deliveries: Delivery[] = [];

  private sessions = 0;

  private readonly ranks = new Map<string, readonly DaemonId[]>();

  public constructor(
    count: number,
    public quota: Quota,
    private readonly random: Random,
    private readonly tolerance: QuotaTolerance = { windowMs: 5_000, over: 0.1, slack: 20 },
  ) {
    this.daemons = Array.from({ length: count }, (_, index) => {
      const daemon = { id: `d${index}` as DaemonId, isFrozen: false, isDown: false };
      return Object.assign(daemon, this.process(daemon.id, -SETTLE_MS));
    });
  }

  /** Restarts a daemon's process, which forgets everything. */
  public restart(daemon: QuotaDaemon): void {
    Object.assign(daemon, this.process(daemon.id, this.clock.now()), { isDown: false });
  }

  /** A caller sends a call to a daemon. */
  public call(daemon: QuotaDaemon, name: string, quota = this.quota): void {
    const sentAt = this.clock.now();
    const { tally } = this;
    const refuse = (error: unknown) => {
      tally.refusedAt.push(sentAt);
      if (error instanceof QuotaError) {
        tally.over += 1;
        const previous = tally.retryAt.get(daemon.id) ?? [];
        tally.retryAt.set(daemon.id, [...previous, this.clock.now() + error.retryAfterMs]);
      }
    };
    const run = () => {
      if (daemon.isDown) return;
      tally.runs.push(this.clock.now());
      tally.waitsMs.push(this.clock.now() - sentAt);
    };
    if (daemon.isDown || daemon.isFrozen) return;
    const organisation = { name: name as OrganisationName } as Organisation;
    try {
      const credit = daemon.client.take(organisation, quota);
      if (credit instanceof Promise) credit.then(run, refuse);
      else run();
    } catch (error) {
      refuse(error);
    }
  }

  /** Advances the clock by one step: delivers messages and lets the daemons poll. */
  public async step(): Promise<void> {
    this.clock.advance(STEP_MS);
    const now = this.clock.now();
    const due = this.deliveries.filter(({ at }) => at <= now);
    this.deliveries = this.deliveries.filter(({ at }) => at > now);
    for (const { deliver } of due) deliver();
    for (const daemon of this.daemons) {
      if (daemon.isDown || daemon.isFrozen || now % 50 !== 0) continue;
      daemon.client.poll();
      if (now % 1_000 === 0) for (const pool of daemon.pools.values()) pool.sweep();
    }
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
  }

  /** @returns The most calls that ran in any window, in parts of what is permitted. */
  public worstWindow({ rate, burst } = this.quota): number {
    const { windowMs, over, slack } = this.tolerance;
    const most = ((rate * windowMs) / 1_000 + burst) * (1 + over) + slack;
    const { runs } = this.tally;
    let first = 0;
    let worst = 0;
    runs.forEach((at, index) => {
      while (runs[first]! <= at - windowMs) first += 1;
      worst = Math.max(worst, index - first + 1);
    });
    return worst / most;
  }

  private process(id: DaemonId, startedAt: number) {
    this.sessions += 1;
    const session = this.sessions;
    const { clock } = this as { clock: Clock };
    const client: QuotaClient = new QuotaClient({
      clock,
      self: id,
      session,
      candidates: (pool) => {
        const viewer = this.daemons.find((daemon) => daemon.id === id)!;
        const isAlone = this.knownSince(startedAt) === 1;
        const alive = this.daemons.filter(
          (other) => other === viewer || (!isAlone && this.network.alive(viewer, other)),
        );
        return this.rank(
          pool,
          alive.map((other) => other.id),
        );
      },
      known: () => this.knownSince(startedAt),
      isSettled: () => clock.now() - startedAt >= SETTLE_MS,
      send: (owner, request) => this.send(client, owner, request),
      onEvent: (event) => this.events.push(event),
    });
    return { client, pools: new Map<number, CreditPool>(), session, startedAt };
  }

  private send(client: QuotaClient, owner: DaemonId, request: QuotaRequest): void {
    const sender = this.daemons.find(({ id }) => id === request.from)!;
    const target = this.daemons.find(({ id }) => id === owner)!;
    const receive = () => {
      if (target.isDown) return;
      const reply = this.poolOf(target, request.pool).handle(request);
      if (owner !== request.from) this.onExchange?.(request, reply);
      if (owner === request.from) client.receive(request, reply);
      else if (!this.isLost(owner, request.from)) {
        this.after(this.delay(), () => {
          if (sender.client === client && !sender.isFrozen) client.receive(request, reply);
        });
      }
    };
    if (owner === request.from) {
      receive();
      return;
    }
    this.messages += 1;
    this.after(REQUEST_TIMEOUT_MS, () => {
      if (sender.client === client && !sender.isDown) client.fail(request, false);
    });
    if (this.isLost(request.from, owner)) return;
    // A frozen process reads its messages when it continues.
    const arrive = () => {
      if (target.isFrozen) this.after(STEP_MS, arrive);
      else receive();
    };
    this.after(this.delay(), arrive);
  }

  private rank(pool: number, ids: readonly DaemonId[]): readonly DaemonId[] {
    const key = `${pool} ${ids.join()}`;
    const ranks = this.ranks.get(key) ?? rankOwners(pool, ids);
    this.ranks.set(key, ranks);
    return ranks;
  }

  private knownSince(startedAt: number): number {
    return this.clock.now() - startedAt < ALONE_MS ? 1 : this.daemons.length;
  }

  private poolOf(daemon: QuotaDaemon, pool: number): CreditPool {
    const created =
      daemon.pools.get(pool) ??
      new CreditPool({
        clock: this.clock,
        session: daemon.session,
        quotaOf: (name) => this.quotas.get(name) ?? this.quota,
        tolerance: () => this.tolerance,
        known: () => this.knownSince(daemon.startedAt),
      });
    daemon.pools.set(pool, created);
    return created;
  }

  private isLost(from: DaemonId, to: DaemonId): boolean {
    return !this.network.passes(from, to) || this.random.below(100) < this.network.lossPercent;
  }

  private delay(): number {
    return 1 + this.random.below(this.network.maxDelayMs);
  }

  private after(ms: number, deliver: () => void): void {
    this.deliveries.push({ at: this.clock.now() + ms, deliver });
  }
}
