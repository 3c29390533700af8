import type { VersionNumber } from '../common/Types';
import { folderChanges } from './folder';
import type { Delta, Folder, Head } from './Types';

/**
 * Number of past folders that are kept, so that a peer with one of them can be sent only the
 * changes.
 */
const MAX_REMEMBERED_FOLDERS = 16;

/** The newest version that this daemon has received, and the folders of those before it. */
export default class FolderHistory {
  private latest: Head | undefined;

  private readonly folders = new Map<VersionNumber, Folder>();

  /** The newest version received; it may not be in force yet. */
  public get newest(): Head | undefined {
    return this.latest;
  }

  /** @param head - A newer version than the newest one. */
  public add(head: Head): void {
    this.latest = head;
    this.folders.set(head.version, head.folder);
    if (this.folders.size <= MAX_REMEMBERED_FOLDERS) return;
    const oldest = this.folders.keys().next().value;
    if (oldest !== undefined) this.folders.delete(oldest);
  }

  /**
   * Returns to an earlier version, as the newer ones are invalid.
   *
   * @param head - The version in force; `undefined` if there is none.
   */
  public resetTo(head: Head | undefined): void {
    this.latest = head;
  }

  /**
   * @param version - A version; null for the empty folder before the first one.
   * @returns Its folder, if it is still remembered.
   */
  public folderOf(version: VersionNumber | null): Folder | undefined {
    return version === null ? [] : this.folders.get(version);
  }

  /**
   * @param base - Version that the requesting peer has; null if it has none.
   * @returns The changes from `base` to the newest version, or its whole folder if `base` is no longer
   * remembered; `undefined` if there is no version.
   */
  public changesSince(base: VersionNumber | null): Delta | undefined {
    if (!this.latest) return undefined;
    const { folder, ...fields } = this.latest;
    const baseFolder = this.folderOf(base);
    return {
      ...fields,
      base: baseFolder ? base : null,
      changes: folderChanges(baseFolder ?? [], folder),
    };
  }
}
