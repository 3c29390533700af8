/**
 * Validation schemas of the messages between daemons, described in docs/PROTOCOL.md.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import type {
  Address,
  AttemptNumber,
  DaemonId,
  Incarnation,
  InstanceId,
  Offset,
  ServiceName,
  SoftwareVersion,
  VersionNumber,
  ZoneName,
} from '../common/Types';
import isAddress from '../common/isAddress';
import { deltaFieldsSchema, deltaSchema } from '../version/recordSchema';
import type {
  Heartbeat,
  DeltaMessage,
  MemberRecord,
  PackedDelta,
  SyncRequest,
  Withdrawal,
} from './Types';

const MAX_RECORDS_PER_MESSAGE = 20_000;
/** Maximum number of services about whose rollouts a message may tell. */
const MAX_ROLLOUTS_PER_MESSAGE = 64;
const MAX_BUCKETS = 256;
/** Maximum number of withdrawals in a member record; a daemon sends fewer. */
const MAX_WITHDRAWALS = 64;
/** Upper bound of the counters in a member record, so that they can still be incremented. */
const MAX_COUNTER = 2 ** 48;

const brand =
  <Brand>() =>
  (value: unknown) =>
    value as Brand;
const textSchema = <Brand>() => z.string().min(1).max(255).transform(brand<Brand>());
const countSchema = <Brand>() => z.int().min(0).transform(brand<Brand>());

const daemonId = textSchema<DaemonId>();
const incarnation = countSchema<Incarnation>();
const address = z.string().max(255).refine(isAddress).transform(brand<Address>());

/** Schema of a daemon id. */
export const daemonIdSchema: z.ZodType<DaemonId> = daemonId;

/** Schema of a {@link Withdrawal}. */
export const withdrawalSchema: z.ZodType<Withdrawal> = z.object({
  instance: textSchema<InstanceId>(),
  startedAt: z.number(),
  sequence: z.int().min(0).nullable(),
});

/** Schema of a {@link MemberRecord}. */
export const memberSchema: z.ZodType<MemberRecord> = z.object({
  id: daemonId,
  incarnation: z.int().min(0).max(MAX_COUNTER).transform(brand<Incarnation>()),
  sequence: z.int().min(0).max(MAX_COUNTER),
  zone: textSchema<ZoneName>(),
  address,
  control: address,
  service: textSchema<ServiceName>().nullable(),
  state: z.enum(['none', 'warming', 'serving', 'draining', 'gone']),
  healthHint: z.boolean(),
  slots: z.int().min(1).nullable(),
  version: textSchema<SoftwareVersion>().optional(),
  readsLog: z.boolean(),
  linkMbps: z.number().positive().optional(),
  withdrawals: z.array(withdrawalSchema).max(MAX_WITHDRAWALS).optional(),
  health: z.enum(['alive', 'suspect', 'dead']),
});

/** Schema of a {@link Heartbeat} in a request; it leaves out a proof, which is valid in replies only. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
  from: daemonId,
  incarnation,
  version: countSchema<VersionNumber>().nullable(),
  through: countSchema<Offset>(),
  ageMs: z.number().nullable(),
  members: z.string(),
});

/** Schema of a {@link HeartbeatRequest}; the receiver validates each record by itself. */
export const heartbeatRequestSchema = z.object({
  records: z.array(z.unknown()).max(MAX_RECORDS_PER_MESSAGE).readonly(),
  beat: heartbeatSchema,
  rollouts: z.array(z.unknown()).max(MAX_ROLLOUTS_PER_MESSAGE).readonly().optional(),
});

/** Schema of a {@link SyncRequest}. */
export const syncRequestSchema: z.ZodType<SyncRequest> = z.object({
  buckets: z.array(z.string()).max(MAX_BUCKETS),
});

/** Schema of a request for the changes since version `base`. */
export const deltaRequestSchema = z.object({
  base: countSchema<VersionNumber>().nullable(),
  packed: z.boolean().optional(),
});

const packedDeltaSchema: z.ZodType<PackedDelta> = deltaFieldsSchema.extend({
  packedChanges: z.instanceof(Uint8Array),
});

/** Schema of a {@link DeltaMessage}. */
export const deltaMessageSchema: z.ZodType<DeltaMessage> = z.object({
  delta: z.union([packedDeltaSchema, deltaSchema]),
  through: countSchema<Offset>(),
  from: daemonId.optional(),
});

/** Schema of a fence request: an attempt id and the incarnation of the daemon it was sent to. */
export const fenceRequestSchema = z.object({
  attempt: z.object({
    daemon: daemonId,
    incarnation,
    number: countSchema<AttemptNumber>(),
  }),
  target: incarnation,
  giveUp: z.boolean(),
});

/** Schema of an indirect probe: the member that the receiver should probe. */
export const probeRequestSchema = z.object({ id: daemonId, address });
