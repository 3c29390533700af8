import type { Route } from './Types';

/** Key of the routes that are for every host. */
const ANY_HOST = '';

/** Host names compare without case and port. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** Routes of one version by host and path; the longest path that allows the method wins. */
export default class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route[]>>();

  /** @param routes - Routes of a valid configuration. */
  public constructor(routes: Iterable<Route>) {
    for (const route of routes) {
      const host = route.host === undefined ? ANY_HOST : normalizeHost(route.host);
      const paths = this.routesByHost.get(host) ?? new Map<string, Route[]>();
      this.routesByHost.set(host, paths);
      const sharing = paths.get(route.path);
      if (sharing) sharing.push(route);
      else paths.set(route.path, [route]);
    }
  }

  /**
   * @param method - HTTP method.
   * @param host - Host header.
   * @param path - Path without the query.
   * @returns The matching route; one of that host goes before one of every host.
   */
  public match(method: string, host: string, path: string): Route | undefined {
    return this.longest(normalizeHost(host), method, path) ?? this.longest(ANY_HOST, method, path);
  }

  private longest(host: string, method: string, path: string): Route | undefined {
    const paths = this.routesByHost.get(host);
    if (!paths) return undefined;
    const allowing = (prefix: string) =>
      paths.get(prefix)?.find(({ methods }) => methods.includes(method));
    // A prefix with its final slash is longer than the same one without it.
    for (let prefix = path; prefix !== '';) {
      const route = allowing(prefix);
      if (route) return route;
      prefix = prefix.endsWith('/')
        ? prefix.slice(0, -1)
        : prefix.slice(0, prefix.lastIndexOf('/') + 1);
    }
    return undefined;
  }
}
