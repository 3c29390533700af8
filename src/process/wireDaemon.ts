/**
 * Composition root: creates all components of a daemon from its settings and connects them.
 *
 * @packageDocumentation
 */
import PQueue from 'p-queue';
import polka from 'polka';
import createHeartbeatApp from '../../platform/heartbeats';
import PLATFORM_HEADERS from '../../platform/headers';
import PlatformStore from '../../platform/PlatformStore';
import ResourceStore from '../common/ResourceStore';
import SeededRandom from '../common/SeededRandom';
import SuspendAwareClock from '../common/SuspendAwareClock';
import SystemClock from '../common/SystemClock';
import type { AttemptNumber, Incarnation } from '../common/Types';
import CheckpointWriter from '../connection/CheckpointWriter';
import ConfigurationWatcher from '../connection/ConfigurationWatcher';
import createFence from '../connection/createFence';
import FetchLease from '../connection/FetchLease';
import FreshnessProof from '../connection/FreshnessProof';
import Gossip from '../connection/Gossip';
import HttpLog from '../connection/HttpLog';
import Joiner from '../connection/Joiner';
import LogContacts from '../connection/LogContacts';
import LogTailer from '../connection/LogTailer';
import MemberTable from '../connection/MemberTable';
import Overlay from '../connection/Overlay';
import PeerClient from '../connection/PeerClient';
import PeerHeadTracker from '../connection/PeerHeadTracker';
import { createPeerRouter } from '../connection/peerRouter';
import probeDaemon from '../connection/probeDaemon';
import QuotaExchange from '../connection/QuotaExchange';
import ReaderDoubt from '../connection/ReaderDoubt';
import SocketMeter from '../connection/SocketMeter';
import type {
  ContactStore,
  LogReaderState,
  MemberRecord,
  WithdrawalStore,
} from '../connection/Types';
import AttemptRegistry, { DEFAULT_REGISTRY_OPTIONS } from '../request/AttemptRegistry';
import CallChannels from '../request/CallChannels';
import CallHandler from '../request/CallHandler';
import ChannelSession from '../request/ChannelSession';
import ForecastBalancer from '../request/ForecastBalancer';
import DEFAULT_HEADER_NAMES from '../request/defaultHeaderNames';
import OverloadGuard from '../request/OverloadGuard';
import PeerCallHandler from '../request/PeerCallHandler';
import PeerLiveness from '../request/PeerLiveness';
import PeerTransport from '../request/PeerTransport';
import RetryAdvice from '../request/RetryAdvice';
import RoutingTransport from '../request/RoutingTransport';
import UpstreamRuns from '../request/UpstreamRuns';
import ZoneOverflow from '../request/ZoneOverflow';
import RolloutRecorder from '../rollout/RolloutRecorder';
import RolloutRouter from '../rollout/RolloutRouter';
import Rollouts from '../rollout/Rollouts';
import type { RolloutStore } from '../rollout/Types';
import mergeAccepted from '../version/mergeAccepted';
import { mergeSteps } from '../version/mergeFolder';
import mergePublication from '../version/mergePublication';
import VersionStore from '../version/VersionStore';
import AcceptDelays from './AcceptDelays';
import Daemon, { type DaemonAddresses, type Task } from './Daemon';
import DaemonMetrics from './DaemonMetrics';
import Inspection from './Inspection';
import type Listener from './Listener';
import { bindListeners, createListeners, type Listeners } from './listeners';
import LogWriter from './LogWriter';
import EventLoopLag from './EventLoopLag';
import Readiness from './Readiness';
import serveOperators from './serveOperators';
import servePeers from './servePeers';
import type SettingsHolder from './SettingsHolder';
import StartupRecall from './StartupRecall';
import UpstreamRegistration from './UpstreamRegistration';
import WithdrawalKeeper from './WithdrawalKeeper';

