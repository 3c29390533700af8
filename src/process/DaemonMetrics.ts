import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { OrganisationName } from '../common/Types';
import type { RolloutState } from '../rollout/Rollout';
import type { CallReport } from '../request/CallHandler';
import type { KeyRefusal } from '../request/Types';
import type ZoneOverflow from '../request/ZoneOverflow';

/** Upper bounds of the buckets of the call duration histogram, in seconds. */
const CALL_BUCKETS_SECONDS = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10,
];
const MS_PER_SECOND = 1_000;
/** Number of organisations with metrics of their own; the calls of others are counted together. */
const MAX_ORGANISATIONS = 100;
/** Label of the organisations without metrics of their own; one of this name is counted with them. */
const OTHER_ORGANISATIONS = '(other)';
/**
 * Part of the names of the metrics library's own event loop lag metrics, which `loop_lag_seconds`
 * replaces.
 */
const LIBRARY_LAG_METRIC = 'eventloop_lag';
/**
 * Interval at which the metrics library measures the event loop's lag, in milliseconds: a day, which
 * in effect disables it. Its default timer would wake the process a hundred times a second.
 */
const LIBRARY_LAG_INTERVAL_MS = 86_400_000;

/** Functions that return the current value of each gauge; called for each scrape. */
export interface Gauges {
  readonly version: () => number;
  readonly knowledgeAgeSeconds: () => number;
  readonly proofAgeSeconds: () => number;
  readonly newestVersionHeard: () => number;
  readonly versionBehindSeconds: () => number;
  readonly versionsRefused: () => number;
  readonly closedEntries: () => number;
  readonly members: () => number;
  readonly suspects: () => number;
  readonly links: () => number;
  readonly upstreamLoad: () => number;
  readonly controlBytesReceived: () => number;
  readonly controlBytesSent: () => number;
  readonly loopLagSeconds: () => number;
  readonly logLinesLost: () => number;
  readonly logReads: () => number;
  readonly logFailures: () => number;
  readonly unknownSchema: () => number;
}

/** Metric name, without the prefix `azurestream_`, and help text of each gauge. */
const SPECS: Readonly<Record<keyof Gauges, readonly [name: string, help: string]>> = {
  version: ['version', 'Version of the configuration in force; -1 where none is.'],
  knowledgeAgeSeconds: [
    'knowledge_age_seconds',
    'Time since the head was last confirmed; -1 where never.',
  ],
  proofAgeSeconds: [
    'proof_age_seconds',
    'Age of the proof that the version in force is recent; -1 where there is none.',
  ],
  newestVersionHeard: [
    'version_newest_heard',
    'Newest version that the log or a peer is known to have; -1 where none.',
  ],
  versionBehindSeconds: [
    'version_behind_seconds',
    'Time since a version newer than the one in force was first heard of.',
  ],
  versionsRefused: ['versions_refused', 'Versions that were received and refused as invalid.'],
  closedEntries: [
    'closed_entries',
    'Entries of the version in force whose calls are refused, as they are closed.',
  ],
  members: ['members', 'Live daemons known.'],
  suspects: ['members_suspect', 'Live daemons that were lost from sight.'],
  links: ['links_up', 'Links to peers that answer.'],
  upstreamLoad: ['upstream_load', 'Calls at the upstream here, in parts of its slots.'],
  controlBytesReceived: ['control_received_bytes', 'Bytes received from peers and the log.'],
  controlBytesSent: ['control_sent_bytes', 'Bytes sent to peers and the log.'],
  loopLagSeconds: ['loop_lag_seconds', 'How late the event loop runs; calls are shed by it.'],
  logLinesLost: ['log_lines_lost', 'Log lines that were left out or had no reader.'],
  logReads: ['log_reads', 'Reads of the configuration stream.'],
  logFailures: ['log_failures', 'Reads of the configuration stream that failed.'],
  unknownSchema: [
    'schema_unknown',
    '1 while a record of an unknown schema holds this daemon back.',
  ],
};

/** Metrics of a daemon, in the Prometheus text format. */
export default class DaemonMetrics {
  private readonly registry = new Registry();

  private readonly calls: Counter<'outcome'>;

  private readonly attempts: Counter<'kind'>;

  private readonly keysRefused: Counter<'reason'>;

  private readonly quotaRefusals: Counter<'organisation' | 'reason'>;

  private readonly organisations = new Set<OrganisationName>();

  private readonly durations: Histogram;

