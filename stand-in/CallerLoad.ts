import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';

/** One call as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly daemon: string;
  readonly method: string;
  readonly status: number;
  readonly outcome: string;
  readonly body: string;
  readonly latencyMs: number;
}

/** What to call, again and again. */
export interface LoadOptions {
  readonly daemons: readonly string[];
  readonly method: string;
  readonly path: string;
  /** Callers at the same time, each waiting for its answer before the next call. */
  readonly callers: number;
  readonly body?: string;
  /** Pause of a caller between two calls, in milliseconds. */
  readonly pauseMs?: number;
}

/** Callers that keep calling until they are stopped, and note what they were told. */
export default class CallerLoad {
  public readonly records: CallRecord[] = [];

  private readonly agent = new Agent({ keepAliveTimeout: 30_000 });

  private readonly running: Promise<void>[];

  private stopped = false;

  private turn = 0;

  public constructor(private readonly options: LoadOptions) {
    this.running = Array.from({ length: options.callers }, () => this.loop());
  }

  /** @returns The calls, once the last one is answered. */
  public async stop(): Promise<readonly CallRecord[]> {
    this.stopped = true;
    await Promise.all(this.running);
    await this.agent.close();
    return this.records;
  }

  private async loop(): Promise<void> {
    while (!this.stopped) {
      this.records.push(await this.call());
      if (this.options.pauseMs) await delay(this.options.pauseMs);
    }
  }

  private async call(): Promise<CallRecord> {
    const { daemons, method, path, body } = this.options;
    this.turn += 1;
    const daemon = daemons[this.turn % daemons.length]!;
    const id = randomUUID();
    const began = performance.now();
    const base = { id, daemon, method };
    try {
      const response = await request(`http://${daemon}${path}`, {
        method: method as 'GET',
        body,
        headers: { 'x-call-id': id, 'x-azurestream-request-id': id },
        dispatcher: this.agent,
      });
      const text = await response.body.text();
      return {
        ...base,
        status: response.statusCode,
        outcome: String(response.headers['x-azurestream-outcome'] ?? 'none'),
        body: text,
        latencyMs: performance.now() - began,
      };
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? 'broken';
      return { ...base, status: 0, outcome: code, body: '', latencyMs: performance.now() - began };
    }
  }
}
