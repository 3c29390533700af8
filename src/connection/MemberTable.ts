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
import type { MemberHealth, MemberRecord, Membership } from './Types';

const BUCKETS = 32;
const DIGEST_MODULUS = 2 ** 48;
const SWEEP_MS = 500;
const HEALTH_ORDER: Readonly<Record<MemberHealth, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Periods of the member table, in milliseconds. */
export interface MemberTableOptions {
  /** How long a suspect may refute before it counts as dead. */
  readonly suspicionMs: number;
  /** How long a dead or gone member is remembered, so that old news can't revive it. */
  readonly tombstoneMs: number;
  /** How long suspects are kept while a cut of the network is the likelier cause. */
  readonly cutMs: number;
}

/** The fields of a record that its daemon may change. */
export type OwnChange = Partial<
  Pick<MemberRecord, 'service' | 'state' | 'healthHint' | 'slots' | 'readsLog'>
>;

interface Entry {
  record: MemberRecord;
  readonly weight: number;
  readonly bucket: number;
  /** Monotonic time of the last change of health or state. */
  changedAt: number;
  servingSince: number;
}

/** Whether `a` is news to someone who knows `b`. */
function supersedes(a: MemberRecord, b: MemberRecord): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.sequence !== b.sequence) return a.sequence > b.sequence;
  return HEALTH_ORDER[a.health] > HEALTH_ORDER[b.health];
}

function isLive({ health, state }: MemberRecord): boolean {
  return health !== 'dead' && state !== 'gone';
}

function recordWeight({ id, incarnation, sequence, health }: MemberRecord): number {
  return rendezvousWeight(id, `${incarnation}.${sequence}.${health}`);
}

/**
 * Every daemon known. A daemon is the only author of its own record; others may only call it
 * suspect or dead, which it refutes by raising its sequence.
 *
 * @see {@link https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf}
 */
export default class MemberTable implements Membership, UpstreamDirectory, Disposable {
  private readonly entries = new Map<DaemonId, Entry>();

  private readonly sums = new Array<number>(BUCKETS).fill(0);

  private readonly byService = new Map<ServiceName, readonly Upstream[]>();

  private readonly change = new Emitter<readonly MemberRecord[]>();

  private readonly sweeper: NodeJS.Timeout;

  public readonly onChange = this.change.event;

  /**
   * @param own - This daemon's first record.
   * @param options - Periods.
   * @param clock - Source of time.
   */
  public constructor(
    own: MemberRecord,
    private readonly options: MemberTableOptions,
    private readonly clock: Clock,
  ) {
    this.ownId = own.id;
    this.put(own);
    this.sweeper = setInterval(() => this.sweep(), SWEEP_MS);
    this.sweeper.unref();
  }

  private readonly ownId: DaemonId;

  public get self(): MemberRecord {
    return this.entries.get(this.ownId)!.record;
  }

  public get(id: DaemonId): MemberRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** Every record kept, those of dead members included. */
  public all(): readonly MemberRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  public live(): readonly MemberRecord[] {
    return this.all().filter(isLive);
  }

  /** @param own - What changed about the upstream beside this daemon. */
  public updateSelf(own: OwnChange): void {
    const { self } = this;
    this.put({ ...self, ...own, sequence: self.sequence + 1 });
    this.change.fire([this.self]);
  }

  public merge(records: readonly MemberRecord[]): readonly MemberRecord[] {
    const news = records.filter((record) => this.take(record));
    const changed = news.map(({ id }) => this.get(id)!);
    if (changed.length > 0) this.change.fire(changed);
    return changed;
  }

  public suspect(id: DaemonId): void {
    const record = this.get(id);
    if (id === this.ownId || record?.health !== 'alive') return;
    this.merge([{ ...record, health: 'suspect' }]);
  }

  public digest(): string {
    const sum = this.sums.reduce((total, bucket) => (total + bucket) % DIGEST_MODULUS, 0);
    return sum.toString(36);
  }

