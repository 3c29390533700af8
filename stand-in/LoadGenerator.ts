import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';

/** Outcome of one call as seen by its caller. */
export interface CallRecord {
  readonly id: string;
  readonly daemon: string;
  readonly method: string;
  /** HTTP status; 0 where the connection failed or broke. */
  readonly status: number;
  /** Value of `x-azurestream-outcome`, or the code of the error. */
  readonly outcome: string;
  readonly body: string;
  readonly latencyMs: number;
}

/** The calls to make, and how many at a time. */
export interface LoadOptions {
  /** Addresses at which the daemons accept calls; they are called in rotation. */
  readonly daemons: readonly string[];
  readonly method: string;
  readonly path: string;
  /** Number of concurrent callers; each waits for a response before its next call. */
  readonly callers: number;
  readonly body?: string;
  /** Pause of a caller between two calls, in milliseconds. */
  readonly pauseMs?: number;
}

/** Closed-loop load: callers that repeat a call until they are stopped, and record each outcome. */
export default class LoadGenerator {
  public readonly records: CallRecord[] = [];

  private readonly agent = new Agent({ keepAliveTimeout: 30_000 });

  private readonly loops: Promise<void>[];

  private stopped = false;

  private callCount = 0;

  public constructor(private readonly options: LoadOptions) {
    this.loops = Array.from({ length: options.callers }, () => this.runCaller());
  }

  /** @returns The records of all calls, once those in flight have ended. */
  public async stop(): Promise<readonly CallRecord[]> {
    this.stopped = true;
    await Promise.all(this.loops);
    await this.agent.close();
    return this.records;
  }

  private async runCaller(): Promise<void> {
    while (!this.stopped) {
      this.records.push(await this.call());
      if (this.options.pauseMs) await delay(this.options.pauseMs);
    }
  }

  private async call(): Promise<CallRecord> {
    const { daemons, method, path, body } = this.options;
    this.callCount += 1;
    const daemon = daemons[this.callCount % daemons.length]!;
    const id = randomUUID();
    const startedAt = performance.now();
    const common = { id, daemon, method };
    try {
      const response = await request(`http://${daemon}${path}`, {
        method: method as 'GET',
        body,
        headers: { 'x-call-id': id, 'x-azurestream-request-id': id },
        dispatcher: this.agent,
      });
      const text = await response.body.text();
      return {
        ...common,
        status: response.statusCode,
        outcome: String(response.headers['x-azurestream-outcome'] ?? 'none'),
        body: text,
        latencyMs: performance.now() - startedAt,
      };
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? 'broken';
      return {
        ...common,
        status: 0,
        outcome: code,
        body: '',
        latencyMs: performance.now() - startedAt,
      };
    }
  }
}
