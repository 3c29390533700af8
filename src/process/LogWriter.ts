import pino from 'pino';
import type { Clock, Disposable, LogFields, Logger } from '../common/Types';

/** Minimum size of a write, in bytes; smaller writes wait for the flush interval to save processor time. */
const MIN_WRITE_BYTES = 4_096;
/** Interval at which buffered lines are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;
/** Size of the buffer for a slow reader, in bytes; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
const SECOND_MS = 1_000;
/** Interval at which the numbers of suppressed and dropped lines are logged, in ms. */
const SUMMARY_INTERVAL_MS = 5_000;

/** State of the rate limit of one kind of line. */
interface RateWindow {
  /** Monotonic time in whole seconds at which the latest line of this kind was counted. */
  second: number;
  /** Number of lines of this kind written since the start of `second`. */
  written: number;
  /** Number of lines of this kind suppressed by the rate limit since the start. */
  suppressed: number;
}

/**
 * Writes JSON lines to standard output without blocking on a slow reader. A rate limit applies to each
 * kind of line (component and message); lines above the limit are counted, and the counts are logged.
 */
export default class LogWriter implements Disposable {
  private readonly destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });

  private readonly root: pino.Logger;

  private readonly rateWindows = new Map<string, RateWindow>();

  private readonly timer: NodeJS.Timeout;

  /** Number of lines dropped because the buffer was full or the reader had exited. */
  private dropped = 0;

  /**
   * @param daemon - Name of the daemon, a field of each line.
   * @param linesPerSecond - Rate limit of each kind of line.
   * @param clock - Monotonic clock, for the rate limit.
   */
  public constructor(
    daemon: string,
    private readonly linesPerSecond: number,
    private readonly clock: Clock,
  ) {
    this.root = pino(
      {
        base: { daemon },
        messageKey: 'message',
        formatters: { level: (level) => ({ level }) },
        timestamp: pino.stdTimeFunctions.isoTime,
      },
      this.destination,
    );
    this.destination.on('drop', () => {
      this.dropped += 1;
    });
    // Without a listener, an error after the reader has exited would end the daemon.
    this.destination.on('error', () => {
      this.dropped += 1;
    });
    this.timer = setInterval(() => this.summarize(), SUMMARY_INTERVAL_MS).unref();
  }

  /** Number of lines that were suppressed by the rate limit or dropped for lack of a reader. */
  public get lostLines(): number {
    let total = this.dropped;
    for (const { suppressed } of this.rateWindows.values()) total += suppressed;
    return total;
  }

  /**
   * @param part - Name of a component of the daemon, written as the field `part` of its lines.
   * @returns A logger for that component.
   */
  public logger(part: string): Logger {
    const child = this.root.child({ part });
    return {
      log: (message: string, fields: LogFields = {}) => {
        if (this.tryAcquire(`${part}: ${message}`)) child.info(fields, message);
      },
    };
  }

  /** Writes the buffered lines. */
  public dispose(): void {
    clearInterval(this.timer);
    this.summarize();
    try {
      this.destination.flushSync();
    } catch {
      // The reader has exited, so the error can't be reported anywhere.
      this.dropped += 1;
    }
  }

  /**
   * Whether the rate limit allows another line of this kind (component and message) now; counts the
   * line either way.
   */
  private tryAcquire(kind: string): boolean {
    const second = Math.floor(this.clock.now() / SECOND_MS);
    let rateWindow = this.rateWindows.get(kind);
    if (!rateWindow) {
      rateWindow = { second, written: 0, suppressed: 0 };
      this.rateWindows.set(kind, rateWindow);
    }
    if (rateWindow.second !== second) {
      rateWindow.second = second;
      rateWindow.written = 0;
    }
    if (rateWindow.written >= this.linesPerSecond) {
      rateWindow.suppressed += 1;
      return false;
    }
    rateWindow.written += 1;
    return true;
  }

  private summarize(): void {
    const suppressed = [...this.rateWindows]
      .filter(([, rateWindow]) => rateWindow.suppressed > 0)
      .map(([kind, rateWindow]) => [kind, rateWindow.suppressed] as const);
    if (suppressed.length === 0 && this.dropped === 0) return;
    this.root.info(
      { part: 'log', total: Object.fromEntries(suppressed), dropped: this.dropped },
      'Log lines were left out since the start.',
    );
  }
}
