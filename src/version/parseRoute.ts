import type * as z from 'zod';
import { closedRouteSchema, PATH, routeSchema } from './configurationSchema';

type ParsedRoute = z.output<typeof routeSchema | typeof closedRouteSchema>;

/** Schema of what routes have in common, often many of them. */
const settingsSchema = routeSchema.omit({ path: true });

/** Maximum number of remembered combinations of settings; then all are forgotten. */
const MAX_REMEMBERED = 1_024;

const remembered = new Map<string, z.output<typeof settingsSchema>>();

/** Whether a table is determined by its JSON text, which shows a date like a text. */
function isPlain(table: Record<string, unknown>): boolean {
  return !Object.values(table).some((value) => value instanceof Date);
}

function parseSettings(settings: Record<string, unknown>) {
  if (!isPlain(settings)) return undefined;
  const key = JSON.stringify(settings);
  const known = remembered.get(key);
  if (known) return known;
  const result = settingsSchema.safeParse(settings);
  if (!result.success) return undefined;
  if (remembered.size >= MAX_REMEMBERED) remembered.clear();
  remembered.set(key, result.data);
  return result.data;
}

/**
 * Validates a `[route.NAME]` table. Of routes that differ in nothing but their paths, only the first is
 * validated in full; a version may add thousands of them.
 *
 * @param value - The table.
 * @returns The result of `routeSchema`, or of `closedRouteSchema` for a closed route.
 */
export default function parseRoute(value: unknown): z.ZodSafeParseResult<ParsedRoute> {
  const { path, ...settings } = value as Record<string, unknown>;
  if (settings.closed !== undefined) return closedRouteSchema.safeParse(value);
  const parsed = typeof path === 'string' && PATH.test(path) ? parseSettings(settings) : undefined;
  return parsed
    ? { success: true, data: { ...parsed, path: path as string } }
    : routeSchema.safeParse(value);
}
