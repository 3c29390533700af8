import debug from 'debug';
import type { LogFields, Logger } from '../common/Types';

/** Form of the log lines. */
export type LogFormat = 'text' | 'json';

const PREFIX = 'azurestream';

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => ` ${key}=${typeof value === 'string' ? JSON.stringify(value) : value}`)
    .join('');
}

/** Logs the lines of one part under its namespace; DEBUG selects which are written. */
export default class DebugLogger implements Logger {
  private readonly write: debug.Debugger;

  /**
   * @param part - Name of the part, the prefix of its lines.
   * @param format - Text for people or JSON lines.
   */
  public constructor(
    private readonly part: string,
    private readonly format: LogFormat,
  ) {
    this.write = debug(`${PREFIX}:${part}`);
  }

  public log(message: string, fields: LogFields = {}): void {
    if (!this.write.enabled) return;
    if (this.format === 'json') {
      const time = new Date().toISOString();
      const line = JSON.stringify({ time, part: this.part, message, ...fields });
      process.stderr.write(`${line}\n`);
    } else {
      this.write('%s', `${message}${formatFields(fields)}`);
    }
  }
}
