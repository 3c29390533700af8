/**
 * Schemas and JSON encoding of the records of the configuration stream.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import type { Digest, FileName, Offset, PublicationId, VersionNumber } from '../common/Types';
import type { ConfigurationRecord, Delta } from './Types';

const offset = z
  .int()
  .min(0)
  .transform((value) => value as Offset);
const version = z
  .int()
  .min(0)
  .transform((value) => value as VersionNumber);
const publicationId = z
  .string()
  .min(1)
  .max(64)
  .transform((value) => value as PublicationId);
const digest = z
  .string()
  .length(64)
  .transform((value) => value as Digest);
const fileName = z
  .string()
  .min(1)
  .max(255)
  .transform((value) => value as FileName);

/** Schema of a change of one file: its new content, or null to remove the file. */
export const fileChangeSchema = z.object({ name: fileName, content: z.string().nullable() });

const publicationSchema = z.object({
  kind: z.literal('publication'),
  schema: z.int(),
  id: publicationId,
  base: version.nullable(),
  changes: z.array(fileChangeSchema),
  digest,
});

const checkpointSchema = z.object({
  kind: z.literal('checkpoint'),
  schema: z.int(),
  through: offset,
  head: z.object({
    schema: z.int(),
    version,
    publicationId,
    digest,
    folder: z.array(z.object({ name: fileName, content: z.string() })),
  }),
});

/** Schema of the fields of a {@link Delta} without its changes. */
export const deltaFieldsSchema = z.object({
  base: version.nullable(),
  schema: z.int(),
  version,
  publicationId,
  digest,
});

/** Schema of a {@link Delta} in messages between daemons. */
export const deltaSchema: z.ZodType<Delta> = deltaFieldsSchema.extend({
  changes: z.array(fileChangeSchema),
});

const recordSchema = z.discriminatedUnion('kind', [publicationSchema, checkpointSchema]);
/**
 * Schema of the one field that records of every schema number have, so that a reader recognises
 * records that are too new for it.
 */
const envelopeSchema = z.looseObject({ schema: z.int() });

/** Result of decoding a record; distinguishes a record of a newer schema from a malformed one. */
export type DecodedRecord =
  | { readonly kind: 'record'; readonly record: ConfigurationRecord }
  | { readonly kind: 'unknown schema'; readonly schema: number }
  | { readonly kind: 'malformed' };

/**
 * @param record - The record to append.
 * @returns Its JSON text, as stored in the log.
 */
export function encodeRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/**
 * @param text - JSON text of a record from the log.
 * @param knownSchema - Highest schema number that this release can read.
 * @returns The record, or why it can't be read.
 */
export function decodeRecord(text: string, knownSchema: number): DecodedRecord {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { kind: 'malformed' };
  }
  const envelope = envelopeSchema.safeParse(value);
  if (!envelope.success) return { kind: 'malformed' };
  if (envelope.data.schema > knownSchema) {
    return { kind: 'unknown schema', schema: envelope.data.schema };
  }
  const result = recordSchema.safeParse(value);
  return result.success ? { kind: 'record', record: result.data } : { kind: 'malformed' };
}
