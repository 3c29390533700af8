import type { Disposable } from './Types';

/** Owns resources and releases them in the reverse order of their registration. */
export default class ResourceStore implements Disposable {
  private resources: Disposable[] = [];

  private disposed = false;

  /**
   * Registers a resource; one that comes after the release is released at once.
   *
   * @param resource - The resource to own.
   * @returns The same resource.
   */
  public add<Resource extends Disposable>(resource: Resource): Resource {
    if (this.disposed) resource.dispose();
    else this.resources.push(resource);
    return resource;
  }

  public dispose(): void {
    this.disposed = true;
    const owned = this.resources.reverse();
    this.resources = [];
    for (const resource of owned) resource.dispose();
  }
}
