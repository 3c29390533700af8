import type { Clock, Offset } from '../common/Types';
import type FreshnessProof from '../connection/FreshnessProof';
import type MemberTable from '../connection/MemberTable';
import type Overlay from '../connection/Overlay';
import type QuotaExchange from '../connection/QuotaExchange';
import type PeerHeadTracker from '../connection/PeerHeadTracker';
import type SocketMeter from '../connection/SocketMeter';
import type { LogReaderState, MemberRecord } from '../connection/Types';
import type AttemptRegistry from '../request/AttemptRegistry';
import type CallHandler from '../request/CallHandler';
import isIdempotent from '../request/isIdempotent';
import type Rollouts from '../rollout/Rollouts';
import type { Configuration, Head } from '../version/Types';
import type { Settings } from './settings';
import type {
  DaemonStatus,
  DaemonDump,
  OrganisationState,
  RouteExplanation,
  RouteState,
} from './Types';
import type UpstreamRegistration from './UpstreamRegistration';

/** The components whose state is reported at the control address. */
export interface InspectionDependencies {
  readonly settings: Settings;
  readonly members: MemberTable;
  readonly heads: PeerHeadTracker;
  /** Proof that the version in force is recent; `undefined` if no bound of revocation is set. */
  readonly proof: FreshnessProof | undefined;
  /** State of the reader of the configuration log. */
  readonly logReader: { readonly state: LogReaderState };
  readonly checkpointsWritten: () => number;
  readonly overlay: Overlay;
  readonly quotas: QuotaExchange;
  readonly calls: CallHandler;
  readonly attempts: AttemptRegistry;
  readonly registration: UpstreamRegistration;
  readonly rollouts: Rollouts;
  readonly meter: SocketMeter;
  readonly configuration: () => Configuration | undefined;
  /** Number of entries of the version in force that are closed, and of faults in it. */
  readonly closed: () => { readonly entries: number; readonly faults: number };
  readonly clock: Clock;
}

/** The configuration in force, for the commands `pull` and `diff`. */
export interface HeadReport {
  readonly head: Head | null;
  /** Offset after the last log record that `head` reflects. */
  readonly through: Offset;
}

/** Reports the state of this daemon at the control address. Read-only. */
export default class Inspection {
  private readonly startedAt: number;

  /** @param dependencies - The components whose state is reported. */
  public constructor(private readonly dependencies: InspectionDependencies) {
    this.startedAt = dependencies.clock.now();
  }

  /** @returns The version in force, the age of the last confirmation, and problems. */
  public status(): DaemonStatus {
    const { members, heads } = this.dependencies;
    const { id, incarnation, zone } = members.self;
    return {
      id,
      incarnation,
      zone,
      version: heads.head?.version ?? null,
      digest: heads.head?.digest ?? null,
      knowledgeAgeMs: this.knowledgeAgeMs(),
      proofAgeMs: this.proofAgeMs(),
      problems: this.problems(),
      quotas: this.dependencies.quotas.state.organisations,
      rollouts: this.dependencies.rollouts.states.filter(({ verdict }) => verdict === null),
    };
  }

  /** @returns Every live daemon in the member table, including this one. */
  public members(): readonly MemberRecord[] {
    return this.dependencies.members.live();
  }

  /** @returns The configuration folder in force on this daemon. */
  public head(): HeadReport {
    const { heads } = this.dependencies;
    return { head: heads.head ?? null, through: heads.knowledge.through };
  }

  /** @returns The complete state, for debugging. */
  public dump(): DaemonDump {
    const { dependencies } = this;
    const { heapUsed, rss } = process.memoryUsage();
    return {
      status: this.status(),
      uptimeMs: Math.round(dependencies.clock.now() - this.startedAt),
      settings: dependencies.settings,
      configuration: this.configuration(),
      log: {
        ...dependencies.logReader.state,
        checkpointsWritten: dependencies.checkpointsWritten(),
      },
      members: dependencies.members.all(),
      links: dependencies.overlay.state,
      gossip: dependencies.overlay.counts,
      calls: { open: dependencies.calls.openCalls, rememberedAttempts: dependencies.attempts.size },
      quotas: dependencies.quotas.state,
      upstream: dependencies.registration.status,
      rollouts: dependencies.rollouts.states,
      controlBytes: dependencies.meter.bytes,
      memory: { residentBytes: rss, heapBytes: heapUsed },
    };
  }

