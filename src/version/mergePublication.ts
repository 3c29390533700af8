import mergeFolder from './mergeFolder';
import type { Folder, MergeResult, ValidationIssue } from './Types';

/** Maximum total size of a published folder; a checkpoint of the folder must fit one log record. */
export const MAX_PUBLISHED_BYTES = 512 * 1024;

function sizeIssues(folder: Folder): ValidationIssue[] {
  const bytes = folder.reduce((sum, { content }) => sum + Buffer.byteLength(content), 0);
  if (bytes <= MAX_PUBLISHED_BYTES) return [];
  return [
    {
      file: undefined,
      line: undefined,
      key: undefined,
      found: `a folder of ${bytes} bytes`,
      expected: `at most ${MAX_PUBLISHED_BYTES} bytes, so that it fits one record of the log`,
    },
  ];
}

/**
 * Merges and validates a folder that an operator publishes on the log. The size is limited only here,
 * where the operator is told: a store that accepts larger configurations needs no such limit.
 *
 * @param folder - Files in name order.
 * @returns The merged configuration, or all validation issues.
 */
export default function mergePublication(folder: Folder): MergeResult {
  const result = mergeFolder(folder);
  const issues = sizeIssues(folder);
  if (issues.length === 0) return result;
  return {
    kind: 'invalid',
    issues: [...issues, ...(result.kind === 'invalid' ? result.issues : [])],
  };
}
