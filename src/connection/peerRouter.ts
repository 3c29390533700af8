/**
 * Procedures that a daemon offers its peers.
 *
 * @packageDocumentation
 */
import { initTRPC } from '@trpc/server';
import type PQueue from 'p-queue';
import type { AttemptId, AttemptState } from '../request/Types';
import type { Address, DaemonId, Incarnation } from '../common/Types';
import type FetchSlot from './FetchSlot';
import type Gossip from './Gossip';
import {
  daemonIdSchema,
  deltaMessageSchema,
  fenceSchema,
  probeSchema,
  syncSchema,
  beatRequestSchema,
  wantedSchema,
} from './messageSchema';
import type {
  BeatReply,
  BeatRequest,
  DeltaMessage,
  HeadTracker,
  Membership,
  SyncReply,
  Update,
  WantedChanges,
} from './Types';

const IDLE_WAIT_MS = 60_000;

/** What the procedures use. */
export interface PeerServices {
  readonly members: Membership;
  readonly heads: HeadTracker;
  readonly gossip: Gossip;
  readonly fetchSlot: FetchSlot;
  /** Bounds how many peers are given long answers at once. */
  readonly admission: PQueue;
  /** Tells what became of an attempt and forbids it if it never came. */
  readonly fence: (attempt: AttemptId, giveUp: boolean) => AttemptState;
  /** Tries to reach a member on a new connection. */
  readonly reach: (id: DaemonId, address: Address) => Promise<boolean>;
}

/** Answer to a fence. */
export interface FenceReply {
  readonly incarnation: Incarnation;
  /** Null where the attempt was sent to an earlier incarnation, of which nothing is known. */
  readonly state: AttemptState | null;
}

const trpc = initTRPC.create();

/**
 * @param services - What the procedures use.
 * @returns The router.
 */
export function createPeerRouter(services: PeerServices) {
  const { members, heads, gossip, fetchSlot } = services;

  function wantedFrom(update: BeatRequest): WantedChanges | null {
    if (!heads.isBehind(update.beat) || !fetchSlot.take()) return null;
    return { base: heads.knowledge.version };
  }

  return trpc.router({
    /** Heartbeat with what changed since the last one. */
    beat: trpc.procedure.input(beatRequestSchema).mutation(({ input }): BeatReply => {
      gossip.receive(input.records, input.beat.from);
      gossip.noteBeat(input.beat);
      heads.observe(input.beat);
      return { beat: gossip.beat(), wanted: wantedFrom(input) };
    }),

    /** Brings the changes that a reply to a heartbeat asked for. */
    deliver: trpc.procedure.input(deltaMessageSchema).mutation(({ input }): boolean => {
      fetchSlot.free();
      return heads.fromPeer(input);
    }),

    /** Streams what changes here to the peer that opened the connection. */
    updates: trpc.procedure.input(daemonIdSchema).subscription(async function* updates({
      input,
      signal,
    }): AsyncGenerator<Update> {
      const outbox = gossip.open(input);
      const ended = signal ?? new AbortController().signal;
      try {
        while (!ended.aborted) {
          await outbox.wait(IDLE_WAIT_MS, ended);
          const records = outbox.drain();
          const { version } = heads.knowledge;
          const beat = outbox.isNews(version) ? gossip.beat() : null;
          outbox.noteVersion(version);
          if (records.length > 0 || beat) yield { records, beat };
        }
      } finally {
        gossip.close(outbox);
      }
    }),

    /** Gives the changes since a version. */
    changes: trpc.procedure
      .input(wantedSchema)
      .query(({ input }): Promise<DeltaMessage | null> =>
        services.admission.add(() => heads.changesSince(input.base) ?? null),
      ),

    /** Compares member tables bucket by bucket. */
    sync: trpc.procedure.input(syncSchema).mutation(({ input }): Promise<SyncReply> =>
      services.admission.add(() => {
        const own = members.buckets();
        const differing = own.map((_, bucket) => bucket).filter((b) => own[b] !== input.buckets[b]);
        return { differing, records: members.bucketRecords(differing) };
      }),
    ),

    /** Tries to reach a member for a peer that can't. */
    probe: trpc.procedure
      .input(probeSchema)
      .mutation(({ input }): Promise<boolean> => services.reach(input.id, input.address)),

    /** Tells what became of an attempt and forbids it if it never came. */
    fence: trpc.procedure.input(fenceSchema).mutation(({ input }): FenceReply => {
      const { incarnation } = members.self;
      const state =
        incarnation === input.target ? services.fence(input.attempt, input.giveUp) : null;
      return { incarnation, state };
    }),

    /** Says who answers here. */
    identity: trpc.procedure.query((): DaemonId => members.self.id),
  });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