  /**
   * Explains how a call would be routed.
   *
   * @param method - HTTP method.
   * @param host - Host header; if it is empty, only routes without a host can match.
   * @param path - Path, with or without the query.
   * @returns The matching route, the files that define it, and its upstreams.
   */
  public explain(method: string, host: string, path: string): RouteExplanation {
    const { heads, calls, members } = this.dependencies;
    const configuration = this.dependencies.configuration();
    const route = calls.match(method, host, path) ?? null;
    const targets = route?.targets.map(({ service }) => service) ?? [];
    const services = targets.flatMap((name) => configuration?.services.get(name) ?? []);
    const keys = [`route.${route?.name}`, ...targets.map((name) => `service.${name}`)];
    return {
      method,
      host,
      path,
      version: heads.head?.version ?? null,
      route,
      files: configuration?.provenance.filter(({ key }) => keys.includes(key)) ?? [],
      service: services[0] ?? null,
      services,
      idempotent: route && isIdempotent(route, method),
      needsKey: route !== null && !route.isPublic && (configuration?.keysRequired ?? false),
      organisations: this.organisations(),
      proofAgeMs: this.proofAgeMs(),
      upstreams: targets.flatMap((name) => members.upstreams(name)),
      refusal: calls.predictRefusal(method, host, path)?.reason ?? null,
    };
  }

  private configuration(): DaemonDump['configuration'] {
    const configuration = this.dependencies.configuration();
    const { head } = this.dependencies.heads;
    if (!configuration || !head) return null;
    const { members } = this.dependencies;
    const routes = [...configuration.routes.values()].map((route): RouteState => {
      const unavailable = route.targets.find(
        ({ service }) => members.upstreams(service).length === 0,
      );
      const reason =
        route.closed ??
        (unavailable ? `service ${unavailable.service} has no upstream that serves` : null);
      return { ...route, inForce: reason === null, reason };
    });
    return {
      files: head.folder.map(({ name }) => name),
      services: [...configuration.services.values()],
      routes,
      organisations: this.organisations(),
      provenance: configuration.provenance,
    };
  }

  private organisations(): OrganisationState[] {
    const organisations = this.dependencies.configuration()?.organisations.values() ?? [];
    return [...organisations].map(({ keys, ...organisation }) => ({
      ...organisation,
      keys: keys.length,
    }));
  }

  private proofAgeMs(): number | null {
    return this.dependencies.proof?.current?.ageMs ?? null;
  }

  private knowledgeAgeMs(): number | null {
    const { confirmedAt } = this.dependencies.heads.knowledge;
    return confirmedAt === undefined
      ? null
      : Math.round(this.dependencies.clock.now() - confirmedAt);
  }

  private problems(): string[] {
    const { heads, logReader, settings, members, overlay } = this.dependencies;
    const { unknownSchema, noProofReason, failures, reading } = logReader.state;
    const age = this.knowledgeAgeMs();
    const problems: string[] = [];
    if (!heads.head) problems.push('no configuration is in force');
    if (age === null || age > settings.log.stale) {
      problems.push(
        `can't confirm that this is current: knowledge is ${age ?? 'infinitely many'} ms old`,
      );
    }
    const { proof } = this.dependencies;
    if (proof?.isNeeded && !proof.isFresh) {
      problems.push(
        `refuses keys: the proof of the version in force is ${this.proofAgeMs() ?? 'infinitely many'} ms old`,
      );
    }
    if (proof?.isNeeded && noProofReason !== undefined) {
      problems.push(`reads of the store prove nothing: ${noProofReason}`);
    }
    if (unknownSchema !== undefined) {
      problems.push(`a record of schema ${unknownSchema} can't be read`);
    }
    const { entries, faults } = this.dependencies.closed();
    if (entries + faults > 0) {
      problems.push(`${entries} entries of the version in force are closed, ${faults} are faulty`);
    }
    if (heads.refusedHead) problems.push(heads.refusedHead.message);
    if (reading && failures > 0 && age !== null && age > settings.log.stale) {
      problems.push('reads of the log fail');
    }
    if (members.live().length > 1 && !overlay.state.some(({ up }) => up)) {
      problems.push('no peer answers');
    }
    return problems;
  }
}
