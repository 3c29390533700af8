import pino from 'pino';
import type { Clock, Disposable, LogFields, Logger } from '../common/Types';

/** Lines that are gathered before they are written, in bytes; fewer writes cost less. */
const GATHERED_BYTES = 4_096;
/** Longest time that a line is gathered, in milliseconds. */
const FLUSH_MS = 500;
/** Bytes that wait for a slow reader; lines beyond are dropped and counted. */
const MAX_WAITING_BYTES = 1_048_576;
const SECOND_MS = 1_000;
/** How often left out lines are counted up in the log, in milliseconds. */
const SUMMARY_MS = 5_000;

interface Allowance {
  second: number;
  written: number;
  leftOut: number;
}

/**
 * Writes JSON lines to standard output without ever waiting for its reader. Each kind of line has
 * a bounded number a second; what goes beyond is counted, and the counts are logged.
 */
export default class LogWriter implements Disposable {
  private readonly destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: GATHERED_BYTES,
    maxLength: MAX_WAITING_BYTES,
    periodicFlush: FLUSH_MS,
  });

  private readonly root: pino.Logger;

  private readonly allowances = new Map<string, Allowance>();

  private readonly timer: NodeJS.Timeout;

  private dropped = 0;

  /**
   * @param daemon - Name of the daemon, a field of each line.
   * @param linesPerSecond - Lines of each kind that are written in a second.
   * @param clock - Source of time.
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
    // A reader that has gone must not end the daemon.
    this.destination.on('error', () => {
      this.dropped += 1;
    });
    this.timer = setInterval(() => this.summarize(), SUMMARY_MS).unref();
  }

  /** Lines that were not written: beyond their rate, or with no reader. */
  public get lost(): number {
    let lost = this.dropped;
    for (const { leftOut } of this.allowances.values()) lost += leftOut;
    return lost;
  }

  /**
   * @param part - Name of a part, a field of its lines.
   * @returns Its logger.
   */
  public logger(part: string): Logger {
    const child = this.root.child({ part });
    return {
      log: (message: string, fields: LogFields = {}) => {
        if (this.mayWrite(`${part}: ${message}`)) child.info(fields, message);
      },
    };
  }

  /** Writes what was gathered. */
  public dispose(): void {
    clearInterval(this.timer);
    this.summarize();
    try {
      this.destination.flushSync();
    } catch {
      // The reader has gone, and with it whoever could be told.
      this.dropped += 1;
    }
  }

  private mayWrite(kind: string): boolean {
    const second = Math.floor(this.clock.now() / SECOND_MS);
    let allowance = this.allowances.get(kind);
    if (!allowance) {
      allowance = { second, written: 0, leftOut: 0 };
      this.allowances.set(kind, allowance);
    }
    if (allowance.second !== second) {
      allowance.second = second;
      allowance.written = 0;
    }
    if (allowance.written >= this.linesPerSecond) {
      allowance.leftOut += 1;
      return false;
    }
    allowance.written += 1;
    return true;
  }

  private summarize(): void {
    const leftOut = [...this.allowances]
      .filter(([, allowance]) => allowance.leftOut > 0)
      .map(([kind, allowance]) => [kind, allowance.leftOut] as const);
    if (leftOut.length === 0 && this.dropped === 0) return;
    this.root.info(
      { part: 'log', total: Object.fromEntries(leftOut), dropped: this.dropped },
      'Log lines were left out since the start.',
    );
  }
}
