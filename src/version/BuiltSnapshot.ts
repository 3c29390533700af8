import RouteTable from './RouteTable';
import type { Configuration, Head, Route, Snapshot } from './Types';

/** A version with its routes indexed. Immutable. */
export default class BuiltSnapshot implements Snapshot {
  public readonly shortestObjectiveMs: number;

  private readonly table: RouteTable;

  public constructor(
    public readonly head: Head,
    public readonly configuration: Configuration,
  ) {
    const routes = [...configuration.routes.values()];
    this.table = new RouteTable(routes);
    this.shortestObjectiveMs = Math.min(...routes.map(({ objectiveMs }) => objectiveMs));
  }

  public match(method: string, host: string, path: string): Route | undefined {
    return this.table.match(method, host, path);
  }
}
