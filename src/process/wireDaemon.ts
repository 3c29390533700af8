/**
 * Builds a daemon from its settings; the only module that knows every part.
 *
 * @packageDocumentation
 */
import PQueue from 'p-queue';
import polka from 'polka';
import ResourceStore from '../common/ResourceStore';
import SeededRandom from '../common/SeededRandom';
import SystemClock from '../common/SystemClock';
import type { AttemptNumber, Incarnation } from '../common/Types';
import CheckpointWriter from '../connection/CheckpointWriter';
import createFence from '../connection/createFence';
import FetchSlot from '../connection/FetchSlot';
import Gossip from '../connection/Gossip';
import HttpLog from '../connection/HttpLog';
import Joiner from '../connection/Joiner';
import LogTail from '../connection/LogTail';
import MemberTable from '../connection/MemberTable';
import Overlay from '../connection/Overlay';
import PeerAsker from '../connection/PeerAsker';
import PeerHeadTracker from '../connection/PeerHeadTracker';
import { createPeerRouter } from '../connection/peerRouter';
import SocketMeter from '../connection/SocketMeter';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from '../request/AttemptRegistry';
import CallHandler from '../request/CallHandler';
import PeerCallHandler from '../request/PeerCallHandler';
import PeerPools from '../request/PeerPools';
import PeerTransport from '../request/PeerTransport';
import RoutingTransport from '../request/RoutingTransport';
import TwoChoiceBalancer from '../request/TwoChoiceBalancer';
import { mergeFolder } from '../version/mergeFolder';
import VersionStore from '../version/VersionStore';
import Daemon, { type Task } from './Daemon';
import DaemonMetrics from './DaemonMetrics';
import DebugLogger from './DebugLogger';
import Inspection from './Inspection';
import { bindListeners, createListeners } from './listeners';
import serveOperators from './serveOperators';
import servePeers from './servePeers';
import type { Settings } from './settings';
import UpstreamRegistration from './UpstreamRegistration';

const ADMITTED_AT_ONCE = 8;
const CHECKPOINTS_PER_RETENTION = 4;
const JOINS_PER_RETENTION = 4;
const RANK_DELAYS_PER_CHECKPOINT = 8;
const MAX_RANK_DELAY_MS = 10_000;
const SWEEP_MS = 60_000;
const MS_PER_SECOND = 1_000;

/**
 * Binds the addresses and builds every part.
 *
 * @param settings - Validated settings.
 * @returns The daemon, listening but with its tasks not started.
 * @throws When an address can't be bound.
 */
