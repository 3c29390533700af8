/**
 * Validation issues of TOML files: how they are created from schema errors, located and formatted.
 *
 * @packageDocumentation
 */
import type * as z from 'zod';
import type { FileName } from '../common/Types';
import type { ValidationIssue } from './Types';

/** Maximum number of characters of an invalid value that an error message quotes. */
const MAX_QUOTED_LENGTH = 60;

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (parent, key) =>
      parent !== null && typeof parent === 'object'
        ? (parent as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}

/**
 * Formats an invalid value for a message.
 *
 * @param value - A value from a TOML file.
 * @returns The value as JSON, shortened if it is long; `nothing` if it is missing.
 */
export function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_QUOTED_LENGTH ? `${text.slice(0, MAX_QUOTED_LENGTH)}…` : text;
}

/**
 * Finds the line of a key by a text search, as the parser gives no positions. The result may be
 * inexact and serves for messages only.
 *
 * @param content - TOML text.
 * @param table - Dotted name of the table, such as `route.stock`.
 * @param key - Key in the table; without it the table itself is located.
 * @returns The line of the key, counted from 1; the line of the table if the key isn't found;
 * `undefined` if the table isn't found either.
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

/** Origin of a validated value: the file, its text, and the table in it. */
export interface IssueSource {
  readonly file: FileName | undefined;
  /** TOML text that the value was parsed from. */
  readonly content: string;
  /** Dotted name of the table; empty for the top level of the file. */
  readonly table: string;
}

/**
 * Converts the error of a schema into validation issues with file, line and key.
 *
 * @param error - Error that the schema reported.
 * @param value - The validated value.
 * @param source - Where the value comes from.
 * @returns One issue for each invalid value and each unknown key.
 */
export function schemaIssues(
  error: z.ZodError,
  value: unknown,
  source: IssueSource,
): ValidationIssue[] {
  return error.issues.flatMap((issue) => {
    const paths =
      issue.code === 'unrecognized_keys'
        ? issue.keys.map((key) => [...issue.path, key])
        : [issue.path];
    return paths.map((path) => ({
      file: source.file,
      line: locateLine(source.content, source.table, path[0]?.toString()),
      key: [source.table, ...path.map(String)].filter(Boolean).join('.'),
      found:
        issue.code === 'unrecognized_keys' ? 'an unknown key' : formatValue(valueAt(value, path)),
      expected:
        issue.code === 'unrecognized_keys'
          ? 'a key that docs/CONFIGURATION.md lists'
          : issue.message,
    }));
  });
}

/**
 * Formats an issue for people.
 *
 * @param issue - The validation issue.
 * @returns One line: file and line, key, what was found, what was expected.
 */
export function formatIssue(issue: ValidationIssue): string {
  const location = [issue.file, issue.line].filter((part) => part !== undefined).join(':');
  const key = issue.key === undefined ? '' : `${issue.key}: `;
  return `${location}${location ? ': ' : ''}${key}found ${issue.found}, expected ${issue.expected}`;
}
