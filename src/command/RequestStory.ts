/**
 * What the log lines of many daemons tell of one request.
 *
 * @packageDocumentation
 */

/** How long before a request began its daemons' other lines may explain it, in milliseconds. */
const BEFORE_MS = 2_000;
/** How long after its last line, in milliseconds; the clocks of daemons differ. */
const AFTER_MS = 500;
/** Fields that every line has; they aren't repeated after it. */
const COMMON_FIELDS = new Set(['level', 'time', 'daemon', 'part', 'message', 'request']);

/** A structured line of a daemon. */
interface LogLine {
  readonly atMs: number;
  readonly daemon: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A line of the story of a request. */
export interface StoryLine {
  readonly time: string;
  readonly daemon: string;
  /** Whether it is of the request itself; else it tells what its daemon did meanwhile. */
  readonly isOwn: boolean;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads a line; what stands before its JSON, as collectors of logs add, is left out. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let fields: unknown;
  try {
    fields = JSON.parse(text.slice(start));
  } catch {
    // Logs hold lines of other programs, and lines that were cut.
    return undefined;
  }
  const { time, daemon, message } = fields as Record<string, unknown>;
  const atMs = Date.parse(String(time));
  if (typeof daemon !== 'string' || typeof message !== 'string' || Number.isNaN(atMs)) {
    return undefined;
  }
  return { atMs, daemon, message, fields: fields as Record<string, unknown> };
}

/** The attempts that the line of a call tells; none in other lines. */
function attemptsMade({ attempts }: LogLine['fields']): { number: number; upstream: string }[] {
  return Array.isArray(attempts) ? attempts : [];
}

/** Names of the attempts that a line of a call tells, as other daemons' lines name them. */
function attemptsOf({ daemon, fields }: LogLine): string[] {
  const own = typeof fields.attempt === 'string' ? [fields.attempt] : [];
  return [...own, ...attemptsMade(fields).map(({ number }) => `${number}.${daemon}`)];
}

function daemonsOf({ daemon, fields }: LogLine): string[] {
  return [daemon, ...attemptsMade(fields).map(({ upstream }) => upstream)];
}

function beganAt({ atMs, fields }: LogLine): number {
  return typeof fields.durationMs === 'number' ? atMs - fields.durationMs : atMs;
}

/** Gathers the lines that may belong to the story of one request, then tells it. */
export default class RequestStory {
  private readonly own: LogLine[] = [];

  /** Lines of attempts that don't name their request. */
  private readonly attempts: LogLine[] = [];

  /** Lines of no call: what daemons found out or did. */
  private readonly others: LogLine[] = [];

  /** @param requestId - The caller's id. */
  public constructor(private readonly requestId: string) {}

  /** @param text - A line of some daemon's log. */
  public add(text: string): void {
    const line = parseLine(text);
    if (!line) return;
    this.linesLike(line)?.push(line);
  }

  /** @returns The lines in the order of their time; none where no line names the request. */
  public tell(): StoryLine[] {
    if (this.own.length === 0) return [];
    const attempts = new Set(this.own.flatMap(attemptsOf));
    const daemons = new Set(this.own.flatMap(daemonsOf));
    const own = [
      ...this.own,
      ...this.attempts.filter(({ fields }) => attempts.has(fields.attempt as string)),
    ];
    const from = Math.min(...own.map(beganAt)) - BEFORE_MS;
    const to = Math.max(...own.map(({ atMs }) => atMs)) + AFTER_MS;
    const others = this.others.filter(
      ({ daemon, atMs }) => daemons.has(daemon) && atMs >= from && atMs <= to,
    );
    return [
      ...own.map((line) => RequestStory.storyLine(line, true)),
      ...others.map((line) => RequestStory.storyLine(line, false)),
    ].sort((a, b) => a.time.localeCompare(b.time));
  }

  /** Where a line belongs; nowhere if it is of another request. */
  private linesLike({ fields: { request, attempt } }: LogLine): LogLine[] | undefined {
    if (request === this.requestId) return this.own;
    if (request !== undefined) return undefined;
    return attempt === undefined ? this.others : this.attempts;
  }

  private static storyLine({ daemon, message, fields }: LogLine, isOwn: boolean): StoryLine {
    const told = Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name));
    return { time: String(fields.time), daemon, isOwn, message, fields: Object.fromEntries(told) };
  }
}
