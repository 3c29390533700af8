import type { Route } from './Types';

/** Routes of one version by path; the longest path that allows the method wins. */
export default class RouteTable {
  private readonly routesByPath = new Map<string, Route[]>();

  /** @param routes - Routes of a valid configuration. */
  public constructor(routes: Iterable<Route>) {
    for (const route of routes) {
      const path = RouteTable.trim(route.path);
      const sharing = this.routesByPath.get(path);
      if (sharing) sharing.push(route);
      else this.routesByPath.set(path, [route]);
    }
  }

  /**
   * @param method - HTTP method.
   * @param path - Path without the query.
   * @returns The matching route.
   */
  public match(method: string, path: string): Route | undefined {
    let prefix = RouteTable.trim(path);
    for (;;) {
      const route = this.routesByPath.get(prefix)?.find(({ methods }) => methods.includes(method));
      if (route || prefix === '') return route;
      prefix = prefix.slice(0, prefix.lastIndexOf('/'));
    }
  }

  private static trim(path: string): string {
    return path.endsWith('/') ? path.slice(0, -1) : path;
  }
}