export default async function wireDaemon(settings: Settings): Promise<Daemon> {
  const resources = new ResourceStore();
  const logger = (part: string) => new DebugLogger(part, settings.logging.format);
  const clock = new SystemClock();
  const random = new SeededRandom();
  const meter = new SocketMeter();
  const listeners = createListeners(settings);
  const addresses = await bindListeners(listeners, settings);
  resources.add(listeners.calls);
  resources.add(listeners.peers);
  resources.add(listeners.control);

  const { log: logSettings, peers: peerSettings, daemon: own } = settings;
  const versions = resources.add(new VersionStore(mergeFolder));
  const members = resources.add(
    new MemberTable(
      {
        id: own.name,
        incarnation: clock.wallTime() as Incarnation,
        sequence: 0,
        zone: own.zone,
        address: own.advertise ?? addresses.peers,
        control: addresses.control,
        service: null,
        state: 'none',
        healthHint: true,
        health: 'alive',
      },
      {
        suspicionMs: peerSettings.suspicion,
        tombstoneMs: peerSettings.tombstone,
        cutMs: peerSettings.cut,
      },
      clock,
    ),
  );
  const heads = resources.add(new PeerHeadTracker(versions, clock));
  const log = resources.add(new HttpLog(logSettings.address, logSettings.stream_prefix, meter));
  const tail = resources.add(
    new LogTail(
      log,
      heads,
      members,
      mergeFolder,
      { readersPerZone: logSettings.readers_per_zone, staleMs: logSettings.stale },
      clock,
      random,
      logger('log'),
    ),
  );
  const checkpointMs = logSettings.retention / CHECKPOINTS_PER_RETENTION;
  const checkpoints = resources.add(
    new CheckpointWriter(
      log,
      tail,
      heads,
      members,
      {
        everyMs: checkpointMs,
        rankDelayMs: Math.min(MAX_RANK_DELAY_MS, checkpointMs / RANK_DELAYS_PER_CHECKPOINT),
        staleMs: logSettings.stale,
      },
      clock,
      random,
      logger('checkpoint'),
    ),
  );

  const gossip = resources.add(new Gossip(members, heads, clock));
  const fetchSlot = new FetchSlot(clock);
  const asker = new PeerAsker(meter);
  const overlay = resources.add(
    new Overlay(
      {
        members,
        heads,
        gossip,
        fetchSlot,
        meter,
        logger: logger('peer'),
        beatMs: peerSettings.heartbeat,
      },
      asker,
      clock,
      random,
    ),
  );
  const joiner = resources.add(
    new Joiner(
      log,
      members,
      overlay,
      { seeds: peerSettings.seeds, refreshMs: logSettings.retention / JOINS_PER_RETENTION },
      clock,
      random,
      logger('join'),
    ),
  );

  const attempts = new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock);
  const registration = resources.add(
    new UpstreamRegistration(
      members,
      versions,
      attempts,
      settings.upstream.lease,
      clock,
      logger('upstream'),
    ),
  );
  const balancer = new TwoChoiceBalancer(members, own.zone, clock, random);
  const pools = resources.add(new PeerPools(settings.calls.peer_connections, clock));
  const sweeper = setInterval(() => {
    balancer.sweep();
    pools.sweep();
  }, SWEEP_MS).unref();
  resources.add({ dispose: () => clearInterval(sweeper) });
  const transport = new RoutingTransport(
    own.name,
    () => registration.local?.upstream,
    new PeerTransport(pools, createFence(asker), settings.calls.silence, clock),
  );

  const incarnation = () => members.self.incarnation;
  let attemptNumber = 0;
  const nextAttempt = () => {
    attemptNumber += 1;
    return attemptNumber as AttemptNumber;
  };
  let openCalls = () => 0;
  const metrics = new DaemonMetrics({
    version: () => heads.head?.version ?? -1,
    knowledgeAgeSeconds: () => {
      const { confirmedAt } = heads.knowledge;
      return confirmedAt === undefined ? -1 : (clock.now() - confirmedAt) / MS_PER_SECOND;
    },
    members: () => members.live().length,
    suspects: () => members.live().filter(({ health }) => health === 'suspect').length,
    links: () => overlay.state.filter(({ up }) => up).length,
    openCalls: () => openCalls(),
    upstreamLoad: () => registration.load,
    controlBytesReceived: () => meter.bytes.received,
    controlBytesSent: () => meter.bytes.sent,
    logReads: () => tail.state.reads,
    logFailures: () => tail.state.failures,
    unknownSchema: () => (tail.state.unknownSchema === undefined ? 0 : 1),
  });
  const calls = new CallHandler(
    versions,
    members,
    {
      balancer,
      transport,
      clock,
      daemon: own.name,
      incarnation,
      nextAttempt,
      onAttempt: metrics.onAttempt,
    },
    { maxBodyBytes: settings.calls.max_body_bytes, maxOpenCalls: settings.calls.max_open },
    metrics.onCall,
  );

  openCalls = () => calls.openCalls;

  const router = createPeerRouter({
    members,
    heads,
    gossip,
    fetchSlot,
    admission: new PQueue({ concurrency: ADMITTED_AT_ONCE }),
    fence: (attempt, giveUp) => attempts.fence(attempt, giveUp),
    reach: (id, address) => asker.reach(id, address),
  });
  const peerCalls = new PeerCallHandler(
    () => registration.local,
    incarnation,
    settings.calls.max_body_bytes,
    clock,
  );
  resources.add(servePeers(listeners.peers, router, peerCalls, meter));
  const app = polka({ onNoMatch: (message, response) => void calls.handle(message, response) });
  listeners.calls.handle(app.handler as never);
  const inspection = new Inspection({
    settings,
    members,
    heads,
    tail,
    checkpoints,
    overlay,
    calls,
    attempts,
    registration,
    meter,
    configuration: () => versions.snapshot?.configuration,
    clock,
  });
  serveOperators(listeners.control, { inspection, metrics, registration });

  const tasks: Task[] = [
    (signal) => tail.run(signal),
    (signal) => checkpoints.run(signal),
    (signal) => overlay.run(signal),
    (signal) => overlay.heal(signal),
    (signal) => joiner.run(signal),
  ];
  return new Daemon({
    addresses,
    members,
    versions,
    meter,
    registration,
    calls,
    callListener: listeners.calls,
    tasks,
    resources,
    logger: logger('daemon'),
    drainMs: own.drain,
    leaveMs: own.leave,
  });
}