/** Maximum number of peers' `changes` and `sync` requests that are processed at a time. */
const MAX_CONCURRENT_PEER_QUERIES = 8;
/** Number of configuration checkpoints written per retention period of the log. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Number of times a daemon renews its contact record per retention period of the log. */
const CONTACT_RENEWALS_PER_RETENTION = 4;
/**
 * Number of rank delays in a checkpoint interval. The daemons of a zone are due to write a
 * checkpoint in the order of their ranks, one rank delay apart.
 */
const RANK_DELAYS_PER_CHECKPOINT = 8;
/**
 * Maximum rank delay: the time between the due times of a checkpoint at daemons of consecutive
 * ranks, in milliseconds.
 */
const MAX_RANK_DELAY_MS = 10_000;
/**
 * Interval, in ms, at which unused channels to other daemons are closed and the load balancer
 * discards unused state.
 */
const IDLE_SWEEP_INTERVAL_MS = 60_000;
const MS_PER_SECOND = 1_000;
/** Upper bound of the number of a daemon's run, in the counts of rollouts. */
const RUN_BOUND = 2 ** 31;
/**
 * Upper bound of the random incarnation with which a daemon starts. If a peer knows a higher
 * incarnation of this daemon, the daemon raises its own.
 */
const INITIAL_INCARNATION_BOUND = 2 ** 20;

/** Creates the components that all others depend on, such as the clock and the log writer. */
function wireCore(settingsHolder: SettingsHolder) {
  const settings = settingsHolder.current;
  const resources = new ResourceStore();
  const clock = new SystemClock();
  const log = resources.add(
    new LogWriter(settings.daemon.name, settings.logging.lines_per_second, clock),
  );
  return {
    settingsHolder,
    settings,
    resources,
    clock,
    random: new SeededRandom(),
    meter: new SocketMeter(),
    log,
    lag: resources.add(new EventLoopLag(clock, log.logger('daemon'))),
    logger: (part: string) => log.logger(part),
    names: settings.log.kind === 'platform' ? PLATFORM_HEADERS : DEFAULT_HEADER_NAMES,
  };
}

type Core = ReturnType<typeof wireCore>;

/** Creates the member table with the record of this daemon. */
function wireMembers({ settings, resources, clock, random }: Core, addresses: DaemonAddresses) {
  const { daemon: own, peers } = settings;
  const record: MemberRecord = {
    id: own.name,
    incarnation: (1 + random.below(INITIAL_INCARNATION_BOUND)) as Incarnation,
    sequence: 0,
    zone: own.zone,
    address: own.advertise ?? addresses.peers,
    control: addresses.control,
    service: null,
    state: 'none',
    healthHint: true,
    slots: null,
    readsLog: true,
    linkMbps: own.link_mbps,
    health: 'alive',
  };
  const timeouts = {
    suspicionMs: peers.suspicion,
    tombstoneMs: peers.tombstone,
    partitionTimeoutMs: peers.cut,
  };
  return resources.add(new MemberTable(record, timeouts, clock));
}

/** Where the configuration is read from, and where the contacts of daemons are stored. */
interface ConfigurationSource {
  readonly logReader: { readonly state: LogReaderState };
  readonly contacts: ContactStore;
  /** Where withdrawals are stored; `undefined` if only peers keep them. */
  readonly withdrawals: WithdrawalStore | undefined;
  /** Where the states of rollouts are recorded; `undefined` if peers alone decide. */
  readonly rollouts: RolloutStore | undefined;
  /** Interval at which the daemon renews its contact record, in milliseconds. */
  readonly refreshMs: number;
  readonly checkpointsWritten: () => number;
  /** Whether this daemon has read the newest configuration since its start. */
  readonly hasRead: () => boolean;
  readonly tasks: readonly Task[];
}

