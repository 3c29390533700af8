/**
 * Keys, types, units and bounds of the configuration files.
 *
 * Any change in what is valid needs a new {@link SCHEMA_NUMBER}. During an upgrade, daemons of both
 * releases read the same stream and must accept and refuse the same publications.
 *
 * @packageDocumentation
 */
import * as z from 'zod';
import { DURATION_EXPECTED, parseDuration } from '../common/parseDuration';

/** Highest schema number that this release reads. */
export const SCHEMA_NUMBER = 4;
/**
 * Schema number that this release writes for a folder that needs nothing newer, so that daemons of the
 * release before can read it during an upgrade.
 */
export const COMMON_SCHEMA_NUMBER = 3;

/** Schema number from which on the ports of hosts count. */
export const PORT_AWARE_SCHEMA_NUMBER = 4;

const MAX_SLOTS = 10_000;
export const MAX_CONNECTIONS = 10_000;
const MAX_QUEUE = 100_000;
export const MAX_REASON_LENGTH = 500;
export const MAX_RETRIES = 20;
export const MAX_TIMEOUT_MS = 3_600_000;
export const MAX_PRIORITY = 100;
export const MAX_WEIGHT = 1_000_000;
export const MAX_LIMIT_BYTES = 1_073_741_824;
export const MAX_QUOTA = 1_000_000;
/** Numeric values of the named priorities of routes; queued calls with lower values run first. */
const NAMED_PRIORITIES = { interactive: 0, background: 1 } as const;

/** Printable characters, whole surrogate pairs among them, without spaces at the ends; at most 255 code units. */
const PRINTABLE = String.raw`(?=.{1,255}$)(?! )(?:[ -~\xa0-\u2027\u202a-\ud7ff\ue000-\uffff]|[\ud800-\udbff][\udc00-\udfff])*(?<! )`;
/** Pattern of the names of routes, and of services up to schema 3. */
export const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
/**
 * Pattern of the names of services and organisations, which are sent to upstreams in headers: printable
 * characters without spaces at the ends, which HTTP would remove. `__proto__` can't be a key of the tables
 * that hold weights.
 */
