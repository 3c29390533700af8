import type { Disposable } from './Types';

/** Collects resources and disposes of them together, in reverse order of registration. */
export default class ResourceStore implements Disposable {
  private resources: Disposable[] = [];

  private disposed = false;

  /**
   * Registers a resource. If the store is already disposed of, the resource is disposed of at once.
   *
   * @param resource - The resource; the store becomes its owner.
   * @returns The same resource.
   */
  public add<Resource extends Disposable>(resource: Resource): Resource {
    if (this.disposed) resource.dispose();
    else this.resources.push(resource);
    return resource;
  }

  public dispose(): void {
    this.disposed = true;
    const resources = this.resources.reverse();
    this.resources = [];
    for (const resource of resources) resource.dispose();
  }
}
