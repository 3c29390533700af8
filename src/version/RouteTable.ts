import type { HostMatching, Route } from './Types';

/** Maximum number of Host headers whose routes are remembered; then all are forgotten. */
const MAX_REMEMBERED = 1_024;

/** Maximum length of a Host header whose routes are remembered; longer ones have no routes of their own. */
const MAX_REMEMBERED_LENGTH = 512;

/** Routes of a host by path. */
type Paths = ReadonlyMap<string, readonly Route[]>;

function addRoute(paths: Map<string, Route[]>, route: Route): void {
  const samePath = paths.get(route.path);
  if (samePath) samePath.push(route);
  else paths.set(route.path, [route]);
}

function longestMatch(paths: Paths | undefined, method: string, path: string): Route | undefined {
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

/**
 * Index of a version's routes by host and path. The longest matching path with a route that allows
 * the method is chosen; a closed route without a path is chosen last.
 */
export default class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route[]>>();

  /** Routes that match every host. */
  private readonly anyHost = new Map<string, Route[]>();

  /** Routes by Host header, as few different ones come. */
  private readonly remembered = new Map<string, Paths | undefined>();

  /**
   * @param routes - Routes of a valid configuration, no two of which match the same calls.
   * @param hosts - Decides which calls the hosts of the routes match.
   */
  public constructor(
    routes: Iterable<Route>,
    private readonly hosts: HostMatching,
  ) {
    for (const route of routes) {
      if (route.host === undefined) addRoute(this.anyHost, route);
      else {
        const key = hosts.routeKey(route.host);
        const paths = this.routesByHost.get(key) ?? new Map<string, Route[]>();
        this.routesByHost.set(key, paths);
        addRoute(paths, route);
      }
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
      longestMatch(this.routesOf(host), method, path) ?? longestMatch(this.anyHost, method, path)
    );
  }

  private routesOf(host: string): Paths | undefined {
    if (this.remembered.has(host)) return this.remembered.get(host);
    const key = this.hosts.callKeys(host).find((candidate) => this.routesByHost.has(candidate));
    const paths = key === undefined ? undefined : this.routesByHost.get(key);
    if (host.length > MAX_REMEMBERED_LENGTH) return paths;
    if (this.remembered.size >= MAX_REMEMBERED) this.remembered.clear();
    this.remembered.set(host, paths);
    return paths;
  }
}
