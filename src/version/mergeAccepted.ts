import type { Steps } from '../common/Types';
import { mergeSteps } from './mergeFolder';
import type { Folder, MergeResult } from './Types';

/**
 * Merges a folder converted from a configuration that a store has accepted, in steps. Its operator was
 * told that it holds, so an invalid entry doesn't keep the others out of force. It isn't left out either, as
 * its calls would then fall to another entry: a route that can't be used matches, and refuses its calls.
 *
 * @param folder - Files in name order.
 * @returns The merged configuration and the issues of its closed entries; invalid if a file is not TOML.
 */
export default function mergeAccepted(folder: Folder): Steps<MergeResult> {
  return mergeSteps(folder, 'close');
}