  public buckets(): readonly string[] {
    return this.sums.map((sum) => sum.toString(36));
  }

  public bucketRecords(buckets: readonly number[]): readonly MemberRecord[] {
    const wanted = new Set(buckets);
    return [...this.entries.values()]
      .filter(({ bucket }) => wanted.has(bucket))
      .map(({ record }) => record);
  }

  public upstreams(service: ServiceName): readonly Upstream[] {
    let list = this.byService.get(service);
    if (!list) {
      list = this.buildUpstreams(service);
      this.byService.set(service, list);
    }
    return list;
  }

  /**
   * Whether so much of a zone is suspect at once that a cut is likelier than as many failures.
   *
   * @param zone - The zone.
   */
  public looksCut(zone: ZoneName): boolean {
    const members = this.live().filter(
      (record) => record.zone === zone && record.id !== this.ownId,
    );
    const suspects = members.filter(({ health }) => health === 'suspect').length;
    return suspects >= 2 && suspects * 2 >= members.length;
  }

  public dispose(): void {
    clearInterval(this.sweeper);
    this.change.dispose();
  }

  /** Declares suspects dead in time and forgets the dead. */
  public sweep(): void {
    const now = this.clock.now();
    const dead: MemberRecord[] = [];
    for (const [id, { record, changedAt }] of this.entries) {
      const age = now - changedAt;
      if (id === this.ownId) continue;
      if (!isLive(record)) {
        if (age > this.options.tombstoneMs) this.remove(id);
      } else if (record.health === 'suspect' && age > this.options.suspicionMs) {
        const allowance = this.looksCut(record.zone) ? this.options.cutMs : 0;
        if (age > allowance) dead.push({ ...record, health: 'dead' });
      }
    }
    if (dead.length > 0) this.merge(dead);
  }

  private take(record: MemberRecord): boolean {
    if (record.id === this.ownId) return this.refute(record);
    const known = this.get(record.id);
    if (known && !supersedes(record, known)) return false;
    if (!known && !isLive(record)) return false;
    this.put(record);
    return true;
  }

  /** Answers false news about this daemon with a newer record of its own. */
  private refute(record: MemberRecord): boolean {
    const { self } = this;
    if (!supersedes(record, self)) return false;
    const newer = record.incarnation > self.incarnation;
    this.put({
      ...self,
      incarnation: newer ? ((record.incarnation + 1) as Incarnation) : self.incarnation,
      sequence: (newer ? 0 : record.sequence) + 1,
    });
    return true;
  }

  private put(record: MemberRecord): void {
    const before = this.entries.get(record.id);
    const now = this.clock.now();
    const bucket = before?.bucket ?? rendezvousWeight('bucket', record.id) % BUCKETS;
    const weight = recordWeight(record);
    const sameState =
      before?.record.state === record.state && before.record.health === record.health;
    const stillServing =
      before?.record.state === 'serving' && before.record.incarnation === record.incarnation;
    this.addToSum(bucket, weight - (before?.weight ?? 0));
    this.entries.set(record.id, {
      record,
      weight,
      bucket,
      changedAt: sameState ? before.changedAt : now,
      servingSince: stillServing ? before.servingSince : now,
    });
    this.forgetUpstreams(before?.record, record);
  }

  private remove(id: DaemonId): void {
    const { bucket, weight, record } = this.entries.get(id)!;
    this.addToSum(bucket, -weight);
    this.entries.delete(id);
    this.forgetUpstreams(record);
  }

  private addToSum(bucket: number, weight: number): void {
    this.sums[bucket] = (this.sums[bucket]! + weight + DIGEST_MODULUS) % DIGEST_MODULUS;
  }

  private forgetUpstreams(...records: readonly (MemberRecord | undefined)[]): void {
    for (const record of records) if (record?.service) this.byService.delete(record.service);
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
      }));
  }
}
