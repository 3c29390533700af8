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
 * Time at the end of a stop, in milliseconds, in which the last answers leave and the process ends;
 * calls that still run then are given up.
 */
const END_MS = 400;
/**
 * Part of the time that callers have to leave in which the upstream still takes calls; in the rest of
 * it most of what it runs ends.
 */
const LENT_PART = 0.5;
/** Time for the last news of this daemon to leave, in milliseconds. */
const FAREWELL_MS = 100;
/** Time for the answers of calls that were given up, and of those behind them, to leave, in ms. */
const LAST_ANSWERS_MS = 100;

/** Addresses at which a daemon listens. */
export interface DaemonAddresses {
  readonly calls: Address;
  readonly peers: Address;
  readonly control: Address;
}

/** A task that runs until its signal is aborted. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** The parts that a planned stop concerns. */
export interface DaemonParts {
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

/** The running daemon. */
export default class Daemon implements Disposable {
  private readonly end = new AbortController();

  private running: Promise<unknown> = Promise.resolve();

  /** @param parts - What it consists of. */
  public constructor(private readonly parts: DaemonParts) {}

  /** Where it listens. */
  public get addresses(): DaemonAddresses {
    return this.parts.addresses;
  }

  /** Fires when a version comes into force. */
  public get onSwap(): Event<Snapshot> {
    return this.parts.versions.onSwap;
  }

  /** Bytes exchanged with peers and the log, calls left out. */
  public get controlBytes(): SocketBytes {
    return this.parts.meter.bytes;
  }

  /** Live daemons known, this one included. */
  public get memberCount(): number {
    return this.parts.members.live().length;
  }

  /** Starts the tasks. */
  public start(): void {
    this.parts.logger.log('Started.', { addresses: this.addresses });
    this.running = Promise.all(this.parts.tasks.map((task) => task(this.end.signal)));
  }

  /** Takes in the settings that may change while it runs. */
  public reload(): void {
    this.parts.settings.reload(this.parts.logger);
  }

  /**
   * Tells peers and callers, finishes what is under way, then releases everything. Callers are
   * served until they had time to go elsewhere; every answer from now on ends its connection. The
   * upstream takes calls for the first part of that time: daemons that are restarted in turn would
   * else take more of a service's upstreams out at once than need be.
   */
  public async stop(): Promise<void> {
    const { registration, readiness, calls, callListener, members, logger, clock } = this.parts;
    const { drain: drainMs, leave: leaveMs } = this.parts.settings.current.daemon;
    const deadline = clock.now() + Math.max(0, drainMs - END_MS);
    const { openCalls, unsentAnswers } = calls;
    logger.log('Stops.', { openCalls, unsentAnswers, drainMs, leaveMs });
    readiness.stop();
    calls.stop(deadline);
    await sleep(LENT_PART * leaveMs);
    const drained = registration.drain();
    await sleep((1 - LENT_PART) * leaveMs);
    callListener.stopAccepting();
    await this.finish(Promise.all([drained, calls.whenIdle()]), deadline);
    let leftBehind = this.giveUpLate(deadline);
    members.updateSelf({ state: 'gone' });
    await sleep(FAREWELL_MS);
    // A connection that was open without a request may have brought one.
    await this.finish(calls.whenIdle(), deadline);
    leftBehind = Math.max(leftBehind, this.giveUpLate(deadline));
    await this.finish(calls.whenIdle(), clock.now() + LAST_ANSWERS_MS);
    logger.log('Stopped.', { leftBehind, unsentAnswers: calls.unsentAnswers });
    this.dispose();
    await this.running;
  }

  /** @returns How many calls were given up, as the deadline of the stop has passed. */
  private giveUpLate(deadline: number): number {
    const { calls, clock } = this.parts;
    const { openCalls } = calls;
    if (openCalls === 0 || clock.now() < deadline) return 0;
    calls.giveUp();
    return openCalls;
  }

  /** Waits for work to end, at most until the deadline. */
  private async finish(work: Promise<unknown>, deadline: number): Promise<void> {
    const late = new AbortController();
    const leftMs = Math.max(0, deadline - this.parts.clock.now());
    await Promise.race([work, sleep(leftMs, late.signal)]);
    late.abort();
  }

  public dispose(): void {
    this.end.abort();
    this.parts.resources.dispose();
  }
}
