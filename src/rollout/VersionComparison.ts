import {
  addCounts,
  BROKEN,
  countFrom,
  emptyCounts,
  FAILED,
  FIRST_BUCKET,
  medianBucket,
  totalOf,
} from './counts';
import type { Counts, EvidenceWindow, Finding } from './Types';

/**
 * Log-likelihood ratio at which a version counts as bad. Windows of six lengths are tested again each
 * quarter of a second; 8 keeps wrong alarms below 1 % in the replay beside this file.
 */
const BAD_RATIO = 8;
/** Ratio from which a version is suspected, so that its share doesn't grow. */
const SUSPECT_RATIO = 2.2;
/**
 * Ratio below which a version counts as good; by Wald, one in seven bad versions gets there, which
 * growth then finds.
 */
const GOOD_RATIO = -2;
/**
 * Ratios of a single route above which a version doesn't count as good yet: after a failure, until some ten
 * responses are fine; after two slow responses.
 */
const MAX_ROUTE_RATIOS = { failed: 0.3, slow: 1.6 };
/** Fewest bad responses that make a version bad. */
const MIN_BAD = 4;
/** Lowest assumed share of failures of a good version. */
const MIN_FAILURE_SHARE = 0.03;
/** Difference of the share of failures between a bad version and a good one; half of the calls fail. */
const FAILURE_DIFFERENCE = 0.3;
/** Lowest assumed share of slow responses of a good version. */
const MIN_SLOW_SHARE = 0.1;
/** Difference of the share of slow responses between a bad version and a good one. */
const SLOW_DIFFERENCE = 0.35;
/** Highest share that a test assumes of a bad version. */
const MAX_SHARE = 0.97;
/**
 * Number of buckets above the old version's median from which a response is slow: durations from 4 to 5.7
 * times the median. A good version that starts cold takes twice as long, a bad one eight times.
 */
const SLOW_BUCKETS = 5;
/**
 * Weight of a broken or missing response. The crash of one upstream breaks all calls that run there; several
 * broken responses are thus less evidence than as many failures.
 */
const BROKEN_WEIGHT = 0.5;
/** Fewest responses of the old version in a window that stand for it; else its whole history does. */
const MIN_OLD_RESPONSES = 10;
const ALL_ROUTES = 'all routes';

/** Number of bad responses among all, on both sides. */
interface Sample {
  readonly bad: number;
  readonly total: number;
  readonly oldBad: number;
  readonly oldTotal: number;
}

/** Upper estimate of a share among few responses. */
function upperShare(bad: number, total: number): number {
  const share = (bad + 1) / (total + 2);
  return share + Math.sqrt((share * (1 - share)) / (total + 2));
}

function logRatio(bad: number, total: number, good: number, difference: number): number {
  const low = Math.min(good, MAX_SHARE - 0.1);
  const high = Math.min(MAX_SHARE, low + difference);
  return bad * Math.log(high / low) + (total - bad) * Math.log((1 - high) / (1 - low));
}

/** Bucket from which a response counts as slow, from the old version's durations in a window or before. */
function slowBucket(old: Counts, oldEver: Counts): number | undefined {
  const ever = medianBucket(oldEver);
  if (ever === undefined) return undefined;
  const hasEnough = countFrom(old, FIRST_BUCKET) >= MIN_OLD_RESPONSES;
  return Math.max(ever, hasEnough ? medianBucket(old)! : ever) + SLOW_BUCKETS;
}

