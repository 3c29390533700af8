import type { Clock, VersionNumber } from '../common/Types';
import type { KeyProof } from '../request/Types';
import type { Moment, VersionProof } from './Types';

/** Interval between two reads of a reader while keys are checked, in ms; such reads don't wait. */
export const PROOF_READ_INTERVAL_MS = 1_000;
/** Share of the revocation bound from which on a daemon reads for itself to get a younger proof. */
export const PROOF_READ_SHARE = 1 / 2;
/** Maximum number of proofs for versions that aren't in force yet; those of the newest versions are kept. */
const MAX_PENDING = 8;
/** Largest share by which a VM's clock may run slow; NTP changes the rate of a clock by up to 500 ppm. */
const MAX_CLOCK_ERROR = 0.001;

/** A proof as it is held: at a moment, no version newer than this one had been acknowledged. */
interface HeldProof {
  readonly version: VersionNumber;
  readonly askedAt: Moment;
}

/** What the age of the proof is compared with, and when it matters. */
export interface FreshnessOptions {
  /** Time in ms after its revocation for which a key may still be accepted. */
  readonly boundMs: number;
  /** Whether the version in force holds organisations, so that keys are checked. */
  readonly checksKeys: () => boolean;
}

/**
 * Holds the newest proof that the version in force was the newest a short time ago. A call with a key is
 * accepted only while this proof is younger than the bound, so that no daemon accepts a key for longer than
 * the bound after its removal was acknowledged, whatever it is cut off from and however long it was frozen.
 *
 * A proof (version X, asked at A) says that no version newer than X had been acknowledged at A, and is valid
 * for X and all newer versions. A version that removes a key and isn't in force was therefore acknowledged
 * after A. The age is never underestimated: it counts from the moment before a request was sent, and it is the
 * greater of the times that passed on the monotonic clock, which stops while a VM is suspended, and by the
 * time of day, which may be set back. A proof is never renewed; only a newer one replaces it.
 *
 * Designed for 62 to 1,500 daemons of which three read the store once a second, and for any of them that is
 * cut off, suspended, frozen or restarted. Holds at most nine entries.
 */
export default class FreshnessProof implements KeyProof {
  /** By ascending version; each is younger than those before it. */
  private held: readonly HeldProof[] = [];

  private peerProof = false;

  /**
   * @param inForce - Returns the version in force; null if there is none.
   * @param options - Bound, and whether the proof matters.
   * @param clock - Monotonic clock.
   * @param timeOfDay - Returns the time of day, in milliseconds since the epoch.
   */
  public constructor(
    private readonly inForce: () => VersionNumber | null,
    private readonly options: FreshnessOptions,
    private readonly clock: Clock,
    private readonly timeOfDay: () => number,
  ) {}

  public get boundMs(): number {
    return this.options.boundMs;
  }

  public get isFresh(): boolean {
    return this.ageMs <= this.options.boundMs * (1 - MAX_CLOCK_ERROR);
  }

  public get ageMs(): number {
    const { valid } = this;
    return valid ? this.since(valid.askedAt) : Infinity;
  }

  /** Proof for the version in force, to be sent in the reply to a peer; null if there is none. */
  public get current(): VersionProof | null {
    const { valid } = this;
    return valid ? { version: valid.version, ageMs: Math.ceil(this.since(valid.askedAt)) } : null;
  }

  /** @returns The current moment, to be noted before a request is sent whose response may be a proof. */
  public now(): Moment {
    return { monotonicMs: this.clock.now(), timeOfDayMs: this.timeOfDay() };
  }

  /**
   * @param share - Share of the bound.
   * @returns Whether keys are checked and the proof is older than this share of the bound.
   */
  public isOlderThan(share: number): boolean {
    return this.isNeeded && this.ageMs > this.boundMs * share;
  }

  /** Whether a peer has stated a proof that was younger than the bound. */
  public get hasPeerProof(): boolean {
    return this.peerProof;
  }

  /** Whether keys are checked, so that the proof has to be kept young. */
  public get isNeeded(): boolean {
    return this.options.checksKeys();
  }

  /**
   * @param version - Newest version that the store or the peer knew of.
   * @param askedAt - Moment before the request to the store or to the peer was sent.
   * @param ageMs - Age of the proof that the peer stated in its reply; 0 for the store.
   */
  public add(version: VersionNumber, askedAt: Moment, ageMs = 0): void {
    if (!(ageMs >= 0 && ageMs < Infinity)) return;
    const added = {
      version,
      askedAt: {
        monotonicMs: askedAt.monotonicMs - ageMs,
        timeOfDayMs: askedAt.timeOfDayMs - ageMs,
      },
    };
    const inForce = this.inForce() ?? -1;
    const candidates = [...this.held, added].sort(
      (a, b) => a.version - b.version || this.since(a.askedAt) - this.since(b.askedAt),
    );
    // A proof is of use only if it is younger than those for the same and for older versions.
    const useful: HeldProof[] = [];
    for (const proof of candidates) {
      const last = useful.at(-1);
      if (last && this.since(proof.askedAt) >= this.since(last.askedAt)) continue;
      // The youngest proof that is valid now replaces the older ones, as versions never go back.
      if (last && proof.version <= inForce) useful.pop();
      useful.push(proof);
    }
    const valid = useful.filter((proof) => proof.version <= inForce);
    const pending = useful.filter((proof) => proof.version > inForce);
    this.held = [...valid, ...pending.slice(-MAX_PENDING)];
  }

  /**
   * @param stated - Proof in the reply of a peer.
   * @param askedAt - Moment before the request to the peer was sent.
   */
  public addFromPeer({ version, ageMs }: VersionProof, askedAt: Moment): void {
    this.add(version, askedAt, ageMs);
    if (ageMs + this.since(askedAt) <= this.boundMs) this.peerProof = true;
  }

  /** The youngest proof for the version in force or an older one. */
  private get valid(): HeldProof | undefined {
    const inForce = this.inForce();
    if (inForce === null) return undefined;
    return this.held.findLast(({ version }) => version <= inForce);
  }

  private since({ monotonicMs, timeOfDayMs }: Moment): number {
    return Math.max(this.clock.now() - monotonicMs, this.timeOfDay() - timeOfDayMs);
  }
}
