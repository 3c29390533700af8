/**
 * Reading and writing configuration folders on the operator's disk.
 *
 * @packageDocumentation
 */
import { mkdir, readdir, readFile, unlink, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { FileName, VersionNumber } from '../common/Types';
import { formatIssue } from '../version/validationIssues';
import { folderChanges, sortedFolder } from '../version/folder';
import mergePublication from '../version/mergePublication';
import type { Configuration, Folder } from '../version/Types';
import CommandError from './CommandError';

/** File in a folder that stores the version the folder is based on. */
const BASE_FILE = '.azurestream-base';
const FILE_EXTENSION = '.toml';

/**
 * Reads a folder; hidden files are skipped.
 *
 * @param path - Path of the folder.
 * @returns Its `.toml` files in name order.
 * @throws CommandError - The folder doesn't exist or can't be read.
 */
export async function readFolder(path: string): Promise<Folder> {
  let names: string[];
  try {
    names = await readdir(path);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new CommandError(
      `${path}: found no folder that can be read (${code}), expected a folder`,
    );
  }
  const tomlNames = names.filter((name) => name.endsWith(FILE_EXTENSION) && !name.startsWith('.'));
  const files = tomlNames.map(async (name) => ({
    name: name as FileName,
    content: await readFile(join(path, name), 'utf8'),
  }));
  return sortedFolder(await Promise.all(files));
}

/**
 * Merges and validates a folder to be published.
 *
 * @param folder - Files in name order.
 * @returns The merged configuration.
 * @throws CommandError - The folder is invalid; the message has one line for each issue.
 */
export function mergeOrThrow(folder: Folder): Configuration {
  const result = mergePublication(folder);
  if (result.kind === 'valid') return result.configuration;
  throw new CommandError(result.issues.map(formatIssue).join('\n'));
}

/**
 * Parses a base version.
 *
 * @param text - A version number or `none`.
 * @param source - Flag or file that the text comes from, for the error message.
 * @returns The version; null for `none`, the base of the first publication.
 * @throws CommandError - The text is neither.
 */
export function parseBase(text: string, source: string): VersionNumber | null {
  if (text === 'none') return null;
  if (/^\d+$/.test(text)) return Number(text) as VersionNumber;
  throw new CommandError(`${source}: found "${text}", expected a version number or "none"`);
}

/**
 * Reads the version that a folder is based on.
 *
 * @param path - Path of the folder.
 * @returns The version; null for an empty stream, `undefined` if the folder stores none.
 * @throws CommandError - The stored text is no version.
 */
export async function readBase(path: string): Promise<VersionNumber | null | undefined> {
  let text: string;
  try {
    text = (await readFile(join(path, BASE_FILE), 'utf8')).trim();
  } catch {
    return undefined;
  }
  return parseBase(text, join(path, BASE_FILE));
}

/**
 * Stores the version that a folder is based on.
 *
 * @param path - Path of the folder.
 * @param version - Version with the same files as the folder.
 */
export async function writeBase(path: string, version: VersionNumber): Promise<void> {
  await writeFile(join(path, BASE_FILE), `${version}\n`);
}

/**
 * Writes a folder to disk. Changes only the files that differ, and removes other `.toml` files.
 *
 * @param path - Path of the folder; created if it doesn't exist.
 * @param folder - The new content.
 */
export async function writeFolder(path: string, folder: Folder): Promise<void> {
  await mkdir(path, { recursive: true });
  for (const { name, content } of folderChanges(await readFolder(path), folder)) {
    if (content === null) await unlink(join(path, name));
    else await writeFile(join(path, name), content);
  }
}