/** Reads publications from azurestream's own log streams. */
function wireStreams(
  core: Core,
  members: MemberTable,
  heads: PeerHeadTracker,
  doubt: ReaderDoubt,
  proof: FreshnessProof | undefined,
): ConfigurationSource {
  const { settings, resources, clock, random, meter, logger } = core;
  const {
    address,
    stream_prefix: prefix,
    retention,
    readers_per_zone: readers,
    stale,
  } = settings.log;
  const log = resources.add(new HttpLog(address, prefix, meter));
  const readerOptions = { readersPerZone: readers, staleMs: stale };
  const logReader = resources.add(
    new LogTailer(
      log,
      heads,
      members,
      mergePublication,
      readerOptions,
      doubt,
      clock,
      random,
      logger('log'),
      proof,
    ),
  );
  const intervalMs = retention / CHECKPOINTS_PER_RETENTION;
  const checkpointSchedule = {
    intervalMs,
    rankDelayMs: Math.min(MAX_RANK_DELAY_MS, intervalMs / RANK_DELAYS_PER_CHECKPOINT),
    staleMs: stale,
  };
  const checkpoints = resources.add(
    new CheckpointWriter(
      log,
      logReader,
      heads,
      members,
      checkpointSchedule,
      clock,
      random,
      logger('checkpoint'),
    ),
  );
  return {
    logReader,
    contacts: new LogContacts(log, logger('join')),
    withdrawals: undefined,
    rollouts: undefined,
    refreshMs: retention / CONTACT_RENEWALS_PER_RETENTION,
    checkpointsWritten: () => checkpoints.count,
    hasRead: () => logReader.state.anchored,
    tasks: [(signal) => logReader.run(signal), (signal) => checkpoints.run(signal)],
  };
}

/** Reads complete configurations from the platform's store. */
function wirePlatform(
  core: Core,
  members: MemberTable,
  heads: PeerHeadTracker,
  doubt: ReaderDoubt,
  proof: FreshnessProof | undefined,
): ConfigurationSource {
  const { settings, resources, clock, random, meter, logger } = core;
  const {
    address,
    retention,
    readers_per_zone: readersPerZone,
    reader_zones: readerZones,
    stale: staleMs,
  } = settings.log;
  const store = resources.add(
    new PlatformStore(settings.daemon.name, address, meter, logger('store'), clock),
  );
  const watcher = resources.add(
    new ConfigurationWatcher(
      store,
      heads,
      members,
      { readersPerZone, readerZones, staleMs },
      doubt,
      clock,
      random,
      logger('store'),
      proof,
    ),
  );
  return {
    logReader: watcher,
    contacts: store,
    withdrawals: store,
    rollouts: store,
    refreshMs: retention / CONTACT_RENEWALS_PER_RETENTION,
    checkpointsWritten: () => 0,
    hasRead: () => watcher.hasRead,
    tasks: [(signal) => watcher.run(signal)],
  };
}

/** Creates the proof that the version in force is recent, if a bound of revocation is set. */
function wireProof({ settings, clock }: Core, versions: VersionStore): FreshnessProof | undefined {
  const boundMs = settings.organisations.revocation;
  if (boundMs === undefined) return undefined;
  const options = {
    boundMs,
    checksKeys: () => versions.snapshot?.configuration.keysRequired ?? false,
  };
  const inForce = () => versions.snapshot?.head.version ?? null;
  return new FreshnessProof(inForce, options, clock, () => Date.now());
}

/** Creates the store of the configuration in force and the components that keep it current. */
function wireConfiguration(core: Core, members: MemberTable) {
  const { settings, resources, clock, logger } = core;
  const merge = settings.log.kind === 'platform' ? mergeAccepted : mergeSteps;
  const versions = resources.add(new VersionStore(merge, clock));
  const heads = resources.add(new PeerHeadTracker(versions, clock, logger('configuration')));
  const wireSource = settings.log.kind === 'platform' ? wirePlatform : wireStreams;
  const doubt = resources.add(new ReaderDoubt(clock));
  const proof = wireProof(core, versions);
  return { versions, heads, doubt, proof, source: wireSource(core, members, heads, doubt, proof) };
}

type ConfigurationComponents = ReturnType<typeof wireConfiguration>;

