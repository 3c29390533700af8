import RouteTable from './RouteTable';
import type { Configuration, Head, Route, Snapshot, ValidationIssue } from './Types';

/** An immutable configuration version with an index of its routes. */
export default class IndexedSnapshot implements Snapshot {
  public readonly shortestObjectiveMs: number;

  private readonly routeTable: RouteTable;

  public constructor(
    public readonly head: Head,
    public readonly configuration: Configuration,
    public readonly leftOut: readonly ValidationIssue[],
  ) {
    const routes = [...configuration.routes.values()];
    this.routeTable = new RouteTable(routes);
    this.shortestObjectiveMs = routes.reduce(
      (shortest, { objectiveMs }) => Math.min(shortest, objectiveMs),
      Infinity,
    );
  }

  public match(method: string, host: string, path: string): Route | undefined {
    return this.routeTable.match(method, host, path);
  }
}
