/**
 * Settings of a daemon. See docs/CONFIGURATION.md for the keys.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import { parse, TomlError } from 'smol-toml';
import * as z from 'zod';
import { DURATION_EXPECTED, parseDuration } from '../common/parseDuration';
import type { Address, DaemonId, FileName, ServiceName, ZoneName } from '../common/Types';
import { PRINTABLE_NAME, printableNameSchema } from '../version/configurationSchema';
import { formatIssue, schemaIssues } from '../version/validationIssues';
import SettingsError from './SettingsError';

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const ADDRESS_EXPECTED = 'an IP address and a port, such as "10.0.0.7:7000"';
/** Maximum length of the names of daemons and zones; a name is a part of a key of the store. */
const MAX_NAME_LENGTH = 128;
const MEBIBYTE = 1024 * 1024;
const MAX_SLACK = 1_000_000;
const SLACK_EXPECTED = `a number from 0 to ${MAX_SLACK}`;
const LINK_EXPECTED = 'a number of Mbit/s above 0';
const MAX_KILOBYTE_MS = 10_000;
const KILOBYTE_EXPECTED = `a number of milliseconds from 0 to ${MAX_KILOBYTE_MS}`;
const RATIO_EXPECTED = 'a number from 0 to 1';

const address = z
  .string({ error: ADDRESS_EXPECTED })
  .regex(ADDRESS, { error: ADDRESS_EXPECTED })
  .transform((value) => value as Address);
const duration = (defaultText: string) =>
  z
    .string({ error: DURATION_EXPECTED })
    .default(defaultText)
    .transform((text) => parseDuration(text) ?? Number.NaN)
    .refine((value) => value > 0, { error: DURATION_EXPECTED });
const integer = (min: number, max: number, defaultValue: number) => {
  const error = `a whole number from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error }).default(defaultValue);
};
const slack = z
  .number({ error: SLACK_EXPECTED })
  .min(0, { error: SLACK_EXPECTED })
  .max(MAX_SLACK, { error: SLACK_EXPECTED });
const ratio = z
  .number({ error: RATIO_EXPECTED })
  .min(0, { error: RATIO_EXPECTED })
  .max(1, { error: RATIO_EXPECTED });
const kilobyteMs = z
  .number({ error: KILOBYTE_EXPECTED })
  .min(0, { error: KILOBYTE_EXPECTED })
  .max(MAX_KILOBYTE_MS, { error: KILOBYTE_EXPECTED });
const name = z
  .string({ error: 'a name' })
  .max(MAX_NAME_LENGTH, { error: `a name of at most ${MAX_NAME_LENGTH} characters` })
  .regex(PRINTABLE_NAME, { error: 'a name of printable characters without spaces at its ends' });

const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    name: name.transform((value) => value as DaemonId),
    zone: name.transform((value) => value as ZoneName),
    calls: address,
    peers: address,
    control: address,
    advertise: address.optional(),
    ready: address.optional(),
    service: printableNameSchema.transform((value) => value as ServiceName).optional(),
    drain: duration('30s'),
    leave: duration('500ms'),
    link_mbps: z.number({ error: LINK_EXPECTED }).positive({ error: LINK_EXPECTED }).optional(),
  }),
  log: z.strictObject({
    address,
    kind: z.enum(['streams', 'platform'], { error: '"streams" or "platform"' }).default('streams'),
    stream_prefix: z.string().default(''),
    retention: duration('24h'),
    readers_per_zone: integer(1, 100, 2),
    reader_zones: integer(1, 1_000, 1_000),
    stale: duration('15s'),
  }),
  peers: z
    .strictObject({
      seeds: z.array(address, { error: 'a list of addresses' }).default([]),
      heartbeat: duration('2s'),
      suspicion: duration('5s'),
      tombstone: duration('10m'),
      cut: duration('2h'),
    })
    .prefault({}),
  upstream: z
    .strictObject({ lease: duration('10s'), announcements: address.optional() })
    .prefault({}),
  retries: z
    .strictObject({
      window: duration('10s'),
      slack: slack.default(20),
      shared: z.boolean({ error: 'true or false' }).default(false),
      ratio: ratio.optional(),
    })
    .prefault({}),
  calls: z
    .strictObject({
      max_body_bytes: integer(1, 256 * MEBIBYTE, MEBIBYTE),
      max_header_bytes: integer(1024, MEBIBYTE, 16 * 1024),
      max_open: integer(1, 1_000_000, 2_000),
      body_memory: integer(MEBIBYTE, 4096 * MEBIBYTE, 64 * MEBIBYTE),
      connect: duration('1s'),
      quiet: duration('300ms'),
      silence: duration('1s'),
      receive: duration('30s'),
      backlog: integer(1, 65_535, 511),
    })
    .prefault({}),
  organisations: z
    .strictObject({
      /** Time after which a revoked key is refused by every daemon; without it, as soon as each can. */
      revocation: duration('5s').optional(),
      window: duration('5s'),
      over: ratio.default(0.1),
      slack: slack.default(20),
    })
    .prefault({}),
  rollouts: z
    .strictObject({
      share: ratio.default(0.1),
      slack: slack.default(50),
      rollback: duration('5s'),
      /**
       * Time for which a version that appears beside another one of its service gets no calls, as the order
       * that names it may not have arrived yet; without it, it gets calls at once.
       */
      hold: duration('2s').optional(),
    })
    .prefault({}),
  zones: z
    .strictObject({
      /**
       * A kilobyte occupies the slowest links of VMs, of 7 Mbit/s, for 1.15 ms, during which the
       * responses behind it wait.
       */
      kilobyte_ms: kilobyteMs.default(1.15),
    })
    .prefault({}),
  logging: z
    .strictObject({
      lines_per_second: integer(1, 100_000, 100),
    })
    .prefault({}),
});

/** Validated settings with defaults applied; durations are in milliseconds. */
export type Settings = z.output<typeof settingsSchema>;

/**
 * Parses and validates settings.
 *
 * @param content - TOML text.
 * @param file - File name for error messages.
 * @returns The settings, with defaults applied.
 * @throws SettingsError - Its message names the file, the key, and the found and the expected value.
 */
export function parseSettings(content: string, file: string): Settings {
  let document: unknown;
  try {
    document = parse(content);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    throw new SettingsError(
      `${file}:${error.line}: found no TOML: ${error.message.split('\n')[0]}`,
    );
  }
  const result = settingsSchema.safeParse(document);
  if (result.success) return result.data;
  const location = { file: file as FileName, content: '', table: '' };
  const faults = schemaIssues(result.error, document, location);
  throw new SettingsError(faults.map(formatIssue).join('\n'));
}

/**
 * Reads, parses and validates a settings file.
 *
 * @param file - Path of the settings file.
 * @returns The settings, with defaults applied.
 * @throws SettingsError - If the file can't be read or is invalid.
 */
export function readSettings(file: string): Settings {
  let content: string;
  try {
    content = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: can't be read: ${(error as NodeJS.ErrnoException).code}`);
  }
  return parseSettings(content, file);
}