/** Creates the rollouts, which take their orders from the store or from the configuration in force. */
function wireRollouts(
  { settingsHolder, settings, resources, clock, random, logger }: Core,
  members: MemberTable,
  { versions, heads, source }: ConfigurationComponents,
): Rollouts {
  const log = logger('rollout');
  const reachable = () =>
    members
      .live()
      .filter(({ health }) => health === 'alive')
      .map(({ id }) => id);
  const rollouts = resources.add(
    new Rollouts({
      daemon: settings.daemon.name,
      run: random.below(RUN_BOUND),
      limits: () => settingsHolder.current.rollouts,
      upstreams: (service) => members.upstreams(service),
      members: () => members.live().map(({ id }) => id),
      isStoreCurrent: () => {
        const { confirmedAt } = heads.knowledge;
        return confirmedAt !== undefined && clock.now() - confirmedAt <= settings.log.stale;
      },
      hasStore: source.rollouts !== undefined,
      clock,
      logger: log,
    }),
  );
  let isStarting = true;
  versions.onActivate(({ head, configuration: { rollouts: orders } }) => {
    for (const order of orders.values()) {
      const known = rollouts.get(order.service)?.order;
      const isSame = known?.version === order.version && known.durationMs === order.durationMs;
      if (!isSame) rollouts.order({ ...order, number: head.version }, !isStarting);
    }
    isStarting = false;
  });
  const { rollouts: store } = source;
  if (!store) return rollouts;
  store.onOrders((readings) => {
    for (const { order, isNew } of readings) rollouts.order(order, isNew);
  });
  resources.add(
    new RolloutRecorder(rollouts, store, settings.daemon.name, reachable, clock, random, log),
  );
  return rollouts;
}

/** Creates the links to other daemons and the discovery of the first peers. */
function wirePeers(
  core: Core,
  members: MemberTable,
  { heads, source, doubt, proof }: ConfigurationComponents,
  rollouts: Rollouts,
) {
  const { settings, resources, clock, random, meter, logger } = core;
  const gossip = resources.add(new Gossip(members, heads, clock, logger('peer'), rollouts));
  const fetchLease = new FetchLease(clock);
  const peerClient = new PeerClient(meter);
  const heartbeatIntervalMs = settings.peers.heartbeat;
  const services = {
    members,
    heads,
    gossip,
    fetchLease,
    meter,
    clock,
    proof,
    doubt,
    logger: logger('peer'),
    heartbeatIntervalMs,
  };
  const overlay = resources.add(new Overlay(services, peerClient, clock, random));
  const joinOptions = {
    seeds: () => core.settingsHolder.current.peers.seeds,
    refreshMs: source.refreshMs,
  };
  const joiner = resources.add(
    new Joiner(source.contacts, members, overlay, joinOptions, clock, random, logger('join')),
  );
  const recall = resources.add(new StartupRecall(settings.daemon.name));
  overlay.onSync((records) => recall.receiveRecords(records));
  joiner.onLookEnd(() => recall.end());
  return { gossip, fetchLease, peerClient, overlay, joiner, recall };
}

type PeerComponents = ReturnType<typeof wirePeers>;

