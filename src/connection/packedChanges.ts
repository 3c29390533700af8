/**
 * Compression of configuration changes between daemons. Files of routes resemble each other, so that the
 * changes shrink to about a tenth; as one JSON text they are also cheaper to decode.
 *
 * @packageDocumentation
 */
import { promisify } from 'node:util';
import { constants, deflateRaw, inflateRaw } from 'node:zlib';
import * as z from 'zod';
import { fileChangeSchema } from '../version/recordSchema';
import type { FileChange } from '../version/Types';

const compress = promisify(deflateRaw);
const decompress = promisify(inflateRaw);
const changesSchema = z.array(fileChangeSchema);

/**
 * @param changes - Changes of files.
 * @returns The changes as compressed JSON.
 */
export async function packChanges(changes: readonly FileChange[]): Promise<Uint8Array> {
  // Higher levels take several times the processor time for little less.
  return compress(JSON.stringify(changes), { level: constants.Z_BEST_SPEED });
}

/**
 * @param packed - Compressed changes.
 * @returns The changes.
 * @throws Error - The bytes can't be decompressed or don't hold changes.
 */
export async function unpackChanges(packed: Uint8Array): Promise<FileChange[]> {
  const text = await decompress(packed);
  return changesSchema.parse(JSON.parse(text.toString()));
}
