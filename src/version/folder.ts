/**
 * Folders as values: their digest, and the changes from one to another.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import compareBytes from '../common/compareBytes';
import type { Digest, FileName } from '../common/Types';
import type { FileChange, Folder, FolderFile } from './Types';

/**
 * Digest of a whole folder, over the names and contents in name order.
 *
 * @param folder - Files in name order.
 * @returns SHA-256 of their canonical encoding.
 */
export function folderDigest(folder: Folder): Digest {
  const canonical = JSON.stringify(folder.map(({ name, content }) => [name, content]));
  return createHash('sha256').update(canonical).digest('hex') as Digest;
}

/**
 * @param files - Files in any order.
 * @returns The files in the byte order of their names.
 */
export function sortedFolder(files: Iterable<FolderFile>): Folder {
  return [...files].sort((a, b) => compareBytes(a.name, b.name));
}

/**
 * @param folder - The folder before.
 * @param changes - Files to set or remove.
 * @returns The folder after; files that didn't change are the same objects.
 */
export function applyChanges(folder: Folder, changes: readonly FileChange[]): Folder {
  const files = new Map<FileName, FolderFile>(folder.map((file) => [file.name, file]));
  for (const { name, content } of changes) {
    if (content === null) files.delete(name);
    else files.set(name, { name, content });
  }
  return sortedFolder(files.values());
}

/**
 * @param before - The folder to start from.
 * @param after - The folder to arrive at.
 * @returns The least changes that lead from one to the other.
 */
export function folderChanges(before: Folder, after: Folder): FileChange[] {
  const old = new Map(before.map(({ name, content }) => [name, content]));
  const kept = new Set(after.map(({ name }) => name));
  const set = after.filter(({ name, content }) => old.get(name) !== content);
  const removed = before
    .filter(({ name }) => !kept.has(name))
    .map(({ name }) => ({ name, content: null }));
  return [...set, ...removed];
}
