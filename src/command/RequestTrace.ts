/**
 * Collects what the logs of several daemons contain about one request.
 *
 * @packageDocumentation
 */

/**
 * The trace includes other log lines of the daemons involved, from this time before the request
 * starts.
 */
const MARGIN_BEFORE_MS = 2_000;
/**
 * The trace includes other log lines up to this time after the last line of the request, as the
 * clocks of daemons differ.
 */
const MARGIN_AFTER_MS = 500;
/** Fields that {@link TraceLine.fields} leaves out, as they are shown separately or add nothing. */
const COMMON_FIELDS = new Set(['level', 'time', 'daemon', 'part', 'message', 'request']);

/** A parsed line of a daemon's log. */
interface LogLine {
  /** Time in milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly daemon: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A log line that is part of the trace of a request. */
export interface TraceLine {
  /** Time as logged, in ISO 8601. */
  readonly time: string;
  readonly daemon: string;
  /** Whether the line belongs to the request; otherwise its daemon logged it at a similar time. */
  readonly isOwn: boolean;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a line. Skips any text before the JSON, as log collectors add prefixes. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let fields: unknown;
  try {
    fields = JSON.parse(text.slice(start));
  } catch {
    // The input may contain output of other programs and truncated lines.
    return undefined;
  }
  const { time, daemon, message } = fields as Record<string, unknown>;
  const atMs = Date.parse(String(time));
  if (typeof daemon !== 'string' || typeof message !== 'string' || Number.isNaN(atMs)) {
    return undefined;
  }
  return { atMs, daemon, message, fields: fields as Record<string, unknown> };
}

/** Returns the attempts listed in a log line. Only the final line of a call lists its attempts. */
function listedAttempts({ attempts }: LogLine['fields']): { number: number; upstream: string }[] {
  return Array.isArray(attempts) ? attempts : [];
}

/**
 * Returns the ids of the attempts in a log line, in the form `NUMBER.DAEMON` that all daemons log.
 */
function attemptIdsOf({ daemon, fields }: LogLine): string[] {
  const own = typeof fields.attempt === 'string' ? [fields.attempt] : [];
  return [...own, ...listedAttempts(fields).map(({ number }) => `${number}.${daemon}`)];
}

/** Returns the daemon that logged a line and the daemons that its attempts were sent to. */
function daemonsOf({ daemon, fields }: LogLine): string[] {
  return [daemon, ...listedAttempts(fields).map(({ upstream }) => upstream)];
}

/**
 * Returns the time of a log line less the duration that it reports, if any, in milliseconds since
 * the Unix epoch.
 */
function startTimeMs({ atMs, fields }: LogLine): number {
  return typeof fields.durationMs === 'number' ? atMs - fields.durationMs : atMs;
}

/**
 * Builds the trace of one request: its own lines, the lines of its attempts, and other lines that
 * the daemons involved logged at a similar time, which may explain its outcome.
 */
export default class RequestTrace {
  private readonly ownLines: LogLine[] = [];

  /** Log lines with an attempt id but no request id. */
  private readonly attemptLines: LogLine[] = [];

  /** Log lines with neither a request id nor an attempt id. */
  private readonly otherLines: LogLine[] = [];

  /** @param requestId - Id of the request, set by its caller. */
  public constructor(private readonly requestId: string) {}

  /**
   * Adds a line of any daemon's log; lines can be added in any order.
   *
   * @param text - The line; ignored if it is no log line of a daemon.
   */
  public add(text: string): void {
    const line = parseLine(text);
    if (!line) return;
    this.listFor(line)?.push(line);
  }

  /** @returns The lines of the trace in order of time; empty if no line has the request's id. */
  public toLines(): TraceLine[] {
    if (this.ownLines.length === 0) return [];
    const attemptIds = new Set(this.ownLines.flatMap(attemptIdsOf));
    const daemons = new Set(this.ownLines.flatMap(daemonsOf));
    const own = [
      ...this.ownLines,
      ...this.attemptLines.filter(({ fields }) => attemptIds.has(fields.attempt as string)),
    ];
    const from = Math.min(...own.map(startTimeMs)) - MARGIN_BEFORE_MS;
    const to = Math.max(...own.map(({ atMs }) => atMs)) + MARGIN_AFTER_MS;
    const others = this.otherLines.filter(
      ({ daemon, atMs }) => daemons.has(daemon) && atMs >= from && atMs <= to,
    );
    return [
      ...own.map((line) => RequestTrace.toTraceLine(line, true)),
      ...others.map((line) => RequestTrace.toTraceLine(line, false)),
    ].sort((a, b) => a.time.localeCompare(b.time));
  }

  /** Returns the list that a line belongs to; `undefined` for a line of another request. */
  private listFor({ fields: { request, attempt } }: LogLine): LogLine[] | undefined {
    if (request === this.requestId) return this.ownLines;
    if (request !== undefined) return undefined;
    return attempt === undefined ? this.otherLines : this.attemptLines;
  }

  private static toTraceLine({ daemon, message, fields }: LogLine, isOwn: boolean): TraceLine {
    const shown = Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name));
    return { time: String(fields.time), daemon, isOwn, message, fields: Object.fromEntries(shown) };
  }
}
