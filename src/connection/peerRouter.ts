/**
 * Remote procedures that a daemon provides to its peers.
 *
 * @packageDocumentation
 */
import { initTRPC } from '@trpc/server';
import type PQueue from 'p-queue';
import type { AttemptId, AttemptState, QuotaReply, QuotaRequest } from '../request/Types';
import type { Address, DaemonId, Incarnation } from '../common/Types';
import type FetchLease from './FetchLease';
import type FreshnessProof from './FreshnessProof';
import type Gossip from './Gossip';
import {
  daemonIdSchema,
  deltaMessageSchema,
  fenceRequestSchema,
  probeRequestSchema,
  syncRequestSchema,
  heartbeatRequestSchema,
  deltaRequestSchema,
} from './messageSchema';
import {
  packQuotaReply,
  quotaRequestSchema,
  unpackQuotaRequest,
  type PackedQuotaReply,
} from './quotaMessages';
import type {
  Heartbeat,
  HeartbeatReply,
  DeltaMessage,
  HeadTracker,
  Membership,
  SyncReply,
  GossipUpdate,
  DeltaRequest,
} from './Types';

/** Longest wait of the `updates` stream for a change before it checks again. */
const UPDATE_WAIT_MS = 60_000;

/** Dependencies of the procedures. */
export interface PeerServices {
  readonly members: Membership;
  readonly heads: HeadTracker;
  readonly gossip: Gossip;
  readonly fetchLease: FetchLease;
  /** Proof that is passed on in replies; `undefined` if no revocation bound is set. */
  readonly proof: FreshnessProof | undefined;
  /** Limits how many requests with large responses are processed at a time. */
  readonly queryQueue: PQueue;
  /** Returns the state of an attempt to run a call here, and forbids it if it has not arrived. */
  readonly fence: (attempt: AttemptId, giveUp: boolean) => AttemptState;
  /** Grants credits of a pool that this daemon owns. */
  readonly grantCredits: (request: QuotaRequest) => QuotaReply;
  /** Probes a member on a new connection. */
  readonly isReachable: (id: DaemonId, address: Address) => Promise<boolean>;
}

/** Response to a fence request. */
export interface FenceReply {
  readonly incarnation: Incarnation;
  /**
   * State of the attempt; null if it was sent to an earlier incarnation of this daemon, whose
   * attempts are unknown.
   */
  readonly state: AttemptState | null;
}

const trpc = initTRPC.create();

/**
 * @param services - Dependencies of the procedures.
 * @returns tRPC router with the procedures.
 */
export function createPeerRouter(services: PeerServices) {
  const { members, heads, gossip, fetchLease } = services;

  function requestDelta(beat: Heartbeat): DeltaRequest | null {
    if (!heads.isBehind(beat) || !fetchLease.tryAcquire()) return null;
    return { base: heads.offer.version, packed: true };
  }

  return trpc.router({
    /** Receives a heartbeat with the member records changed since the previous one. */
    beat: trpc.procedure.input(heartbeatRequestSchema).mutation(({ input }): HeartbeatReply => {
      gossip.receiveRollouts(input.rollouts, input.beat.from);
      gossip.receive(input.records, input.beat.from);
      gossip.recordPeerVersion(input.beat);
      heads.observeHeartbeat(input.beat);
      const beat = gossip.createHeartbeat();
      const { proof } = services;
      return {
        beat: proof ? { ...beat, proof: proof.current } : beat,
        wanted: requestDelta(input.beat),
        rollouts: gossip.rolloutNews(input.beat.from),
      };
    }),

    /** Receives the configuration changes that the reply to a heartbeat requested. */
    deliver: trpc.procedure
      .input(deltaMessageSchema)
      .mutation(async ({ input }): Promise<boolean> => {
        fetchLease.release();
        return (await heads.applyPeerDelta(input, input.from)) !== 'unknown base';
      }),

    /** Streams member changes and new versions to the peer that opened the connection. */
    updates: trpc.procedure.input(daemonIdSchema).subscription(async function* updates({
      input,
      signal,
    }): AsyncGenerator<GossipUpdate> {
      const outbox = gossip.openOutbox(input);
      const ended = signal ?? new AbortController().signal;
      try {
        while (!ended.aborted) {
          await outbox.wait(UPDATE_WAIT_MS, ended);
          const records = outbox.drain();
          const { version } = heads.offer;
          const beat = outbox.isNewerThanPeer(version) ? gossip.createHeartbeat() : null;
          outbox.recordPeerVersion(version);
          const rollouts = gossip.rolloutNews(input);
          if (records.length > 0 || beat || rollouts) yield { records, beat, rollouts };
        }
      } finally {
        gossip.closeOutbox(outbox);
      }
    }),

    /** Returns the configuration changes since a version. */
    changes: trpc.procedure
      .input(deltaRequestSchema)
      .query(({ input }): Promise<DeltaMessage | null> =>
        services.queryQueue.add(async () => (await heads.changesSince(input)) ?? null),
      ),

    /** Anti-entropy: compares bucket digests and returns the records of differing buckets. */
    sync: trpc.procedure.input(syncRequestSchema).mutation(({ input }): Promise<SyncReply> =>
      services.queryQueue.add(() => {
        const own = members.buckets();
        const differing = own.map((_, bucket) => bucket).filter((b) => own[b] !== input.buckets[b]);
        return {
          differing,
          records: members.bucketRecords(differing),
          rollouts: gossip.rolloutHeads,
        };
      }),
    ),

    /** Indirect probe: probes a member on behalf of a peer that failed to reach it. */
    probe: trpc.procedure
      .input(probeRequestSchema)
      .mutation(({ input }): Promise<boolean> => services.isReachable(input.id, input.address)),

    /** Returns the state of an attempt to run a call here, and forbids it if it has not arrived. */
    fence: trpc.procedure.input(fenceRequestSchema).mutation(({ input }): FenceReply => {
      const { incarnation } = members.self;
      const state =
        incarnation === input.target ? services.fence(input.attempt, input.giveUp) : null;
      return { incarnation, state };
    }),

    /** Lends the sender's part of the quotas of a pool, and grants it credits. */
    quota: trpc.procedure
      .input(quotaRequestSchema)
      .mutation(({ input }): PackedQuotaReply =>
        packQuotaReply(services.grantCredits(unpackQuotaRequest(input))),
      ),

    /** Returns the id of this daemon. */
    identity: trpc.procedure.query((): DaemonId => members.self.id),
  });
}

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