  /** @param gauges - Functions that return the gauges' current values; called for each scrape. */
  public constructor(gauges: Gauges) {
    const { registry } = this;
    // The daemon's own metrics come first, as some collectors keep only the start of a scrape.
    for (const key of Object.keys(SPECS) as (keyof Gauges)[]) this.gauge(SPECS[key], gauges[key]);
    this.calls = new Counter({
      name: 'azurestream_calls_total',
      help: 'Calls by outcome.',
      labelNames: ['outcome'],
      registers: [registry],
    });
    this.attempts = new Counter({
      name: 'azurestream_attempts_total',
      help: 'Attempts by kind: first, retry or hedge.',
      labelNames: ['kind'],
      registers: [registry],
    });
    this.keysRefused = new Counter({
      name: 'azurestream_keys_refused_total',
      help: 'Calls refused for their key: none, an unknown one, or an old proof of the version.',
      labelNames: ['reason'],
      registers: [registry],
    });
    this.quotaRefusals = new Counter({
      name: 'azurestream_quota_refusals_total',
      help: 'Calls refused for the quota of their organisation, by reason: over or cut.',
      labelNames: ['organisation', 'reason'],
      registers: [registry],
    });
    this.durations = new Histogram({
      name: 'azurestream_call_duration_seconds',
      help: 'Time from the head of a request to the end of its answer.',
      buckets: CALL_BUCKETS_SECONDS,
      registers: [registry],
    });
    collectDefaultMetrics({
      register: registry,
      prefix: 'azurestream_',
      eventLoopMonitoringPrecision: LIBRARY_LAG_INTERVAL_MS,
    });
    for (const { name } of registry.getMetricsAsArray()) {
      if (name.includes(LIBRARY_LAG_METRIC)) registry.removeSingleMetric(name);
    }
  }

  /**
   * Adds the gauge of open calls. It can't be passed to the constructor, because the call handler is
   * constructed with these metrics.
   *
   * @param read - Returns the number of calls that haven't ended.
   */
  public watchOpenCalls(read: () => number): void {
    this.gauge(['calls_open', 'Calls that have not ended.'], read);
  }

  /** @param overflow - Decides which share of the calls to each service leaves the zone. */
  public watchZones(overflow: Pick<ZoneOverflow, 'shares' | 'changes'>): void {
    const shares: Gauge = new Gauge({
      name: 'azurestream_zone_leave_share',
      help: 'Share of the calls to a service that is sent to other zones.',
      labelNames: ['service'],
      registers: [this.registry],
      collect: () => {
        shares.reset();
        for (const [service, share] of overflow.shares) shares.set({ service }, share);
      },
    });
    this.gauge(
      ['zone_leave_changes', 'Changes of the shares of calls that leave the zone.'],
      () => overflow.changes,
    );
  }

  /**
   * Adds the gauges of rollouts. Their labels are bounded by the number of services with orders.
   *
   * @param read - Returns the state of all rollouts.
   */
  public watchRollouts(read: () => readonly RolloutState[]): void {
    const labels = (states: RolloutState) => ({ service: states.service, version: states.version });
    const share: Gauge<'service' | 'version'> = new Gauge({
      name: 'azurestream_rollout_share',
      help: 'Share of the calls of a service that its ordered version gets.',
      labelNames: ['service', 'version'],
      registers: [this.registry],
      collect: () => {
        share.reset();
        for (const state of read()) share.set(labels(state), state.share);
      },
    });
    const responses: Gauge<'service' | 'version' | 'result'> = new Gauge({
      name: 'azurestream_rollout_responses',
      help: 'Responses of the ordered version at all daemons that are known here, and the bad ones.',
      labelNames: ['service', 'version', 'result'],
      registers: [this.registry],
      collect: () => {
        responses.reset();
        for (const state of read()) {
          const { target, bad } = state.responses;
          responses.set({ ...labels(state), result: 'all' }, target);
          responses.set({ ...labels(state), result: 'bad' }, bad);
        }
      },
    });
  }

  /** @param report - Outcome and duration of a call that has ended. */
  public readonly onCall = (report: CallReport): void => {
    this.calls.inc({ outcome: report.outcome });
    this.durations.observe(report.durationMs / MS_PER_SECOND);
  };

  /** @param kind - Kind of an attempt that was started. */
  public readonly onAttempt = (kind: 'first' | 'retry' | 'hedge'): void => {
    this.attempts.inc({ kind });
  };

  /** @param reason - Why a call was refused for its key. */
  public readonly onKeyRefused = (reason: KeyRefusal): void => {
    this.keysRefused.inc({ reason });
  };

  /**
   * @param organisation - Organisation whose call was refused for its quota.
   * @param isCut - Whether too few daemons could be reached to share the quota.
   */
  public readonly onQuotaRefusal = (organisation: OrganisationName, isCut: boolean): void => {
    const { organisations } = this;
    if (organisations.size < MAX_ORGANISATIONS) organisations.add(organisation);
    const label = organisations.has(organisation) ? organisation : OTHER_ORGANISATIONS;
    this.quotaRefusals.inc({ organisation: label, reason: isCut ? 'cut' : 'over' });
  };

  /** @returns All metrics in the Prometheus text format. */
  public scrape(): Promise<string> {
    return this.registry.metrics();
  }

  private gauge([name, help]: (typeof SPECS)[keyof Gauges], read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `azurestream_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }
}
