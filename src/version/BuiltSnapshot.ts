import RouteTable from './RouteTable';
import type { Configuration, Head, Route, Snapshot } from './Types';

/** A version with its routes indexed. Immutable. */
export default class BuiltSnapshot implements Snapshot {
  private readonly table: RouteTable;

  public constructor(
    public readonly head: Head,
    public readonly configuration: Configuration,
  ) {
    this.table = new RouteTable(configuration.routes.values());
  }

  public match(method: string, host: string, path: string): Route | undefined {
    return this.table.match(method, host, path);
  }
}
