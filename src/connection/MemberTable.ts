import Emitter from '../common/Emitter';
import rendezvousWeight from '../common/rendezvousWeight';
import type {
  Clock,
  DaemonId,
  Disposable,
  Incarnation,
  ServiceName,
  ZoneName,
} from '../common/Types';
import type { Upstream, UpstreamDirectory } from '../request/Types';
import mergeWithdrawals from './mergeWithdrawals';
import type { MemberHealth, MemberRecord, Membership, Withdrawal } from './Types';

/**
 * Number of buckets of the member table; peers compare the digests of the buckets to find the
 * records in which their tables differ.
 */
const BUCKET_COUNT = 32;
/** Modulus of the bucket digests; the sum of two of them is exact in a double. */
const DIGEST_MODULUS = 2 ** 48;
const SWEEP_INTERVAL_MS = 500;
/**
 * Precedence of each health. Of two records of a member with the same incarnation and sequence, the
 * one with the higher precedence is the newer.
 */
const HEALTH_PRECEDENCE: Readonly<Record<MemberHealth, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Timeouts of the member table, in milliseconds. */
export interface MemberTableOptions {
  /** Time that a suspect has to refute the suspicion before it is declared dead. */
  readonly suspicionMs: number;
  /** How long dead and gone members are kept as tombstones, so that stale records can't revive them. */
  readonly tombstoneMs: number;
  /**
   * Time after which suspects are declared dead if a network partition is a likelier cause than
   * their failure.
   */
  readonly partitionTimeoutMs: number;
}

/** Fields of its own record that a daemon can change. */
export type SelfUpdate = Partial<
  Pick<
    MemberRecord,
    'service' | 'state' | 'healthHint' | 'slots' | 'version' | 'readsLog' | 'withdrawals'
  >
>;

interface MemberEntry {
  record: MemberRecord;
  /** Hash of the record, a summand of the digest of its bucket. */
  readonly hash: number;
  readonly bucket: number;
  /** Monotonic time in ms of the last change of the member's health or upstream state. */
  changedAt: number;
  /**
   * Monotonic time in ms since which the member's upstream has been serving, in the daemon's current
   * incarnation.
   */
  servingSince: number;
}

/** Whether record `a` is newer than record `b` of the same member. */
function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.sequence !== b.sequence) return a.sequence > b.sequence;
  return HEALTH_PRECEDENCE[a.health] > HEALTH_PRECEDENCE[b.health];
}

function isLive({ health, state }: MemberRecord): boolean {
  return health !== 'dead' && state !== 'gone';
}

function recordHash({ id, incarnation, sequence, health }: MemberRecord): number {
  return rendezvousWeight(id, `${incarnation}.${sequence}.${health}`);
}

/**
 * SWIM-style membership table. Only a daemon itself changes its record; other daemons can only mark
 * it as suspect or dead, which it refutes by raising its sequence number.
 *
 * @see {@link https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf}
 */
export default class MemberTable implements Membership, UpstreamDirectory, Disposable {
  private readonly entries = new Map<DaemonId, MemberEntry>();

  /** Digest of each bucket: the sum of the hashes of its records, modulo `DIGEST_MODULUS`. */
  private readonly bucketSums = new Array<number>(BUCKET_COUNT).fill(0);

  private readonly upstreamCache = new Map<ServiceName, readonly Upstream[]>();

  private readonly changeEmitter = new Emitter<readonly MemberRecord[]>();

  private readonly recallEmitter = new Emitter<readonly Withdrawal[]>();

  private readonly sweepTimer: NodeJS.Timeout;

  public readonly onChange = this.changeEmitter.event;

  public readonly onRecall = this.recallEmitter.event;

  /**
   * @param own - Initial record of this daemon.
   * @param options - Timeouts.
   * @param clock - Monotonic clock.
   */
  public constructor(
    own: MemberRecord,
    private readonly options: MemberTableOptions,
    private readonly clock: Clock,
  ) {
    this.ownId = own.id;
    this.drawnIncarnation = own.incarnation;
    this.store(own);
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    this.sweepTimer.unref();
  }

  private readonly ownId: DaemonId;

  /** Incarnation that this process drew at its start. */
  private readonly drawnIncarnation: Incarnation;

  public get self(): MemberRecord {
    return this.entries.get(this.ownId)!.record;
  }

  public get(id: DaemonId): MemberRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** All records, including those of dead and gone members. */
  public all(): readonly MemberRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  public live(): readonly MemberRecord[] {
    return this.all().filter(isLive);
  }

  /** @param own - Changed fields of this daemon's record. */
  public updateSelf(own: SelfUpdate): void {
    const { self } = this;
    this.store({ ...self, ...own, sequence: self.sequence + 1 });
    this.changeEmitter.fire([this.self]);
  }

  public merge(records: readonly MemberRecord[]): readonly MemberRecord[] {
    const updated = records.filter((record) => this.applyRecord(record));
    const changed = updated.map(({ id }) => this.get(id)!);
    if (changed.length > 0) this.changeEmitter.fire(changed);
    return changed;
  }

  public suspect(id: DaemonId): void {
    const record = this.get(id);
    if (id === this.ownId || record?.health !== 'alive') return;
    this.merge([{ ...record, health: 'suspect' }]);
  }

  public digest(): string {
    const sum = this.bucketSums.reduce((total, bucket) => (total + bucket) % DIGEST_MODULUS, 0);
    return sum.toString(36);
  }

