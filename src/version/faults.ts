import type * as z from 'zod';
import type { FileName } from '../common/Types';
import type { Fault } from './Types';

const MAX_FOUND_LENGTH = 60;

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (at, key) =>
      at !== null && typeof at === 'object' ? (at as Record<PropertyKey, unknown>)[key] : undefined,
    value,
  );
}

/**
 * @param value - What a file holds.
 * @returns The value as it appears in a message, shortened.
 */
export function describeFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

/**
 * Finds the line of a key, for error messages only.
 *
 * @param content - TOML text.
 * @param table - Dotted name of the table, such as `route.stock`.
 * @param key - Key within it.
 * @returns The line of the key, of the table where the key isn't found, else `undefined`.
 */
export function locateLine(content: string, table: string, key?: string): number | undefined {
  const lines = content.split('\n').map((line) => line.trim());
  const start = lines.findIndex((line) => line.startsWith(`[${table}]`));
  if (start < 0) return undefined;
  if (key === undefined) return start + 1;
  for (let line = start + 1; line < lines.length && !lines[line]!.startsWith('['); line += 1) {
    if (lines[line]!.split('=')[0]!.trim() === key) return line + 1;
  }
  return start + 1;
}

/** Where the value that a schema judged stands. */
export interface FaultPlace {
  readonly file: FileName | undefined;
  readonly content: string;
  /** Dotted name of the table; empty for the whole file. */
  readonly table: string;
}

/**
 * Turns the issues of a schema into faults.
 *
 * @param error - What the schema reported.
 * @param value - The value it judged.
 * @param place - Where that value stands.
 * @returns One fault for each issue.
 */
export function schemaFaults(error: z.ZodError, value: unknown, place: FaultPlace): Fault[] {
  return error.issues.flatMap((issue) => {
    const paths =
      issue.code === 'unrecognized_keys'
        ? issue.keys.map((key) => [...issue.path, key])
        : [issue.path];
    return paths.map((path) => ({
      file: place.file,
      line: locateLine(place.content, place.table, path[0]?.toString()),
      key: [place.table, ...path.map(String)].filter(Boolean).join('.'),
      found:
        issue.code === 'unrecognized_keys' ? 'an unknown key' : describeFound(valueAt(value, path)),
      expected:
        issue.code === 'unrecognized_keys'
          ? 'a key that docs/CONFIGURATION.md lists'
          : issue.message,
    }));
  });
}

/**
 * @param fault - What is wrong.
 * @returns One line: place, key, what was found, what was expected.
 */
export function formatFault(fault: Fault): string {
  const place = [fault.file, fault.line].filter((part) => part !== undefined).join(':');
  const key = fault.key === undefined ? '' : `${fault.key}: `;
  return `${place}${place ? ': ' : ''}${key}found ${fault.found}, expected ${fault.expected}`;
}