/** The samples of each route, then those of all routes together. */
function* samplesOf(
  window: EvidenceWindow,
  ever: EvidenceWindow,
): Generator<['failed' | 'slow', string, Sample]> {
  const sums = {
    failed: { bad: 0, total: 0, oldBad: 0, oldTotal: 0 },
    slow: { bad: 0, total: 0, oldBad: 0, oldTotal: 0 },
  };
  for (const [route, { old: windowOld, target }] of window) {
    const total = totalOf(target);
    const oldEver = ever.get(route)?.old ?? emptyCounts();
    const old = totalOf(windowOld) >= MIN_OLD_RESPONSES ? windowOld : oldEver;
    const failed = {
      bad: target[FAILED]! + BROKEN_WEIGHT * target[BROKEN]!,
      total,
      oldBad: old[FAILED]! + BROKEN_WEIGHT * old[BROKEN]!,
      oldTotal: totalOf(old),
    };
    const found: ['failed' | 'slow', Sample][] = [['failed', failed]];
    const slow = slowBucket(windowOld, oldEver);
    if (slow !== undefined) {
      const sample = {
        bad: countFrom(target, slow),
        total: countFrom(target, FIRST_BUCKET),
        oldBad: countFrom(old, slow),
        oldTotal: countFrom(old, FIRST_BUCKET),
      };
      found.push(['slow', sample]);
    }
    for (const [kind, sample] of found) {
      const sum = sums[kind];
      sum.bad += sample.bad;
      sum.total += sample.total;
      sum.oldBad += sample.oldBad;
      sum.oldTotal += sample.oldTotal;
      if (total > 0) yield [kind, `route ${route}`, sample];
    }
  }
  yield ['failed', ALL_ROUTES, sums.failed];
  yield ['slow', ALL_ROUTES, sums.slow];
}

/**
 * Compares the responses of a service's target version with those of the other versions on the same routes
 * at the same time.
 *
 * Designed for versions of which half of the responses fail or all take eight times as long: at once, after
 * some seconds, under load or on one route; beside good ones whose first three seconds take twice as long,
 * whose upstreams differ in speed by a factor of three, or that replace a version which degrades. A
 * sequential probability ratio test (Wald 1945) runs over each route and over all routes together, for
 * failures and for slow responses. Testing windows of several lengths that end now, rather than only
 * everything since the start, finds a change as a CUSUM test does (Page 1954).
 */
export default class VersionComparison {
  /** @param badRatio - Log-likelihood ratio at which a version counts as bad. */
  public constructor(private readonly badRatio = BAD_RATIO) {}

  /**
   * @param windows - Counts of spans of time that end now, the longest one last.
   * @returns Whether the target version is good or bad, with the evidence.
   */
  public compare(windows: readonly EvidenceWindow[]): Finding {
    const ever = windows.at(-1);
    if (!ever) return { outcome: 'unknown', reason: 'no evidence' };
    let worst = -Infinity;
    let reason = '';
    for (const window of windows) {
      for (const [kind, name, sample] of samplesOf(window, ever)) {
        const ratio = VersionComparison.ratio(kind, sample);
        if (ratio > worst) {
          worst = ratio;
          const { bad, total, oldBad, oldTotal } = sample;
          reason = `${kind} on ${name}: ${bad} of ${total}, old version ${oldBad} of ${oldTotal}`;
        }
        if (ratio >= this.badRatio && sample.bad >= MIN_BAD) return { outcome: 'bad', reason };
      }
    }
    if (worst >= SUSPECT_RATIO) return { outcome: 'suspect', reason };
    let total = 0;
    let isGood = true;
    for (const [kind, name, sample] of samplesOf(ever, ever)) {
      const ratio = VersionComparison.ratio(kind, sample);
      if (ratio > (name === ALL_ROUTES ? GOOD_RATIO : MAX_ROUTE_RATIOS[kind])) isGood = false;
      if (name === ALL_ROUTES) total = Math.max(total, sample.total);
    }
    return { outcome: isGood ? 'good' : 'unknown', reason: `${total} responses, ${reason}` };
  }

  private static ratio(kind: 'failed' | 'slow', sample: Sample): number {
    const { bad, total, oldBad, oldTotal } = sample;
    const old = upperShare(oldBad, oldTotal);
    return kind === 'failed'
      ? logRatio(bad, total, Math.max(MIN_FAILURE_SHARE, old), FAILURE_DIFFERENCE)
      : logRatio(bad, total, Math.max(MIN_SLOW_SHARE, old), SLOW_DIFFERENCE);
  }
}

/**
 * @param window - Counts by route.
 * @returns Counts of all routes together.
 */
export function sumRoutes(window: EvidenceWindow): { old: number[]; target: number[] } {
  const sum = { old: emptyCounts(), target: emptyCounts() };
  for (const { old, target } of window.values()) {
    sum.old = addCounts(sum.old, old);
    sum.target = addCounts(sum.target, target);
  }
  return sum;
}
