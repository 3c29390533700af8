import type { Clock, Logger } from '../common/Types';

/** Interval at which the statistics of the routes are logged and reset, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;
/** Maximum number of routes, and of results of a route, that are told apart in an interval. */
const MAX_KEYS = 32;
/** Key under which everything beyond the maximum number of keys is counted. */
const OTHER = 'other';

/** How one call went. */
export interface CallSample {
  readonly route: string | undefined;
  /** What became of the call: its outcome, or why it was refused or failed. */
  readonly result: string;
  /** Milliseconds by which it missed its latency objective; 0 or less if it met it. */
  readonly lateMs: number;
  /** Why a call that failed or was refused was not sent again; `undefined` for others. */
  readonly unretried?: string | undefined;
  /** Milliseconds that the call spent in each stage that it reached, by the name of the stage. */
  readonly stagesMs: Readonly<Record<string, number>>;
}

interface StageTotals {
  count: number;
  sumMs: number;
  maxMs: number;
}

interface RouteTotals {
  calls: number;
  late: number;
  readonly results: Map<string, number>;
  readonly unretried: Map<string, number>;
  readonly stages: Map<string, StageTotals>;
  /** The same of late calls alone, and how late they were. */
  readonly lateStages: Map<string, StageTotals>;
}

/** Returns a key if it is known or there is room for it, else the one for everything else. */
function boundedKey(known: ReadonlyMap<string, unknown>, key: string): string {
  return known.has(key) || known.size < MAX_KEYS ? key : OTHER;
}

/** Cuts the variable part off a reason, such as the names of daemons or an error of the system. */
function withoutDetails(reason: string): string {
  const end = reason.search(/ *[:(]/);
  return end < 0 ? reason : reason.slice(0, end);
}

function increment(counts: Map<string, number>, name: string): void {
  const key = boundedKey(counts, withoutDetails(name));
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function addTime(stages: Map<string, StageTotals>, name: string, ms: number): void {
  let stage = stages.get(name);
  if (!stage) {
    stage = { count: 0, sumMs: 0, maxMs: 0 };
    stages.set(name, stage);
  }
  stage.count += 1;
  stage.sumMs += ms;
  if (ms > stage.maxMs) stage.maxMs = ms;
}

function summarize(stages: ReadonlyMap<string, StageTotals>) {
  const entries = [...stages].map(
    ([name, { count, sumMs, maxMs }]) =>
      [name, { count, meanMs: Math.round(sumMs / count), maxMs: Math.round(maxMs) }] as const,
  );
  return Object.fromEntries(entries);
}

/**
 * Counts the calls of each route by result and measures the stages that they spent their time in. The
 * rate limit of log lines leaves out most calls of an overload; these counts are complete.
 */
export default class RouteStatistics {
  private readonly routes = new Map<string, RouteTotals>();

  private loggedAt: number;

  /**
   * @param message - Message of the log lines.
   * @param logger - Receives a line for each route and interval with calls. The line of an interval is
   * written with the first call after it.
   * @param clock - Monotonic clock.
   */
  public constructor(
    private readonly message: string,
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {
    this.loggedAt = clock.now();
  }

  /** @param sample - A call that has ended. */
  public record(sample: CallSample): void {
    if (this.clock.now() - this.loggedAt >= LOG_INTERVAL_MS) this.log();
    const route = boundedKey(this.routes, sample.route ?? 'none');
    let totals = this.routes.get(route);
    if (!totals) {
      totals = {
        calls: 0,
        late: 0,
        results: new Map(),
        unretried: new Map(),
        stages: new Map(),
        lateStages: new Map(),
      };
      this.routes.set(route, totals);
    }
    totals.calls += 1;
    increment(totals.results, sample.result);
    if (sample.unretried !== undefined) increment(totals.unretried, sample.unretried);
    const isLate = sample.lateMs > 0;
    if (isLate) {
      totals.late += 1;
      addTime(totals.lateStages, 'late', sample.lateMs);
    }
    for (const name of Object.keys(sample.stagesMs)) {
      const ms = sample.stagesMs[name]!;
      addTime(totals.stages, name, ms);
      if (isLate) addTime(totals.lateStages, name, ms);
    }
  }

  private log(): void {
    const now = this.clock.now();
    for (const [route, { calls, late, results, unretried, stages, lateStages }] of this.routes) {
      this.logger.log(this.message, {
        route,
        overMs: Math.round(now - this.loggedAt),
        calls,
        late,
        results: Object.fromEntries(results),
        ...(unretried.size > 0 && { unretried: Object.fromEntries(unretried) }),
        stages: summarize(stages),
        ...(late > 0 && { lateStages: summarize(lateStages) }),
      });
    }
    this.routes.clear();
    this.loggedAt = now;
  }
}
