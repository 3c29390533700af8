import * as z from 'zod';
import type { DaemonId, ServiceName, SoftwareVersion } from '../common/Types';
import type { RolloutMessage } from './Types';

const MAX_ROUTES = 32;
const MAX_ENTRIES = 4_000;
/** Maximum length of the counts of an entry: 16 routes with two sides of 29 numbers, and one for the rest. */
const MAX_CELL_NUMBERS = 2_000;
const MAX_BARRED = 16;

const text = z.string().min(1).max(255);
const version = text.transform((value) => value as SoftwareVersion);
const count = z.int().min(0);

/** Schema of the news of one rollout that peers send. */
const rolloutSchema: z.ZodType<RolloutMessage> = z.object({
  service: text.transform((value) => value as ServiceName),
  version,
  number: count,
  head: z
    .object({
      durationMs: z.number().positive(),
      ageMs: z.number().min(0),
      isAgeKnown: z.boolean(),
      runningOffset: count.nullable(),
      stop: z.string().max(1_000).nullable(),
      verdict: z.enum(['completed', 'rolled_back']).nullable(),
      barred: z.array(version).max(MAX_BARRED),
    })
    .optional(),
  routes: z.array(text).max(MAX_ROUTES),
  entries: z
    .array(
      z.object({
        daemon: text.transform((value) => value as DaemonId),
        run: count,
        sequence: count,
        step: count,
        cells: z.array(count).max(MAX_CELL_NUMBERS),
      }),
    )
    .max(MAX_ENTRIES),
});

export default rolloutSchema;