/** Creates the registration of the local upstream and the transport to remote upstreams. */
function wireUpstreams(
  core: Core,
  members: MemberTable,
  { versions, source }: ConfigurationComponents,
  { peerClient, overlay, recall }: PeerComponents,
  rollouts: Rollouts,
) {
  const { settings, resources, clock, random, names, lag, logger } = core;
  const attempts = new AttemptRegistry(DEFAULT_REGISTRY_OPTIONS, clock);
  const runs = new UpstreamRuns(clock);
  const { calls } = settings;
  const channels = resources.add(
    new CallChannels(settings.daemon.name, calls.connect, clock, logger('peer')),
  );
  const liveness = resources.add(
    new PeerLiveness(
      async (address) => {
        // The ping checks the existing channel to the daemon, the probe a new connection to it.
        channels.ping(address);
        const result = await probeDaemon(address);
        if (result === 'answers') channels.retireIfSilent(address);
        return result;
      },
      channels,
      { silenceMs: calls.quiet },
      clock,
      logger('peer'),
    ),
  );
  const { zone } = settings.daemon;
  const overflow = new ZoneOverflow(
    zone,
    {
      kilobyteMs: settings.zones.kilobyte_ms,
      roundTripMs: (other) => overlay.roundTripMs(other),
    },
    clock,
    logger('zones'),
  );
  const forecast = new ForecastBalancer(members, liveness, zone, overflow, clock, random);
  const registration = resources.add(
    new UpstreamRegistration({
      members,
      relay: (service) => forecast.relay(service),
      recall,
      keeper: new WithdrawalKeeper(overlay, source.withdrawals, logger('upstream')),
      versions,
      attempts,
      runs,
      names,
      lagMs: () => lag.currentMs,
      waitedMs: () => lag.maxReadDelayMs,
      leaseMs: settings.upstream.lease,
      clock,
      timeOfDay: () => Date.now(),
      processStartedAt: Date.now() - performance.now(),
      logger: logger('upstream'),
    }),
  );
  source.withdrawals?.onRecall((withdrawals) => registration.recall(withdrawals));
  source.withdrawals?.onRestore(() => registration.storeWithdrawalsAgain());
  const balancer = new RolloutRouter(
    forecast,
    rollouts,
    (service) => members.upstreams(service),
    () => core.settingsHolder.current.rollouts.hold,
    clock,
    random,
  );
  const sweepTimer = setInterval(() => {
    forecast.forgetUnused();
    channels.closeIdle();
  }, IDLE_SWEEP_INTERVAL_MS).unref();
  resources.add({ dispose: () => clearInterval(sweepTimer) });
  const transport = new RoutingTransport(
    settings.daemon.name,
    () => registration.local?.upstream,
    new PeerTransport(channels, createFence(peerClient), liveness, calls.silence, clock),
  );
  return { attempts, runs, registration, balancer, overflow, transport };
}

type UpstreamComponents = ReturnType<typeof wireUpstreams>;

/** Creates the metrics, which read the state of the other components. */
function wireMetrics(
  { clock, meter, log, lag }: Core,
  members: MemberTable,
  { versions, heads, proof, source: { logReader } }: ConfigurationComponents,
  { overlay }: PeerComponents,
  { registration }: UpstreamComponents,
) {
  return new DaemonMetrics({
    version: () => heads.head?.version ?? -1,
    knowledgeAgeSeconds: () => {
      const { confirmedAt } = heads.knowledge;
      return confirmedAt === undefined ? -1 : (clock.now() - confirmedAt) / MS_PER_SECOND;
    },
    proofAgeSeconds: () => (proof?.current ? proof.ageMs / MS_PER_SECOND : -1),
    newestVersionHeard: () => heads.newestVersionHeard ?? -1,
    versionBehindSeconds: () => heads.behindMs / MS_PER_SECOND,
    versionsRefused: () => heads.refusedCount,
    closedEntries: () => versions.snapshot?.closed.length ?? 0,
    members: () => members.live().length,
    suspects: () => members.live().filter(({ health }) => health === 'suspect').length,
    links: () => overlay.state.filter(({ up }) => up).length,
    upstreamLoad: () => registration.load,
    controlBytesReceived: () => meter.bytes.received,
    controlBytesSent: () => meter.bytes.sent,
    loopLagSeconds: () => lag.currentMs / MS_PER_SECOND,
    logLinesLost: () => log.lostLines,
    logReads: () => logReader.state.reads,
    logFailures: () => logReader.state.failures,
    unknownSchema: () => (logReader.state.unknownSchema === undefined ? 0 : 1),
  });
}

/** Creates the quotas of organisations, which daemons share. */
function wireQuotas(
  { settingsHolder, settings, resources, clock, random, meter, logger }: Core,
  members: MemberTable,
  { versions }: ConfigurationComponents,
  { joiner }: PeerComponents,
  metrics: DaemonMetrics,
) {
  return resources.add(
    new QuotaExchange({
      members,
      versions,
      meter,
      clock: new SuspendAwareClock(clock, () => Date.now()),
      random,
      logger: logger('quota'),
      tolerance: () => {
        const { window, over, slack } = settingsHolder.current.organisations;
        return { windowMs: window, over, slack };
      },
      hasContacts: () => joiner.hasContacts,
      aloneMs: settings.peers.tombstone,
      onRefusal: metrics.onQuotaRefusal,
    }),
  );
}