export const PRINTABLE_NAME = new RegExp(`^(?!__proto__$)${PRINTABLE}$`);
/** Paths of routes, and of health checks up to schema 3. */
export const PATH = /^\/[^\s?#]*$/;
/** Paths of health checks, which may have a query. */
export const HEALTH_PATH = /^\/[\x21\x22\x24-\x7e]*$/;
/** Pattern of the names of organisations up to schema 3. */
export const COMMON_ORGANISATION_NAME = /^[\w.@:-]{1,128}$/;
const KEY_DIGEST = /^[0-9a-f]{64}$/;
const SOFTWARE_VERSION = /^[\x21-\x7e]{1,128}$/;
/** Pattern of the hosts of routes up to schema 3. */
export const COMMON_HOST = /^[a-z0-9.[\]:-]{1,255}$/;
/** Pattern of the hosts of routes: any text that a Host header can hold. */
const HOST = new RegExp(`^${PRINTABLE}$`);

/** Methods that a route may list; a route without a list allows all of them. */
export const METHODS = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'] as const;

const durationMs = (maxMs: number) =>
  z
    .string({ error: DURATION_EXPECTED })
    .transform((text) => parseDuration(text) ?? Number.NaN)
    .refine((value) => !Number.isNaN(value), { error: DURATION_EXPECTED })
    .refine((value) => Number.isNaN(value) || value <= maxMs, {
      error: `a duration of at most ${maxMs}ms`,
    });

const integer = (min: number, max: number) =>
  z
    .int({ error: `a whole number from ${min} to ${max}` })
    .min(min, { error: `a whole number from ${min} to ${max}` })
    .max(max, { error: `a whole number from ${min} to ${max}` });

const boolean = z.boolean({ error: 'true or false' });

/** Schema of the names of routes. */
export const nameSchema = z.string().regex(NAME, {
  error: 'a name of lower-case letters, digits and hyphens, at most 63 long',
});

/** Schema of the names of services and organisations. */
export const printableNameSchema = z.string().regex(PRINTABLE_NAME, {
  error: 'a name of printable characters without spaces at its ends, at most 255 long',
});

/** Schema of the reason for which an entry is closed: its calls are refused. */
const closedSchema = z
  .string({ error: 'a reason' })
  .min(1, { error: 'a reason' })
  .max(MAX_REASON_LENGTH, { error: `a reason of at most ${MAX_REASON_LENGTH} characters` })
  .optional();

/** Schema of a `[service.NAME]` table. */
export const serviceSchema = z.strictObject({
  slots: integer(1, MAX_SLOTS).default(16),
  connections: integer(1, MAX_CONNECTIONS).default(120),
  queue: integer(0, MAX_QUEUE).optional(),
  warm_up: durationMs(MAX_TIMEOUT_MS).default(0),
  health: z
    .string({ error: 'a path that begins with /' })
    .regex(HEALTH_PATH, { error: 'a path that begins with /, without spaces or #' })
    .optional(),
});

const priorityExpected = `"interactive", "background" or a whole number from 0 to ${MAX_PRIORITY}`;
const splitExpected = 'a table of service names and positive weights';

/**
 * Schema of a `[route.NAME]` table. That it has either a service or a split, unless it is closed, is checked
 * by `mergeFolder`.
 */
export const routeSchema = z.strictObject({
  host: z
    .string({ error: 'a host name' })
    .regex(HOST, { error: 'a host name in lower case' })
    .refine((host) => host === host.toLowerCase(), { error: 'a host name in lower case' })
    .optional(),
  service: printableNameSchema.optional(),
  split: z
    .record(
      printableNameSchema,
      z.number({ error: splitExpected }).positive({ error: splitExpected }),
      {
        error: splitExpected,
      },
    )
    .refine((split) => Object.keys(split).length > 0, { error: splitExpected })
    .refine((split) => Object.values(split).every((weight) => weight <= MAX_WEIGHT), {
      error: `weights of at most ${MAX_WEIGHT}`,
    })
    .optional(),
  path: z
    .string({ error: 'a path that begins with /' })
    .regex(PATH, { error: 'a path that begins with /, without query or spaces' }),
  methods: z
    .array(z.enum(METHODS, { error: `one of ${METHODS.join(', ')}` }), {
      error: 'a list of methods',
    })
    .min(1, { error: 'at least one method' })
    .optional(),
  timeout: durationMs(MAX_TIMEOUT_MS).optional(),
  objective: durationMs(MAX_TIMEOUT_MS).optional(),
  idempotent: boolean.optional(),
  priority: z
    .union(
      [
        z.enum(['interactive', 'background']).transform((name) => NAMED_PRIORITIES[name]),
        z.int().min(0).max(MAX_PRIORITY),
      ],
      { error: priorityExpected },
    )
    .default(NAMED_PRIORITIES.interactive),
  hedge: boolean.default(false),
  retries: integer(0, MAX_RETRIES).optional(),
  public: boolean.default(false),
  closed: closedSchema,
});

const keysExpected =
  'a list of SHA-256 digests of keys, each of 64 hexadecimal digits in lower case';
const quotaExpected = `a number from 0 to ${MAX_QUOTA}`;
const quotaNumber = z
  .number({ error: quotaExpected })
  .min(0, { error: quotaExpected })
  .max(MAX_QUOTA, { error: quotaExpected });

/** Schema of an `[organisation.NAME]` table. */
export const organisationSchema = z.strictObject({
  keys: z.array(z.string({ error: keysExpected }).regex(KEY_DIGEST, { error: keysExpected }), {
    error: keysExpected,
  }),
  priority: integer(0, MAX_PRIORITY).optional(),
  rate: quotaNumber.default(0),
  burst: quotaNumber.default(0),
  incomplete: boolean.default(false),
  closed: closedSchema,
});

/** Schema of the `[access]` table. */
export const accessSchema = z.strictObject({
  keys: z.literal('required', { error: '"required"' }),
});

/** Schema of a `[route.NAME]` table with the key `closed`; without a path it is for those of no other route. */
export const closedRouteSchema = routeSchema.extend({ path: routeSchema.shape.path.optional() });

/** Schema of a `[rollout.SERVICE]` table. */
export const rolloutSchema = z.strictObject({
  version: z
    .string({ error: 'a software version' })
    .regex(SOFTWARE_VERSION, { error: 'a software version without spaces, at most 128 long' }),
  duration: durationMs(MAX_TIMEOUT_MS),
});

/** Schema of the `[defaults]` table. Later files override single keys, not the whole table. */
export const defaultsSchema = z.strictObject({
  timeout: durationMs(MAX_TIMEOUT_MS).optional(),
  retries: integer(0, MAX_RETRIES).optional(),
  retry_budget: z
    .number({ error: 'a number from 0 to 1' })
    .min(0, { error: 'a number from 0 to 1' })
    .max(1, { error: 'a number from 0 to 1' })
    .optional(),
});

/**
 * Schema of the `[limits]` table. A later file replaces the whole table. Up to schema 3, it has all keys.
 */
export const limitsSchema = z.strictObject({
  max_header_bytes: integer(1, MAX_LIMIT_BYTES).optional(),
  max_body_bytes: integer(0, MAX_LIMIT_BYTES).optional(),
  header_timeout: durationMs(MAX_TIMEOUT_MS).optional(),
  idle_timeout: durationMs(MAX_TIMEOUT_MS).optional(),
});

/** Values of `[defaults]` keys that no file sets; the timeout is in milliseconds. */
export const DEFAULTS = { timeout: 10_000, retries: 2, retry_budget: 0.2 };
