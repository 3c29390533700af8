/**
 * Draws the faults of a soak from a seed, so that a soak that fails can be run again.
 *
 * @packageDocumentation
 */
import type { Random } from '../src/common/Types';

/** What happens to a daemon, or to the log or the configuration that all daemons share. */
export type FaultKind = 'stop' | 'kill' | 'pause' | 'signals' | 'log out' | 'publish';

/** One fault; faults of different daemons, and of what they share, overlap. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time from the start of the soak, in milliseconds. */
  readonly atMs: number;
  /** How long a daemon is away or paused after it has ended, or the log is out, in milliseconds. */
  readonly forMs: number;
  /** Index of the daemon. */
  readonly daemon: number;
}

/** Size of a soak. */
export interface SoakOptions {
  readonly daemons: number;
  readonly lengthMs: number;
  readonly faults: number;
}

/** Longest time for which a fault lasts, in milliseconds: some outlast the suspicion of the peers. */
const MAX_FAULT_MS = 3_500;
/** Kinds of faults; those that end a process come twice as often. */
const KINDS: readonly FaultKind[] = [
  'stop',
  'stop',
  'kill',
  'kill',
  'pause',
  'signals',
  'log out',
  'publish',
];

/**
 * @param random - Source of the faults.
 * @param options - Number of daemons and of faults, and length of the soak.
 * @returns The faults in the order of their times.
 */
export default function drawFaults(
  random: Random,
  { daemons, lengthMs, faults }: SoakOptions,
): readonly Fault[] {
  const drawn = Array.from({ length: faults }, () => ({
    kind: KINDS[random.below(KINDS.length)]!,
    atMs: random.below(lengthMs),
    forMs: random.below(MAX_FAULT_MS),
    daemon: random.below(daemons),
  }));
  return drawn.sort((a, b) => a.atMs - b.atMs);
}
