import type { Route } from './Types';

/** Map key of the routes that match every host; no real host name is empty. */
const ANY_HOST = '';

/** Lowercases a host name and removes its port, as routes match host names regardless of both. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/**
 * Index of a version's routes by host and path. The longest matching path with a route that allows
 * the method is chosen; a closed route without a path is chosen last.
 */
export default class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route[]>>();

  /** @param routes - Routes of a valid configuration, no two of which match the same calls. */
  public constructor(routes: Iterable<Route>) {
    for (const route of routes) {
      const host = route.host === undefined ? ANY_HOST : normalizeHost(route.host);
      const paths = this.routesByHost.get(host) ?? new Map<string, Route[]>();
      this.routesByHost.set(host, paths);
      const samePath = paths.get(route.path);
      if (samePath) samePath.push(route);
      else paths.set(route.path, [route]);
    }
  }

  /**
   * @param method - HTTP method.
   * @param host - Host header.
   * @param path - Path without the query.
   * @returns The matching route. Routes for `host` take precedence over routes for every host.
   */
  public match(method: string, host: string, path: string): Route | undefined {
    return (
      this.longestMatch(normalizeHost(host), method, path) ??
      this.longestMatch(ANY_HOST, method, path)
    );
  }

  private longestMatch(host: string, method: string, path: string): Route | undefined {
    const paths = this.routesByHost.get(host);
    if (!paths) return undefined;
    const routeAt = (prefix: string) =>
      paths.get(prefix)?.find(({ methods }) => methods.includes(method));
    // Tries shorter and shorter prefixes, such as `/a/b`, `/a/`, `/a`, `/`.
    for (let prefix = path; prefix !== '';) {
      const route = routeAt(prefix);
      if (route) return route;
      prefix = prefix.endsWith('/')
        ? prefix.slice(0, -1)
        : prefix.slice(0, prefix.lastIndexOf('/') + 1);
    }
    return routeAt('');
  }
}
