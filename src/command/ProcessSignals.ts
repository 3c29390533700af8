import Emitter from '../common/Emitter';
import type { Disposable } from '../common/Types';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** Number of interrupts from a terminal that end the process without a graceful stop. */
const INTERRUPTS_TO_ABORT = 2;

/** A signal that asks the process to stop. */
type StopSignal = (typeof STOP_SIGNALS)[number];

/** The process whose signals are received, or a stand-in for it. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
}

/**
 * Receives the signals of the process. The first SIGTERM or SIGINT requests a graceful stop. Supervisors repeat
 * SIGTERM, for instance where a restart and a removal coincide, so further ones have no effect: the stop goes on
 * until its own deadline. Only a second interrupt typed at a terminal aborts it.
 */
export default class ProcessSignals implements Disposable {
  /** Resolves at the first request to stop. */
  public readonly stopRequested: Promise<void>;

  private readonly reloadEmitter = new Emitter<void>();

  private readonly repeatEmitter = new Emitter<StopSignal>();

  private isStopping = false;

  private interrupts = 0;

  private hasEarlyReload = false;

  private isStarted = false;

  /** Fires when the settings may have changed. */
  public readonly onReload = this.reloadEmitter.event;

  /** Fires for each stop signal that has no effect, as the process stops already. */
  public readonly onRepeat = this.repeatEmitter.event;

  /**
   * @param source - Process whose signals are received.
   * @param isTerminal - Whether an operator at a terminal started the process.
   * @param abort - Ends the process at once.
   */
  public constructor(
    source: SignalSource,
    private readonly isTerminal: boolean,
    private readonly abort: () => void,
  ) {
    this.stopRequested = new Promise((resolve) => {
      for (const signal of STOP_SIGNALS) source.on(signal, () => this.stop(signal, resolve));
    });
    source.on('SIGHUP', () => this.reload());
  }

  /** Delivers a reload that was requested before there were listeners. */
  public start(): void {
    this.isStarted = true;
    if (this.hasEarlyReload) this.reloadEmitter.fire();
  }

  public dispose(): void {
    this.reloadEmitter.dispose();
    this.repeatEmitter.dispose();
  }

  private stop(signal: StopSignal, resolve: () => void): void {
    if (signal === 'SIGINT') this.interrupts += 1;
    if (this.isTerminal && this.interrupts >= INTERRUPTS_TO_ABORT) this.abort();
    else if (this.isStopping) this.repeatEmitter.fire(signal);
    this.isStopping = true;
    resolve();
  }

  private reload(): void {
    if (this.isStarted) this.reloadEmitter.fire();
    else this.hasEarlyReload = true;
  }
}
