/**
 * Configuration folders on the operator's disk.
 *
 * @packageDocumentation
 */
import { mkdir, readdir, readFile, unlink, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { FileName, VersionNumber } from '../common/Types';
import { formatFault } from '../version/faults';
import { folderChanges, sortedFolder } from '../version/folder';
import { mergeFolder } from '../version/mergeFolder';
import type { Configuration, Folder } from '../version/Types';
import CommandError from './CommandError';

/** Remembers, within a folder, the version that its author started from. */
const BASE_FILE = '.azurestream-base';
const SUFFIX = '.toml';

/**
 * @param path - Path of the folder.
 * @returns Its `.toml` files in name order.
 * @throws CommandError - The folder can't be read.
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
  const wanted = names.filter((name) => name.endsWith(SUFFIX) && !name.startsWith('.'));
  const files = wanted.map(async (name) => ({
    name: name as FileName,
    content: await readFile(join(path, name), 'utf8'),
  }));
  return sortedFolder(await Promise.all(files));
}

/**
 * @param folder - Files in name order.
 * @returns The merged configuration.
 * @throws CommandError - One line for each fault.
 */
export function mergeOrThrow(folder: Folder): Configuration {
  const merge = mergeFolder(folder);
  if (merge.kind === 'valid') return merge.configuration;
  throw new CommandError(merge.faults.map(formatFault).join('\n'));
}

/**
 * @param text - A version number or `none`.
 * @param place - Where it stands, for error messages.
 * @returns The version; null for `none`.
 * @throws CommandError - It is neither.
 */
export function parseBase(text: string, place: string): VersionNumber | null {
  if (text === 'none') return null;
  if (/^\d+$/.test(text)) return Number(text) as VersionNumber;
  throw new CommandError(`${place}: found "${text}", expected a version number or "none"`);
}

/**
 * @param path - Path of a folder.
 * @returns The version its author started from; null for an empty stream, `undefined` where the
 * folder doesn't say.
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
 * @param path - Path of a folder.
 * @param version - The version that the folder now equals.
 */
export async function writeBase(path: string, version: VersionNumber): Promise<void> {
  await writeFile(join(path, BASE_FILE), `${version}\n`);
}

/**
 * Makes a folder on disk equal to another one.
 *
 * @param path - Path of the folder; made where it is missing.
 * @param folder - What it should hold; other `.toml` files are removed.
 */
export async function writeFolder(path: string, folder: Folder): Promise<void> {
  await mkdir(path, { recursive: true });
  for (const { name, content } of folderChanges(await readFolder(path), folder)) {
    if (content === null) await unlink(join(path, name));
    else await writeFile(join(path, name), content);
  }
}