  public buckets(): readonly string[] {
    return this.bucketSums.map((sum) => sum.toString(36));
  }

  public bucketRecords(buckets: readonly number[]): readonly MemberRecord[] {
    const bucketSet = new Set(buckets);
    return [...this.entries.values()]
      .filter(({ bucket }) => bucketSet.has(bucket))
      .map(({ record }) => record);
  }

  public upstreams(service: ServiceName): readonly Upstream[] {
    let list = this.upstreamCache.get(service);
    if (!list) {
      list = this.buildUpstreams(service);
      this.upstreamCache.set(service, list);
    }
    return list;
  }

  /**
   * Whether at least half of a zone is suspect, and at least two members of it: a network partition
   * is then likelier than independent failures.
   *
   * @param zone - Zone to check; this daemon itself is not counted.
   */
  public isLikelyPartitioned(zone: ZoneName): boolean {
    const members = this.live().filter(
      (record) => record.zone === zone && record.id !== this.ownId,
    );
    const suspects = members.filter(({ health }) => health === 'suspect').length;
    return suspects >= 2 && suspects * 2 >= members.length;
  }

  public dispose(): void {
    clearInterval(this.sweepTimer);
    this.changeEmitter.dispose();
    this.recallEmitter.dispose();
  }

  /** Declares suspects dead after their timeout and removes expired tombstones. */
  public sweep(): void {
    const now = this.clock.now();
    const dead: MemberRecord[] = [];
    for (const [id, { record, changedAt }] of this.entries) {
      const age = now - changedAt;
      if (id === this.ownId) continue;
      if (!isLive(record)) {
        if (age > this.options.tombstoneMs) this.remove(id);
      } else if (record.health === 'suspect' && age > this.options.suspicionMs) {
        const partitionTimeoutMs = this.isLikelyPartitioned(record.zone)
          ? this.options.partitionTimeoutMs
          : 0;
        if (age > partitionTimeoutMs) dead.push({ ...record, health: 'dead' });
      }
    }
    if (dead.length > 0) this.merge(dead);
  }

  private applyRecord(record: MemberRecord): boolean {
    if (record.id === this.ownId) {
      // Withdrawals bind every later process of this daemon, whichever record is the newer.
      if (record.withdrawals) this.recallEmitter.fire(record.withdrawals);
      return this.refute(record);
    }
    const known = this.get(record.id);
    if (known && !supersedes(record, known)) return false;
    if (!known && !isLive(record)) return false;
    // A restarted daemon doesn't know what it acknowledged before until a peer tells it.
    const withdrawals = mergeWithdrawals(record.withdrawals, known?.withdrawals);
    this.store(withdrawals === record.withdrawals ? record : { ...record, withdrawals });
    return true;
  }

  /**
   * If a newer record of this daemon was received from a peer, overrides it by raising the sequence
   * or incarnation of this daemon's own record. The incarnation rises by the number drawn at the start, so
   * that two processes that hear of the same record don't take the same one.
   */
  private refute(record: MemberRecord): boolean {
    const { self } = this;
    if (!supersedes(record, self)) return false;
    const isNewerIncarnation = record.incarnation > self.incarnation;
    this.store({
      ...self,
      incarnation: isNewerIncarnation
        ? ((record.incarnation + this.drawnIncarnation) as Incarnation)
        : self.incarnation,
      sequence: (isNewerIncarnation ? 0 : record.sequence) + 1,
    });
    return true;
  }

  private store(record: MemberRecord): void {
    const previous = this.entries.get(record.id);
    const now = this.clock.now();
    const bucket = previous?.bucket ?? rendezvousWeight('bucket', record.id) % BUCKET_COUNT;
    const hash = recordHash(record);
    const sameState =
      previous?.record.state === record.state && previous.record.health === record.health;
    const stillServing =
      previous?.record.state === 'serving' && previous.record.incarnation === record.incarnation;
    this.addToBucketSum(bucket, hash - (previous?.hash ?? 0));
    this.entries.set(record.id, {
      record,
      hash,
      bucket,
      changedAt: sameState ? previous.changedAt : now,
      servingSince: stillServing ? previous.servingSince : now,
    });
    this.invalidateUpstreams(previous?.record, record);
  }

  private remove(id: DaemonId): void {
    const { bucket, hash, record } = this.entries.get(id)!;
    this.addToBucketSum(bucket, -hash);
    this.entries.delete(id);
    this.invalidateUpstreams(record);
  }

  private addToBucketSum(bucket: number, hash: number): void {
    this.bucketSums[bucket] = (this.bucketSums[bucket]! + hash + DIGEST_MODULUS) % DIGEST_MODULUS;
  }

  private invalidateUpstreams(...records: readonly (MemberRecord | undefined)[]): void {
    for (const record of records) if (record?.service) this.upstreamCache.delete(record.service);
  }

  private buildUpstreams(service: ServiceName): readonly Upstream[] {
    return [...this.entries.values()]
      .filter(
        ({ record }) => record.service === service && isLive(record) && record.state === 'serving',
      )
      .map(({ record, servingSince }) => ({
        service,
        daemon: record.id,
        incarnation: record.incarnation,
        address: record.address,
        zone: record.zone,
        suspect: record.health === 'suspect',
        healthHint: record.healthHint,
        servingSince,
        slots: record.slots ?? undefined,
        version: record.version,
      }));
  }
}
