/**
 * Encoding of the messages between daemons; docs/PROTOCOL.md describes each.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import type {
  Address,
  AttemptNumber,
  DaemonId,
  Incarnation,
  Offset,
  ServiceName,
  VersionNumber,
  ZoneName,
} from '../common/Types';
import { deltaSchema } from '../version/recordSchema';
import type { Beat, BeatRequest, DeltaMessage, MemberRecord, SyncRequest } from './Types';

const MAX_RECORDS = 20_000;
const MAX_BUCKETS = 256;

const brand =
  <Brand>() =>
  (value: unknown) =>
    value as Brand;
const text = <Brand>() => z.string().min(1).max(255).transform(brand<Brand>());
const count = <Brand>() => z.int().min(0).transform(brand<Brand>());

const daemonId = text<DaemonId>();
const incarnation = count<Incarnation>();

/** Id of a daemon. */
export const daemonIdSchema: z.ZodType<DaemonId> = daemonId;

/** A {@link MemberRecord}. */
export const memberSchema: z.ZodType<MemberRecord> = z.object({
  id: daemonId,
  incarnation,
  sequence: z.int().min(0),
  zone: text<ZoneName>(),
  address: text<Address>(),
  control: text<Address>(),
  service: text<ServiceName>().nullable(),
  state: z.enum(['none', 'warming', 'serving', 'draining', 'gone']),
  healthHint: z.boolean(),
  slots: z.int().min(1).nullable(),
  readsLog: z.boolean(),
  health: z.enum(['alive', 'suspect', 'dead']),
});

/** A {@link Beat}. */
export const beatSchema: z.ZodType<Beat> = z.object({
  from: daemonId,
  incarnation,
  version: count<VersionNumber>().nullable(),
  through: count<Offset>(),
  ageMs: z.number().nullable(),
  members: z.string(),
});

/** A {@link BeatRequest}. */
export const beatRequestSchema: z.ZodType<BeatRequest> = z.object({
  records: z.array(memberSchema).max(MAX_RECORDS),
  beat: beatSchema,
});

/** A {@link SyncRequest}. */
export const syncSchema: z.ZodType<SyncRequest> = z.object({
  buckets: z.array(z.string()).max(MAX_BUCKETS),
});

/** A version that a peer asks the changes from. */
export const wantedSchema = z.object({ base: count<VersionNumber>().nullable() });

/** A {@link DeltaMessage}. */
export const deltaMessageSchema: z.ZodType<DeltaMessage> = z.object({
  delta: deltaSchema,
  through: count<Offset>(),
});

/** An {@link AttemptId}, and the incarnation of the daemon that it was sent to. */
export const fenceSchema = z.object({
  attempt: z.object({
    daemon: daemonId,
    incarnation,
    number: count<AttemptNumber>(),
  }),
  target: incarnation,
  giveUp: z.boolean(),
});

/** Asks a peer to reach another one. */
export const probeSchema = z.object({ id: daemonId, address: text<Address>() });
