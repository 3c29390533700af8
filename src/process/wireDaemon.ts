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
import type { MemberRecord } from '../connection/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from '../request/AttemptRegistry';
import type { CallServices } from '../request/Call';
import CallHandler from '../request/CallHandler';
import PeerCallHandler from '../request/PeerCallHandler';
import PeerPools from '../request/PeerPools';
import PeerTransport from '../request/PeerTransport';
import RoutingTransport from '../request/RoutingTransport';
import TwoChoiceBalancer from '../request/TwoChoiceBalancer';
import { mergeFolder } from '../version/mergeFolder';
import VersionStore from '../version/VersionStore';
import Daemon, { type DaemonAddresses, type Task } from './Daemon';
import DaemonMetrics from './DaemonMetrics';
import DebugLogger from './DebugLogger';
import Inspection from './Inspection';
import type Listener from './Listener';
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

/** What every part is built from. */
function wireCore(settings: Settings) {
  return {
    settings,
    resources: new ResourceStore(),
    clock: new SystemClock(),
    random: new SeededRandom(),
    meter: new SocketMeter(),
    logger: (part: string) => new DebugLogger(part, settings.logging.format),
  };
}

type Core = ReturnType<typeof wireCore>;

function wireMembers({ settings, resources, clock }: Core, addresses: DaemonAddresses) {
  const { daemon: own, peers } = settings;
  const record: MemberRecord = {
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
  };
  const periods = {
    suspicionMs: peers.suspicion,
    tombstoneMs: peers.tombstone,
    cutMs: peers.cut,
  };
  return resources.add(new MemberTable(record, periods, clock));
}

/** The configuration in force, and what keeps it current. */
function wireConfiguration(core: Core, members: MemberTable) {
  const { settings, resources, clock, random, meter, logger } = core;
  const {
    address,
    stream_prefix: prefix,
    retention,
    readers_per_zone: readers,
    stale,
  } = settings.log;
  const versions = resources.add(new VersionStore(mergeFolder));
  const heads = resources.add(new PeerHeadTracker(versions, clock));
  const log = resources.add(new HttpLog(address, prefix, meter));
  const reading = { readersPerZone: readers, staleMs: stale };
  const tail = resources.add(
    new LogTail(log, heads, members, mergeFolder, reading, clock, random, logger('log')),
  );
  const everyMs = retention / CHECKPOINTS_PER_RETENTION;
  const due = {
    everyMs,
    rankDelayMs: Math.min(MAX_RANK_DELAY_MS, everyMs / RANK_DELAYS_PER_CHECKPOINT),
    staleMs: stale,
  };
  const checkpoints = resources.add(
    new CheckpointWriter(log, tail, heads, members, due, clock, random, logger('checkpoint')),
  );
  return { versions, heads, log, tail, checkpoints };
}

type ConfigurationParts = ReturnType<typeof wireConfiguration>;

/** The links to other daemons, and how the first ones are found. */
function wirePeers(core: Core, members: MemberTable, { heads, log }: ConfigurationParts) {
  const { settings, resources, clock, random, meter, logger } = core;
  const gossip = resources.add(new Gossip(members, heads, clock));
  const fetchSlot = new FetchSlot(clock);
  const asker = new PeerAsker(meter);
  const beatMs = settings.peers.heartbeat;
  const services = { members, heads, gossip, fetchSlot, meter, logger: logger('peer'), beatMs };
  const overlay = resources.add(new Overlay(services, asker, clock, random));
  const joining = {
    seeds: settings.peers.seeds,
    refreshMs: settings.log.retention / JOINS_PER_RETENTION,
  };
  const joiner = resources.add(
    new Joiner(log, members, overlay, joining, clock, random, logger('join')),
  );
  return { gossip, fetchSlot, asker, overlay, joiner };
}

type PeerParts = ReturnType<typeof wirePeers>;

