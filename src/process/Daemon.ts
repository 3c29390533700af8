import sleep from '../common/sleep';
import type { Address, Clock, Disposable, Event, Logger } from '../common/Types';
import type MemberTable from '../connection/MemberTable';
import type SocketMeter from '../connection/SocketMeter';
import type { SocketBytes } from '../connection/SocketMeter';
import type CallHandler from '../request/CallHandler';
import type { CurrentVersion, Snapshot } from '../version/Types';
import type Listener from './Listener';
import type Readiness from './Readiness';
import type SettingsHolder from './SettingsHolder';
import type UpstreamRegistration from './UpstreamRegistration';

/**
 * Reserve at the end of the drain time, in milliseconds, for sending the last responses and exiting.
 * Calls that are still running when it begins are aborted.
 */
const SHUTDOWN_RESERVE_MS = 400;
/**
 * Fraction of the `leave` time, which callers have to switch to another daemon, during which the upstream
 * still accepts calls. Most of its running calls end in the rest of that time.
 */
const UPSTREAM_SERVING_FRACTION = 0.5;
/** Time for sending the state `gone` to the peers, in milliseconds. */
const GONE_BROADCAST_MS = 100;
/** Time for sending the responses of aborted calls, and those pipelined behind them, in ms. */
const FINAL_FLUSH_MS = 100;

/** Addresses at which a daemon listens. */
export interface DaemonAddresses {
  readonly calls: Address;
  readonly peers: Address;
  readonly control: Address;
}

/** A task that runs until its signal is aborted. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** The components that a daemon reports on, runs and stops. */
export interface DaemonDependencies {
  readonly addresses: DaemonAddresses;
  readonly members: MemberTable;
  readonly versions: CurrentVersion;
  readonly meter: SocketMeter;
  readonly registration: UpstreamRegistration;
  readonly readiness: Readiness;
  readonly calls: CallHandler;
  readonly callListener: Listener;
  readonly tasks: readonly Task[];
  readonly resources: Disposable;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly settings: SettingsHolder;
}

/** A running daemon: starts its tasks, reloads its settings and performs its planned stop. */
export default class Daemon implements Disposable {
  private readonly shutdown = new AbortController();

  private runningTasks: Promise<unknown> = Promise.resolve();

  /** @param dependencies - The components; their addresses are already bound. */
  public constructor(private readonly dependencies: DaemonDependencies) {}

  /** The addresses that the daemon listens on. */
  public get addresses(): DaemonAddresses {
    return this.dependencies.addresses;
  }

  /** Fires when a version of the configuration comes into force. */
  public get onSwap(): Event<Snapshot> {
    return this.dependencies.versions.onActivate;
  }

  /** Bytes exchanged with peers and the log, without those of calls. */
  public get controlBytes(): SocketBytes {
    return this.dependencies.meter.bytes;
  }

  /** Number of live daemons in the member table, including this one. */
  public get memberCount(): number {
    return this.dependencies.members.live().length;
  }

  /** Starts the tasks of the daemon, which run until it stops. */
  public start(): void {
    this.dependencies.logger.log('Started.', { addresses: this.addresses });
    this.runningTasks = Promise.all(
      this.dependencies.tasks.map((task) => task(this.shutdown.signal)),
    );
  }

  /** Reads the settings file again and applies the settings that need no restart. */
  public reload(): void {
    this.dependencies.settings.reload(this.dependencies.logger);
  }

  /** @param signal - Signal to stop that was received while the daemon stopped. */
  public logRepeatedSignal(signal: NodeJS.Signals): void {
    const { logger, calls } = this.dependencies;
    logger.log('A further signal to stop has no effect.', { signal, openCalls: calls.openCalls });
  }

  /**
   * Announces the stop to peers and callers, finishes the running calls, then releases all resources.
   *
   * New calls are accepted until callers had the `leave` time to switch to another daemon; every response
   * from now on closes its connection. The upstream accepts calls for the first part of that time, so that
   * a rolling restart takes fewer upstreams of a service out at once.
   */
  public async stop(): Promise<void> {
    const { registration, readiness, calls, callListener, members, logger, clock } =
      this.dependencies;
    const { drain: drainMs, leave: leaveMs } = this.dependencies.settings.current.daemon;
    const deadline = clock.now() + Math.max(0, drainMs - SHUTDOWN_RESERVE_MS);
    const { openCalls, unsentAnswers } = calls;
    logger.log('Stops.', { openCalls, unsentAnswers, drainMs, leaveMs });
    readiness.stop();
    calls.stop(deadline, clock.now() + leaveMs);
    await sleep(UPSTREAM_SERVING_FRACTION * leaveMs);
    const drained = registration.drain();
    await sleep((1 - UPSTREAM_SERVING_FRACTION) * leaveMs);
    callListener.stopAccepting();
    await this.waitUntilDeadline(Promise.all([drained, calls.whenIdle()]), deadline);
    let leftBehind = this.abortOverdueCalls(deadline);
    members.updateSelf({ state: 'gone' });
    await sleep(GONE_BROADCAST_MS);
    // During this time a request may have arrived on a connection that was open and idle.
    await this.waitUntilDeadline(calls.whenIdle(), deadline);
    leftBehind = Math.max(leftBehind, this.abortOverdueCalls(deadline));
    await this.waitUntilDeadline(calls.whenIdle(), clock.now() + FINAL_FLUSH_MS);
    logger.log('Stopped.', { leftBehind, unsentAnswers: calls.unsentAnswers });
    this.dispose();
    await this.runningTasks;
  }

  /**
   * Aborts the running calls if the deadline has passed.
   *
   * @returns Number of aborted calls.
   */
  private abortOverdueCalls(deadline: number): number {
    const { calls, clock } = this.dependencies;
    const { openCalls } = calls;
    if (openCalls === 0 || clock.now() < deadline) return 0;
    calls.failPendingCalls();
    return openCalls;
  }

  /** Waits until the work has ended or the deadline has passed. */
  private async waitUntilDeadline(work: Promise<unknown>, deadline: number): Promise<void> {
    const late = new AbortController();
    const leftMs = Math.max(0, deadline - this.dependencies.clock.now());
    await Promise.race([work, sleep(leftMs, late.signal)]);
    late.abort();
  }

  public dispose(): void {
    this.shutdown.abort();
    this.dependencies.resources.dispose();
  }
}