/** Reads the request body limit from the version in force, or from the settings if that sets none. */
function maxBodyBytesReader({ current }: SettingsHolder, versions: VersionStore): () => number {
  const fallback = current.calls.max_body_bytes;
  return () => versions.snapshot?.configuration.limits?.maxBodyBytes ?? fallback;
}

/** Creates the handler of callers' requests. */
function wireCalls(
  { settingsHolder, settings, clock, random, lag, names, logger }: Core,
  members: MemberTable,
  { versions, heads, proof }: ConfigurationComponents,
  { balancer, transport, runs }: UpstreamComponents,
  metrics: DaemonMetrics,
  quotas: QuotaExchange,
  readiness: Readiness,
  acceptDelays: AcceptDelays,
  listener: Listener,
  rollouts: Rollouts,
) {
  const { daemon: own, calls } = settings;
  const retries = () => settingsHolder.current.retries;
  let attemptNumber = 0;
  return new CallHandler({
    versions,
    directory: members,
    balancer,
    transport,
    clock,
    random,
    retryAdvice: new RetryAdvice(random),
    names,
    logger: logger('call'),
    daemon: own.name,
    callerService: own.service,
    incarnation: () => members.self.incarnation,
    nextAttempt: () => {
      attemptNumber += 1;
      return attemptNumber as AttemptNumber;
    },
    limits: {
      maxBodyBytes: maxBodyBytesReader(settingsHolder, versions),
      maxOpenCalls: calls.max_open,
      bodyMemoryBytes: calls.body_memory,
    },
    retryAllowance: {
      windowMs: () => retries().window,
      slack: () => retries().slack / (retries().shared ? members.live().length : 1),
      isShared: () => retries().shared,
      maxShare: () => retries().ratio ?? 1,
    },
    localRuns: runs,
    lagMs: () => lag.currentMs,
    waitedMs: () => lag.maxReadDelayMs,
    onAttempt: metrics.onAttempt,
    onAttemptEnd: rollouts.record,
    onCallEnd: metrics.onCall,
    overloadGuard: new OverloadGuard(() => lag.currentMs, random),
    acceptedAfterMs: (socket) => acceptDelays.takeMaxDelayMs(socket),
    positionOf: (response) => listener.positionOf(response),
    takeCredit: (organisation, quota) => quotas.take(organisation, quota),
    isCurrent: () => readiness.isCurrent,
    awaitsNewerVersion: () => heads.awaitsNewerVersion,
    proof,
    onKeyRefused: metrics.onKeyRefused,
  });
}

/** Applies the timeouts of each new version to the listener for callers. */
function applyListenerTimeouts(versions: VersionStore, listener: Listener): void {
  versions.onActivate(({ configuration: { limits } }) => {
    listener.setTimeouts(limits?.headerTimeoutMs, limits?.idleTimeoutMs);
  });
}

/** Serves the platform: the readiness endpoint and the heartbeats of the upstream on this VM. */
function servePlatform(
  { logger }: Core,
  { ready, announcements }: Listeners,
  readiness: Readiness,
  registration: UpstreamRegistration,
): void {
  ready?.handle((_request, response) => {
    response.writeHead(readiness.isReady ? 200 : 503);
    response.end();
  });
  announcements?.handle(createHeartbeatApp(registration, logger('upstream')));
}

/**
 * Binds the addresses and creates all components.
 *
 * @param settingsHolder - Validated settings.
 * @returns The daemon. It is listening, but its tasks are not started.
 * @throws If an address can't be bound.
 */
