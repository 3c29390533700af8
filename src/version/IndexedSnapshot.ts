import type { KeyDigest } from '../common/Types';
import { PORT_AWARE_SCHEMA_NUMBER } from './configurationSchema';
import PortAwareHosts from './PortAwareHosts';
import PortlessHosts from './PortlessHosts';
import RouteTable from './RouteTable';
import type {
  ClosedEntry,
  Configuration,
  Head,
  Organisation,
  Route,
  Snapshot,
  ValidationIssue,
} from './Types';

/** Lists the entries of a configuration whose calls are refused. */
function closedEntries({ routes, organisations, sharedKeys }: Configuration): ClosedEntry[] {
  const closed: ClosedEntry[] = [];
  for (const { name, closed: reason } of routes.values()) {
    if (reason !== undefined) closed.push({ entry: `route.${name}`, reason });
  }
  for (const { name, closed: reason } of organisations.values()) {
    if (reason !== undefined) closed.push({ entry: `organisation.${name}`, reason });
  }
  for (const key of sharedKeys) {
    closed.push({ entry: `key ${key}`, reason: 'several organisations hold it' });
  }
  return closed;
}

/** An immutable configuration version with an index of its routes and its organisations' keys. */
export default class IndexedSnapshot implements Snapshot {
  public readonly shortestObjectiveMs: number;

  public readonly closed: readonly ClosedEntry[];

  public readonly hasIncompleteOrganisation: boolean;

  private readonly routeTable: RouteTable;

  private readonly organisationsByKey = new Map<KeyDigest, Organisation>();

  public constructor(
    public readonly head: Head,
    public readonly configuration: Configuration,
    public readonly faults: readonly ValidationIssue[],
  ) {
    const routes = [...configuration.routes.values()];
    const hosts =
      head.schema < PORT_AWARE_SCHEMA_NUMBER ? new PortlessHosts() : new PortAwareHosts();
    this.routeTable = new RouteTable(routes, hosts);
    this.closed = closedEntries(configuration);
    const organisations = [...configuration.organisations.values()];
    this.hasIncompleteOrganisation = organisations.some(({ isIncomplete }) => isIncomplete);
    this.shortestObjectiveMs = routes.reduce(
      (shortest, { objectiveMs, closed }) =>
        closed === undefined ? Math.min(shortest, objectiveMs) : shortest,
      Infinity,
    );
    for (const organisation of organisations) {
      for (const key of organisation.keys) this.organisationsByKey.set(key, organisation);
    }
  }

  public match(method: string, host: string, path: string): Route | undefined {
    return this.routeTable.match(method, host, path);
  }

  public organisationOf(key: KeyDigest): Organisation | undefined {
    return this.organisationsByKey.get(key);
  }
}
