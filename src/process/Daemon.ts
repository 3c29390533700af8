import sleep from '../common/sleep';
import type { Address, Disposable, Event, Logger } from '../common/Types';
import type MemberTable from '../connection/MemberTable';
import type SocketMeter from '../connection/SocketMeter';
import type { SocketBytes } from '../connection/SocketMeter';
import type CallHandler from '../request/CallHandler';
import type { CurrentVersion, Snapshot } from '../version/Types';
import type Listener from './Listener';
import type UpstreamRegistration from './UpstreamRegistration';

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
  readonly calls: CallHandler;
  readonly callListener: Listener;
  readonly tasks: readonly Task[];
  readonly resources: Disposable;
  readonly logger: Logger;
  /** Longest time to finish what is under way, in milliseconds. */
  readonly drainMs: number;
  /** Time for the news of the stop to spread, in milliseconds. */
  readonly leaveMs: number;
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
    this.running = Promise.all(this.parts.tasks.map((task) => task(this.end.signal)));
  }

  /** Tells peers and callers, finishes what is under way, then releases everything. */
  public async stop(): Promise<void> {
    const { registration, calls, callListener, members, logger, drainMs, leaveMs } = this.parts;
    logger.log('Drains.', { openCalls: calls.openCalls });
    const drained = registration.drain();
    // Peers hear of it before callers are turned away, so that few calls need a second attempt.
    await sleep(leaveMs);
    const finished = calls.drain();
    callListener.stopAccepting();
    const late = new AbortController();
    await Promise.race([Promise.all([drained, finished]), sleep(drainMs, late.signal)]);
    late.abort();
    members.updateSelf({ state: 'gone' });
    await sleep(leaveMs);
    logger.log('Stopped.', { openCalls: calls.openCalls });
    this.dispose();
    await this.running;
  }

  public dispose(): void {
    this.end.abort();
    this.parts.resources.dispose();
  }
}