export default async function wireDaemon(settingsHolder: SettingsHolder): Promise<Daemon> {
  const core = wireCore(settingsHolder);
  const { settings, resources, clock, meter, names, logger } = core;
  const listeners = createListeners(settings);
  const acceptDelays = new AcceptDelays(clock, settings.calls.backlog);
  listeners.calls.server.on('connection', (socket) => acceptDelays.recordAccept(socket));
  const addresses = await bindListeners(listeners, settings);
  for (const listener of Object.values(listeners) as (Listener | undefined)[]) {
    if (listener) resources.add(listener);
  }

  const members = wireMembers(core, addresses);
  const configuration = wireConfiguration(core, members);
  const rollouts = wireRollouts(core, members, configuration);
  const peers = wirePeers(core, members, configuration, rollouts);
  const upstreams = wireUpstreams(core, members, configuration, peers, rollouts);
  const metrics = wireMetrics(core, members, configuration, peers, upstreams);
  const quotas = wireQuotas(core, members, configuration, peers, metrics);
  const { versions, heads, source, proof } = configuration;
  const { gossip, fetchLease, peerClient, overlay, joiner } = peers;
  const { attempts, registration, overflow } = upstreams;
  metrics.watchZones(overflow);
  const readiness = new Readiness(
    {
      hasConfiguration: () => versions.snapshot !== undefined,
      isConfirmedByStore: source.hasRead,
      hasReachablePeer: () => overlay.state.some(({ up }) => up),
    },
    clock,
    logger('daemon'),
  );
  const calls = wireCalls(
    core,
    members,
    configuration,
    upstreams,
    metrics,
    quotas,
    readiness,
    acceptDelays,
    listeners.calls,
    rollouts,
  );
  metrics.watchOpenCalls(() => calls.openCalls);
  metrics.watchRollouts(() => rollouts.states);
  applyListenerTimeouts(versions, listeners.calls);
  servePlatform(core, listeners, readiness, registration);

  const router = createPeerRouter({
    members,
    heads,
    gossip,
    fetchLease,
    proof,
    queryQueue: new PQueue({ concurrency: MAX_CONCURRENT_PEER_QUERIES }),
    grantCredits: (request) => quotas.handle(request),
    fence: (attempt, giveUp) => attempts.fence(attempt, giveUp),
    isReachable: (id, address) => peerClient.isReachable(id, address),
  });
  const waitedMs = () => core.lag.maxReadDelayMs;
  const peerCalls = new PeerCallHandler({
    local: () => registration.local,
    incarnation: () => members.self.incarnation,
    names,
    clock,
    waitedMs,
    logger: logger('upstream'),
  });
  resources.add(
    servePeers(
      listeners.peers,
      router,
      (socket, tcpSocket, daemon) => {
        // No reference is kept: the session lives as long as the socket that holds its listeners.
        void new ChannelSession(socket, tcpSocket, daemon, peerCalls, names, clock, waitedMs);
      },
      meter,
    ),
  );
  const app = polka({ onNoMatch: (message, response) => void calls.handle(message, response) });
  listeners.calls.handle(app.handler as never);
  const inspection = new Inspection({
    settings,
    members,
    heads,
    proof,
    logReader: source.logReader,
    checkpointsWritten: source.checkpointsWritten,
    overlay,
    quotas,
    calls,
    attempts,
    registration,
    rollouts,
    meter,
    configuration: () => versions.snapshot?.configuration,
    closed: () => ({
      entries: versions.snapshot?.closed.length ?? 0,
      faults: versions.snapshot?.faults.length ?? 0,
    }),
    clock,
  });
  serveOperators(listeners.control, { inspection, metrics, registration });

  return new Daemon({
    addresses,
    members,
    versions,
    meter,
    registration,
    readiness,
    calls,
    callListener: listeners.calls,
    tasks: [
      ...source.tasks,
      (signal) => overlay.run(signal),
      (signal) => overlay.contactLost(signal),
      ...(proof ? [(signal: AbortSignal) => overlay.requestProofs(signal)] : []),
      (signal) => joiner.run(signal),
      (signal) => quotas.run(signal),
    ],
    resources,
    clock,
    logger: logger('daemon'),
    settings: settingsHolder,
  });
}