/** The upstream beside this daemon, and the ways to the others. */
function wireUpstreams(
  core: Core,
  members: MemberTable,
  { versions }: ConfigurationParts,
  { asker }: PeerParts,
) {
  const { settings, resources, clock, random, logger } = core;
  const attempts = new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock);
  const { lease } = settings.upstream;
  const registration = resources.add(
    new UpstreamRegistration(members, versions, attempts, lease, clock, logger('upstream')),
  );
  const balancer = new TwoChoiceBalancer(members, settings.daemon.zone, clock, random);
  const pools = resources.add(new PeerPools(settings.calls.peer_connections, clock));
  const sweeper = setInterval(() => {
    balancer.sweep();
    pools.sweep();
  }, SWEEP_MS).unref();
  resources.add({ dispose: () => clearInterval(sweeper) });
  const transport = new RoutingTransport(
    settings.daemon.name,
    () => registration.local?.upstream,
    new PeerTransport(pools, createFence(asker), settings.calls.silence, clock),
  );
  return { attempts, registration, balancer, transport };
}

type UpstreamParts = ReturnType<typeof wireUpstreams>;

function wireMetrics(
  { clock, meter }: Core,
  members: MemberTable,
  { heads, tail }: ConfigurationParts,
  { overlay }: PeerParts,
  { registration }: UpstreamParts,
) {
  return new DaemonMetrics({
    version: () => heads.head?.version ?? -1,
    knowledgeAgeSeconds: () => {
      const { confirmedAt } = heads.knowledge;
      return confirmedAt === undefined ? -1 : (clock.now() - confirmedAt) / MS_PER_SECOND;
    },
    members: () => members.live().length,
    suspects: () => members.live().filter(({ health }) => health === 'suspect').length,
    links: () => overlay.state.filter(({ up }) => up).length,
    upstreamLoad: () => registration.load,
    controlBytesReceived: () => meter.bytes.received,
    controlBytesSent: () => meter.bytes.sent,
    logReads: () => tail.state.reads,
    logFailures: () => tail.state.failures,
    unknownSchema: () => (tail.state.unknownSchema === undefined ? 0 : 1),
  });
}

/** What answers callers. */
function wireCalls(
  { settings, clock }: Core,
  members: MemberTable,
  versions: VersionStore,
  { balancer, transport }: UpstreamParts,
  metrics: DaemonMetrics,
) {
  let attemptNumber = 0;
  const services: CallServices = {
    balancer,
    transport,
    clock,
    daemon: settings.daemon.name,
    incarnation: () => members.self.incarnation,
    nextAttempt: () => {
      attemptNumber += 1;
      return attemptNumber as AttemptNumber;
    },
    onAttempt: metrics.onAttempt,
  };
  const limits = {
    maxBodyBytes: settings.calls.max_body_bytes,
    maxOpenCalls: settings.calls.max_open,
  };
  return new CallHandler(versions, members, services, limits, metrics.onCall);
}

/**
 * Binds the addresses and builds every part.
 *
 * @param settings - Validated settings.
 * @returns The daemon, listening but with its tasks not started.
 * @throws When an address can't be bound.
 */
export default async function wireDaemon(settings: Settings): Promise<Daemon> {
  const core = wireCore(settings);
  const { resources, clock, meter } = core;
  const listeners = createListeners(settings);
  const addresses = await bindListeners(listeners, settings);
  for (const listener of Object.values(listeners) as Listener[]) resources.add(listener);

  const members = wireMembers(core, addresses);
  const configuration = wireConfiguration(core, members);
  const peers = wirePeers(core, members, configuration);
  const upstreams = wireUpstreams(core, members, configuration, peers);
  const metrics = wireMetrics(core, members, configuration, peers, upstreams);
  const { versions, heads, tail, checkpoints } = configuration;
  const { gossip, fetchSlot, asker, overlay, joiner } = peers;
  const { attempts, registration } = upstreams;
  const calls = wireCalls(core, members, versions, upstreams, metrics);
  metrics.watchOpenCalls(() => calls.openCalls);

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
    () => members.self.incarnation,
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
    logger: core.logger('daemon'),
    drainMs: settings.daemon.drain,
    leaveMs: settings.daemon.leave,
  });
}
