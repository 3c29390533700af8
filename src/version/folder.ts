/**
 * Functions on configuration folders: digests, and differences between two folders.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import compareBytes from '../common/compareBytes';
import inSteps from '../common/inSteps';
import runAtOnce from '../common/runAtOnce';
import type { Digest, FileName, Steps } from '../common/Types';
import type { FileChange, Folder, FolderFile } from './Types';

/**
 * Computes the digest of a folder in steps of some files.
 *
 * @param folder - Files in name order; another order gives another digest.
 * @returns SHA-256 of a canonical JSON encoding, in hexadecimal.
 */
export function* digestSteps(folder: Folder): Steps<Digest> {
  const hash = createHash('sha256').update('[');
  let separator = '';
  yield* inSteps(folder, ({ name, content }) => {
    hash.update(`${separator}${JSON.stringify([name, content])}`);
    separator = ',';
  });
  return hash.update(']').digest('hex') as Digest;
}

/**
 * Computes the digest of a folder over the names and contents of its files.
 *
 * @param folder - Files in name order; another order gives another digest.
 * @returns SHA-256 of a canonical JSON encoding, in hexadecimal.
 */
export function folderDigest(folder: Folder): Digest {
  return runAtOnce(digestSteps(folder));
}

/**
 * @param files - Files in any order.
 * @returns The files sorted by the UTF-8 bytes of their names.
 */
export function sortedFolder(files: Iterable<FolderFile>): Folder {
  return [...files].sort((a, b) => compareBytes(a.name, b.name));
}

function isWritten(change: FileChange): change is FolderFile {
  return change.content !== null;
}

/**
 * @param folder - The folder to change; it is not modified.
 * @param changes - Files to create, replace or remove.
 * @returns The changed folder. It shares the objects of unchanged and of written files, whose parsed content
 * is cached by object.
 */
export function applyChanges(folder: Folder, changes: readonly FileChange[]): Folder {
  const files = new Map<FileName, FolderFile>(folder.map((file) => [file.name, file]));
  for (const change of changes) {
    if (isWritten(change)) files.set(change.name, change);
    else files.delete(change.name);
  }
  return sortedFolder(files.values());
}

/**
 * @param before - The older folder.
 * @param after - The newer folder.
 * @returns The smallest set of changes that turns `before` into `after`.
 */
export function folderChanges(before: Folder, after: Folder): FileChange[] {
  const oldContents = new Map(before.map(({ name, content }) => [name, content]));
  const remainingNames = new Set(after.map(({ name }) => name));
  const written = after.filter(({ name, content }) => oldContents.get(name) !== content);
  const removed = before
    .filter(({ name }) => !remainingNames.has(name))
    .map(({ name }) => ({ name, content: null }));
  return [...written, ...removed];
}
