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
  /** Whether it missed its latency objective. */
  readonly isLate: boolean;
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
  readonly stages: Map<string, StageTotals>;
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
      totals = { calls: 0, late: 0, results: new Map(), stages: new Map() };
      this.routes.set(route, totals);
    }
    totals.calls += 1;
    if (sample.isLate) totals.late += 1;
    const result = boundedKey(totals.results, withoutDetails(sample.result));
    totals.results.set(result, (totals.results.get(result) ?? 0) + 1);
    for (const name of Object.keys(sample.stagesMs)) {
      const ms = sample.stagesMs[name]!;
      let stage = totals.stages.get(name);
      if (!stage) {
        stage = { count: 0, sumMs: 0, maxMs: 0 };
        totals.stages.set(name, stage);
      }
      stage.count += 1;
      stage.sumMs += ms;
      if (ms > stage.maxMs) stage.maxMs = ms;
    }
  }

  private log(): void {
    const now = this.clock.now();
    for (const [route, { calls, late, results, stages }] of this.routes) {
      this.logger.log(this.message, {
        route,
        overMs: Math.round(now - this.loggedAt),
        calls,
        late,
        results: Object.fromEntries(results),
        stages: summarize(stages),
      });
    }
    this.routes.clear();
    this.loggedAt = now;
  }
}
