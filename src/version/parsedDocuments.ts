/**
 * Parsed TOML files. Versions share the objects of unchanged files, so a file is parsed once.
 *
 * @packageDocumentation
 */
import { parse } from 'smol-toml';
import type { FolderFile } from './Types';

/** Content of a TOML file. */
export type TomlDocument = Record<string, unknown>;

const documents = new WeakMap<FolderFile, TomlDocument>();

/**
 * @param file - A file of a folder.
 * @returns Its content.
 * @throws TomlError - The file is not TOML.
 */
export function parseDocument(file: FolderFile): TomlDocument {
  const known = documents.get(file);
  if (known) return known;
  const document = parse(file.content);
  documents.set(file, document);
  return document;
}

/**
 * Saves the parser the work for a file that this process has written itself. A daemon that restarts reads
 * thousands of files before it can serve.
 *
 * @param file - The file.
 * @param document - What the parser would return for it.
 */
export function rememberDocument(file: FolderFile, document: TomlDocument): void {
  documents.set(file, document);
}
