import type { Steps } from '../common/Types';
import { mergeSteps } from './mergeFolder';
import type { Folder, MergeResult, ValidationIssue } from './Types';

/**
 * Merges a folder converted from a configuration that a store has accepted, in steps. Its operator was
 * told that it holds, so a file that is invalid here is left out, and the others come into force.
 *
 * @param folder - Files in name order.
 * @returns The merged configuration and the issues of the files left out; invalid if an issue concerns no
 * single file.
 */
export default function* mergeAccepted(folder: Folder): Steps<MergeResult> {
  const leftOut: ValidationIssue[] = [];
  for (let files = folder; ;) {
    const result = yield* mergeSteps(files);
    if (result.kind === 'valid') return { ...result, leftOut };
    const invalid = new Set(result.issues.map(({ file }) => file));
    if (invalid.has(undefined)) return result;
    leftOut.push(...result.issues);
    files = files.filter(({ name }) => !invalid.has(name));
  }
}
